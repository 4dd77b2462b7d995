use std::{fmt, time::Duration};

use model::TeamId;

/// One unit of a team's upper limit, released on drop.
///
/// If it is unknown whether the work still runs on a target, the holder must keep the permit until
/// the work's deadline has passed. Releasing it sooner could let the team exceed its limit.
pub struct QuotaPermit {
    release: Option<Box<dyn FnOnce() + Send>>,
}

impl QuotaPermit {
    /// Creates a permit that calls `release` once when it is dropped.
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

/// Hands out the units of team limits that are granted to this entry host.
pub trait QuotaSource: Send + Sync {
    /// Takes one unit for work that ends within `length`; `None` if this host's grant has no free
    /// unit.
    ///
    /// If this host is lost, units for short work can be granted to other hosts sooner.
    fn try_take_for(&self, team: &TeamId, length: Duration) -> Option<QuotaPermit>;
    /// Takes one unit for work of unlimited length.
    fn try_take(&self, team: &TeamId) -> Option<QuotaPermit> {
        self.try_take_for(team, Duration::MAX)
    }
    /// Reports how many starts of `team` wait for a unit on this host, so that grants follow demand.
    fn report_waiting(&self, team: &TeamId, waiting: u32);
}
