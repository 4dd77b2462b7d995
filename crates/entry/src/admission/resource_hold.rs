use std::time::Duration;

use model::{BootTime, HostId, PoolId, ProblemKind, TeamId};
use ports::QuotaPermit;

use crate::CallerProblem;

/// A quota permit, and optionally a slot, held for a request that may still run on its
/// target.
pub(super) struct ResourceHold {
    pub(super) until: BootTime,
    pub(super) pool: PoolId,
    pub(super) team: TeamId,
    pub(super) host: HostId,
    /// Whether the slot is held too.
    pub(super) holds_slot: bool,
    pub(super) _permit: QuotaPermit,
}

/// The problem returned for a request that was queued until its deadline; `limited` if its
/// team was at its limit.
pub(super) fn deadline_problem(limited: bool) -> CallerProblem {
    let (kind, detail) = if limited {
        (
            ProblemKind::TeamLimit,
            "the team ran as much as its upper limit allows until the deadline",
        )
    } else {
        (
            ProblemKind::Deadline,
            "no slot became free in time for the deadline",
        )
    };
    CallerProblem::not_run(kind, detail).with_retry_after(Duration::from_secs(1))
}
