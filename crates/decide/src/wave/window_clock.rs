use std::time::Duration;

use model::WindowSpec;

const DAY: Duration = Duration::from_secs(24 * 3600);

/// Divisor of the interval that gives how long before the due time maintenance begins, so that
/// every host is done in time even if some windows are lost.
const LEAD_DIVISOR: u32 = 4;

/// Computes when a maintenance window is open and when a host is due.
#[derive(Clone, Copy, Debug)]
pub struct WindowClock<'a> {
    spec: &'a WindowSpec,
}

impl<'a> WindowClock<'a> {
    /// Creates a clock of the window `spec`.
    pub fn new(spec: &'a WindowSpec) -> Self {
        Self { spec }
    }

    /// Time left until the window closes; `None` while it is closed.
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        if self.spec.length >= DAY {
            return Some(DAY);
        }
        let of_day = Duration::from_secs(now.as_secs() % DAY.as_secs());
        let opened_for = (of_day + DAY).checked_sub(self.spec.start)?;
        let opened_for = if opened_for >= DAY {
            opened_for - DAY
        } else {
            opened_for
        };
        let left = self.spec.length.checked_sub(opened_for)?;
        (!left.is_zero()).then_some(left)
    }

    /// True once a host maintained at `maintained` should be maintained again.
    pub fn is_due(&self, maintained: Duration, now: Duration) -> bool {
        let lead = self.spec.every / LEAD_DIVISOR;
        now >= maintained + self.spec.every.saturating_sub(lead)
    }
}
