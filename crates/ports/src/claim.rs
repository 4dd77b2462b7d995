use std::time::Duration;

use model::{RequestId, TeamId};

/// Whether a request with a given id may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// First use of the id: the request may run once.
    First,
    /// The id was claimed before: the request may have run already.
    Taken,
    /// The host that issued the id is gone or unreachable: the request may have run already.
    Unknown,
}

/// Issues request ids and decides which entry host may run a request.
pub trait ClaimSource: Send + Sync {
    /// Issues an id for `team`. This entry host decides later claims of the id.
    fn mint(&self, team: &TeamId) -> RequestId;
    /// Claims `request` for `team` at the entry host that issued it, waiting at most `timeout`.
    fn claim(&self, request: &RequestId, team: &TeamId, timeout: Duration) -> ClaimVerdict;
}
