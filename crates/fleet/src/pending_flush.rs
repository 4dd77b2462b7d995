use std::time::Duration;

use model::JobId;
use wire::fleet::JobRecord;

use crate::holder_order::ReplySender;

/// A write in progress, with the jobs and replies that depend on it.
pub(crate) struct PendingFlush {
    pub(crate) records: Vec<JobRecord>,
    pub(crate) states: Vec<(JobId, u32)>,
    pub(crate) pending_replies: Vec<(JobId, ReplySender)>,
    pub(crate) started_at: Duration,
    /// True once an attempt had an unknown result: the page may exist in the store.
    pub(crate) unsettled: bool,
}
