use std::{fmt, time::Duration};

use model::TeamId;

/// One unit of a team's upper limit, given back when dropped.
///
/// Whoever does not know whether its work still runs on a target keeps the permit until
/// the work's deadline has passed: giving it back sooner could let the team run more
/// than its limit.
pub struct QuotaPermit {
    release: Option<Box<dyn FnOnce() + Send>>,
}

impl QuotaPermit {
    /// A permit that calls `release` once, when dropped.
    pub fn new(release: impl FnOnce() + Send + 'static) -> Self {
        Self {
            release: Some(Box::new(release)),
        }
    }
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release();
        }
    }
}

impl fmt::Debug for QuotaPermit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("QuotaPermit")
    }
}

/// Hands out units of team limits that this entry host holds.
pub trait QuotaSource: Send + Sync {
    /// Takes one unit for work that is over after `length`, if this host's grant has one free; units
    /// for short work are free again sooner after the loss of this host.
    fn try_take_for(&self, team: &TeamId, length: Duration) -> Option<QuotaPermit>;
    /// Takes one unit for work of any length.
    fn try_take(&self, team: &TeamId) -> Option<QuotaPermit> {
        self.try_take_for(team, Duration::MAX)
    }
    /// Says how many starts of `team` wait here for a unit, so that grants move to demand.
    fn report_waiting(&self, team: &TeamId, waiting: u32);
}
