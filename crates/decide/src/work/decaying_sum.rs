use model::BootTime;

/// Sum whose parts lose weight exponentially with their age.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingSum {
    /// Time constant of the decay, in seconds.
    window_secs: f64,
    sum: f64,
    updated_at: BootTime,
}

impl DecayingSum {
    /// Creates an empty sum with a time constant in seconds.
    pub(super) fn new(window_secs: f64) -> Self {
        Self {
            window_secs,
            sum: 0.0,
            updated_at: BootTime::ZERO,
        }
    }

    /// Adds an amount.
    pub(super) fn add(&mut self, amount: f64, now: BootTime) {
        self.sum = self.at(now) + amount;
        self.updated_at = now;
    }

    /// Returns the sum at a time.
    pub(super) fn at(&self, now: BootTime) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-elapsed / self.window_secs).exp()
    }
}
