use std::time::Duration;

/// A ceiling on calls a second, with a burst of one second's worth.
///
/// The store's rates grow more slowly than the fleet, so that one entry host that has run
/// wild must not use up what all of them share. Time comes in as a value.
#[derive(Clone, Debug)]
pub struct CallRateLimiter {
    per_second: f64,
    tokens: f64,
    refilled: Duration,
}

impl CallRateLimiter {
    /// A full bucket of `per_second` calls.
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second),
            refilled: Duration::ZERO,
        }
    }

    /// Takes one call, or says how long to wait before asking again.
    ///
    /// # Errors
    /// The wait.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.refilled);
        self.refilled = self.refilled.max(now);
        let refill = elapsed.as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / self.per_second.max(0.001);
        Err(Duration::from_secs_f64(missing))
    }
}
