use std::time::Duration;

use compact_str::CompactString;
use model::HostId;

use crate::PortFuture;

/// A target that may run a step, with the ticket that authorizes the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceTicket {
    /// The target.
    pub target: HostId,
    /// Opaque ticket, sent with the order to start a task.
    pub ticket: CompactString,
}

/// Advice service: grants tickets for the targets that may run a step under a queue's policy.
pub trait AdvicePort {
    /// Requests tickets for one step on the given targets.
    ///
    /// A step is named like its tasks, without the task index. Targets that the service does not
    /// grant are missing from the result. The service handles the calls of one process one after
    /// another, so `timeout` has to cover those that are still in progress.
    ///
    /// # Errors
    /// Why the call failed. It can be repeated safely.
    fn request_tickets(
        &self,
        step: &str,
        targets: Vec<HostId>,
        timeout: Duration,
    ) -> PortFuture<Result<Vec<AdviceTicket>, String>>;
}
