//! Ejection of targets that fail all their requests.
//!
//! Start with [`TargetHealth`]; `docs/design/04-at-most-once.md` has the reasons.

use std::time::Duration;

use model::BootTime;

/// Number of consecutive failures after which a target is ejected.
const EJECT_AFTER_FAILURES: u32 = 5;
/// Duration of the first ejection; doubles with each consecutive one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// How long a failed target is tried only after the others; doubles with each consecutive failure.
const FIRST_SUSPICION: Duration = Duration::from_millis(100);
/// Longest time for which it is tried only after the others.
const LONGEST_SUSPICION: Duration = Duration::from_secs(5);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);

/// Recent health of a target, as observed by one entry host.
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
    /// As much as its slots allow.
    Full,
    /// One request at a time, to check whether it has recovered.
    Probe,
    /// None.
    Ejected,
}

impl TargetHealth {
    /// Records that the target responded.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that the target failed a request. `may_eject` says whether the pool can spare the
    /// target. Ejections must never leave fewer targets than the pool's budget, because a fault
    /// that all targets share would otherwise empty the pool.
    ///
    /// Returns true if this failure ejected the target.
    pub fn record_failure(&mut self, now: BootTime, may_eject: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.suspect_until =
            now + exponential_backoff(FIRST_SUSPICION, self.failures - 1, LONGEST_SUSPICION);
        // A target on probe does not count as in use, so ejecting it again needs no spare.
        let should_eject = self.probing || (may_eject && self.failures >= EJECT_AFTER_FAILURES);
        if !should_eject || now < self.ejected_until {
            return false;
        }
        self.ejected_until =
            now + exponential_backoff(FIRST_EJECTION, self.ejections, LONGEST_EJECTION);
        self.ejections += 1;
        self.probing = true;
        true
    }

    /// True if the target failed so recently that others should be tried first. The pool's budget
    /// does not limit this, because the target stays in use.
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

/// True if a pool with `in_use` targets, none of them ejected, can spare one.
pub fn can_spare(in_use: usize, budget: u32) -> bool {
    let budget = usize::try_from(budget).unwrap_or(usize::MAX).max(1);
    in_use > budget
}
