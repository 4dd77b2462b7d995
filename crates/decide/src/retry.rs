//! When a failed request may be sent again, and how soon.
//!
//! Start with [`RetryBudget`]; `docs/design/04-at-most-once.md` says which failures may be
//! retried at all.

use std::time::Duration;

/// Hundredths of a retry that one retry costs.
const RETRY_COST: u32 = 100;

/// Keeps the retries of one pool below a part of its first attempts.
///
/// Without it a pool that fails for a moment gets each request several times, just when it
/// has least to spare, and can't come back. The budget is earned by traffic and not by
/// time, so an idle pool saves up no storm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u32,
    gain_percent: u32,
    most: u32,
}

impl RetryBudget {
    /// A budget that earns `percent` of a retry with each first attempt, saves up at most
    /// `burst` retries, and begins full.
    pub fn new(percent: u32, burst: u32) -> Self {
        let most = burst.max(1).saturating_mul(RETRY_COST);
        Self {
            balance: most,
            gain_percent: percent,
            most,
        }
    }

    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.balance = self
            .balance
            .saturating_add(self.gain_percent)
            .min(self.most);
    }

    /// Takes one retry; false if there is none left.
    pub fn take(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}

/// Bounds of the wait before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryWait {
    /// Longest wait before the first retry; it doubles with each one.
    pub first: Duration,
    /// Longest wait at all.
    pub longest: Duration,
}

impl Default for RetryWait {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(20),
            longest: Duration::from_millis(500),
        }
    }
}

impl RetryWait {
    /// The wait before retry number `retry`, counted from 1, with full jitter: `chance` is
    /// drawn evenly from 0 to 1, so that requests which failed together come back apart.
    pub fn wait(&self, retry: u32, chance: f64) -> Duration {
        let doublings = retry.saturating_sub(1).min(16);
        let ceiling = self.first.saturating_mul(1 << doublings).min(self.longest);
        ceiling.mul_f64(chance.clamp(0.0, 1.0))
    }
}
