use std::time::Duration;

use model::{RequestId, TeamId};

/// Whether a request id may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// First use of the id: it may run, once.
    First,
    /// The id was claimed before: it may have run.
    Taken,
    /// The host that minted the id is gone or does not answer: it may have run.
    Unknown,
}

/// Mints request ids and settles which entry host may run one.
pub trait ClaimSource: Send + Sync {
    /// A fresh id for `team`, whose home is this entry host.
    fn mint(&self, team: &TeamId) -> RequestId;
    /// Claims `request` for `team` at the host that minted it, waiting at most `timeout`.
    fn claim(&self, request: &RequestId, team: &TeamId, timeout: Duration) -> ClaimVerdict;
}
