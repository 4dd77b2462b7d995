use std::time::Duration;

use model::JobId;
use wire::fleet::JobRecord;

use crate::holder_order::ReplySender;

/// A write that was begun, with what it settles.
pub(crate) struct PendingFlush {
    pub(crate) records: Vec<JobRecord>,
    pub(crate) states: Vec<(JobId, u32)>,
    pub(crate) answers: Vec<(JobId, ReplySender)>,
    pub(crate) began: Duration,
    /// True once a try went unanswered: the page may be there.
    pub(crate) unsettled: bool,
}
