use compact_str::CompactString;
use model::HostId;

use crate::PortFuture;

/// A target that may run a step, and the ticket that proves it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceTicket {
    /// The target.
    pub target: HostId,
    /// What a start carries.
    pub ticket: CompactString,
}

/// Says which targets a queue's policy allows to run a step.
pub trait AdvicePort {
    /// Asks for one step, named as its tasks without their index.
    ///
    /// # Errors
    /// Why no advice came; asking again is harmless.
    fn request_tickets(
        &self,
        step: &str,
        targets: Vec<HostId>,
    ) -> PortFuture<Result<Vec<AdviceTicket>, String>>;
}
