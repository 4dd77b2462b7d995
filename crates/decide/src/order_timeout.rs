//! How long an order may go without an answer before its outcome is looked up.

use std::time::Duration;

/// Timeout while few answers have been measured, and the longest one.
pub const MAX_ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest timeout: pauses of a healthy process are shorter.
const MIN_ORDER_TIMEOUT: Duration = Duration::from_millis(80);
/// Number of answers after which the measured times are used.
const MIN_SAMPLES: u32 = 32;
/// Weight of a new sample in the smoothed time, as a divisor.
const SMOOTHING: u32 = 8;
/// Weight of a new sample in the smoothed deviation, as a divisor.
const DEVIATION_SMOOTHING: u32 = 4;
/// Number of deviations above the smoothed time that an answer may take.
const DEVIATIONS: u32 = 8;

/// Derives the timeout of orders from the measured times of their answers, as TCP derives its
/// retransmission timeout from round-trip times.
///
/// An order whose answer is lost delays its task by the timeout, and a step of ten tasks by the
/// longest delay among them. Answers normally take milliseconds, so a fixed timeout that is long
/// enough for a slow link makes every such step late.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderTimeout {
    smoothed: Duration,
    deviation: Duration,
    samples: u32,
}

impl OrderTimeout {
    /// Records the time that an order took from sending to its answer.
    pub fn record(&mut self, elapsed: Duration) {
        if self.samples == 0 {
            (self.smoothed, self.deviation) = (elapsed, elapsed / 2);
        } else {
            let difference = self.smoothed.abs_diff(elapsed);
            self.deviation -= self.deviation / DEVIATION_SMOOTHING;
            self.deviation += difference / DEVIATION_SMOOTHING;
            self.smoothed -= self.smoothed / SMOOTHING;
            self.smoothed += elapsed / SMOOTHING;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Records that an order was not answered within the timeout, so that a link which has become
    /// slower gets longer timeouts although its answers are no longer measured.
    pub fn record_timeout(&mut self) {
        if self.samples > 0 {
            self.record(self.timeout());
        }
    }

    /// Returns how long to wait for an answer.
    pub fn timeout(&self) -> Duration {
        if self.samples < MIN_SAMPLES {
            return MAX_ORDER_TIMEOUT;
        }
        let timeout = self.smoothed + self.deviation * DEVIATIONS;
        timeout.clamp(MIN_ORDER_TIMEOUT, MAX_ORDER_TIMEOUT)
    }
}
