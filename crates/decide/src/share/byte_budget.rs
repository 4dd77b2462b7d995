use std::time::Duration;

use model::BootTime;

/// Limits the bytes per second that a background task spends on messages.
///
/// A message may overdraw the budget; the next one then waits until the budget has recovered. So
/// the mean rate stays below the limit whatever the message sizes are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ByteBudget {
    rate: f64,
    burst: f64,
    level: f64,
    at: BootTime,
}

impl ByteBudget {
    /// Creates a full budget of `rate` bytes per second and at most `burst` saved bytes.
    pub fn new(rate: u32, burst: u32) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            level: f64::from(burst),
            at: Duration::ZERO,
        }
    }

    /// True if a message may be sent at `now`.
    pub fn allows(&mut self, now: BootTime) -> bool {
        let gained = now.saturating_sub(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = now;
        0.0 < self.level
    }

    /// Charges `bytes` that were sent or caused.
    pub fn spend(&mut self, bytes: usize) {
        self.level -= bytes as f64;
    }
}
