use std::time::Duration;

/// Token bucket that limits calls per second, with a burst of one second's worth of calls.
///
/// The store's permitted call rate grows more slowly than the fleet, and all entry hosts share
/// it. The limit keeps one faulty entry host from using it up. The caller passes the time.
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

    /// Takes one token for a call.
    ///
    /// # Errors
    /// If no token is left; the error is the time to wait before the next attempt.
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
