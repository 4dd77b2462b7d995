use std::time::Duration;

use model::BootTime;

/// A token bucket: limits a sustained rate and a burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Option<BootTime>,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(per_second: u32, burst: u32) -> Self {
        Self {
            per_second: f64::from(per_second),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            filled_at: None,
        }
    }

    /// Takes one token at `now` if one is available.
    pub(crate) fn take(&mut self, now: BootTime) -> bool {
        let passed = now.saturating_sub(self.filled_at.unwrap_or(now));
        self.fill(passed);
        self.filled_at = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn fill(&mut self, passed: Duration) {
        let filled = passed.as_secs_f64().mul_add(self.per_second, self.tokens);
        self.tokens = filled.min(self.burst);
    }
}
