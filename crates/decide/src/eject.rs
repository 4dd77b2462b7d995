//! Which targets get no requests because they fail everything.
//!
//! Start with [`TargetHealth`]; `docs/design/04-at-most-once.md` has the reasons.

use std::time::Duration;

use model::BootTime;

/// Failures in a row after which a target counts as failing everything.
const EJECT_AFTER_FAILURES: u32 = 5;
/// How long the first ejection lasts; it doubles with each one in a row.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// How long a failed target is tried after the others, doubling with each failure in a row.
const FIRST_SUSPICION: Duration = Duration::from_millis(100);
/// How long it is tried after the others at most.
const LONGEST_SUSPICION: Duration = Duration::from_secs(5);
/// How long an ejection lasts at most.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);

/// How a target did lately, as one entry host saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetHealth {
    failures: u32,
    ejections: u32,
    ejected_until: BootTime,
    probing: bool,
    suspect_until: BootTime,
}

/// How much work a target may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetUse {
    /// All that its slots allow.
    Full,
    /// One request at a time, to see whether it is back.
    Probe,
    /// None.
    Ejected,
}

impl TargetHealth {
    /// Notes that the target answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes that the target failed a request. `may_eject` says whether the pool can spare
    /// it: ejecting must never leave fewer targets than the pool's budget, because a fault
    /// that all targets share would otherwise empty the pool.
    ///
    /// True if this failure ejected the target.
    pub fn record_failure(&mut self, now: BootTime, may_eject: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.suspect_until =
            now + exponential_backoff(FIRST_SUSPICION, self.failures - 1, LONGEST_SUSPICION);
        // A target on probe does not count as in use, so ejecting it again takes nothing out.
        let due = self.probing || (may_eject && self.failures >= EJECT_AFTER_FAILURES);
        if !due || now < self.ejected_until {
            return false;
        }
        self.ejected_until =
            now + exponential_backoff(FIRST_EJECTION, self.ejections, LONGEST_EJECTION);
        self.ejections += 1;
        self.probing = true;
        true
    }

    /// Whether the target failed so lately that others should be tried first. No bound of
    /// the pool limits this, since it takes no target out of use.
    pub fn is_suspect(&self, now: BootTime) -> bool {
        now < self.suspect_until
    }

    /// How much work the target may get now.
    pub fn allowed_use(&self, now: BootTime) -> TargetUse {
        if now < self.ejected_until {
            TargetUse::Ejected
        } else if self.probing {
            TargetUse::Probe
        } else {
            TargetUse::Full
        }
    }
}

fn exponential_backoff(first: Duration, doublings: u32, longest: Duration) -> Duration {
    first.saturating_mul(1 << doublings.min(16)).min(longest)
}

/// Whether a pool with `in_use` targets, none of them ejected, can spare one more.
pub fn can_spare(in_use: usize, budget: u32) -> bool {
    let budget = usize::try_from(budget).unwrap_or(usize::MAX).max(1);
    in_use > budget
}
