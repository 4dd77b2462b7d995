//! Retry budget and back-off of failed requests.
//!
//! Start with [`RetryBudget`]; `docs/design/04-at-most-once.md` says which failures may be retried
//! at all.

use std::time::Duration;

/// Cost of one retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;

/// Limits the retries of one pool to a fraction of its first attempts.
///
/// Without it, a pool that fails for a moment would get each request several times just when it has
/// least capacity, and could not recover. The budget is earned by traffic and not by time, so an
/// idle pool saves up no burst of retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u32,
    gain_percent: u32,
    most: u32,
}

impl RetryBudget {
    /// Creates a full budget that earns `percent` hundredths of a retry with each first attempt and
    /// saves up at most `burst` retries.
    pub fn new(percent: u32, burst: u32) -> Self {
        let most = burst.max(1).saturating_mul(RETRY_COST);
        Self {
            balance: most,
            gain_percent: percent,
            most,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.balance = self
            .balance
            .saturating_add(self.gain_percent)
            .min(self.most);
    }

    /// Takes one retry; false if none is left.
    pub fn take_retry(&mut self) -> bool {
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
    /// Longest wait before the first retry; doubles with each further one.
    pub first: Duration,
    /// Upper bound of all waits.
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
    /// The wait before retry number `retry`, counted from 1, with full jitter. `chance` is
    /// uniformly distributed from 0 to 1, so that requests which failed together are retried at
    /// different times.
    pub fn wait(&self, retry: u32, chance: f64) -> Duration {
        let doublings = retry.saturating_sub(1).min(16);
        let ceiling = self.first.saturating_mul(1 << doublings).min(self.longest);
        ceiling.mul_f64(chance.clamp(0.0, 1.0))
    }
}
