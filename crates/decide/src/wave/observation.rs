use std::time::Duration;

use crate::budget::{HostFacts, HostPhase, HostState};

/// Recent observations of one host by this entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostObservation {
    /// What the host list says about the host; `None` if the host is not listed.
    pub facts: Option<HostFacts>,
    /// True if the list shows that the platform is removing the host.
    pub leaving: bool,
    /// How long the host has been missing from the list; zero while it is listed.
    pub missing_for: Duration,
    /// Last response of its health endpoint.
    pub health: HealthStatus,
    /// The phase entry in which it was probed, see [`HostObservation::health_in_phase`].
    pub probed_in: PhaseEntry,
}

/// A phase of a host and when the host entered it.
pub type PhaseEntry = (HostPhase, Duration);

impl HostObservation {
    /// True if the host is listed and not leaving.
    pub fn is_staying(&self) -> bool {
        self.facts.is_some() && !self.leaving
    }

    /// The response of the health endpoint since the host entered its present phase.
    ///
    /// An earlier response proves nothing. A host about to reboot may have reported a second ago
    /// that it serves, before it was ordered to drain. It would pass for one that has returned, and
    /// its maintenance would count as done without a reboot.
    pub fn health_in_phase(&self, state: &HostState) -> HealthStatus {
        if self.probed_in == state.phase_entry() {
            return self.health;
        }
        HealthStatus::Unknown
    }
}

/// Recent state of a host's health endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthStatus {
    /// Not probed recently.
    #[default]
    Unknown,
    /// It responded.
    Answering {
        /// True if it accepts no new work.
        draining: bool,
        /// Requests and tasks that it runs.
        running: u32,
    },
    /// Several consecutive probes got no response.
    Failing,
}

impl HealthStatus {
    /// True if the host reports that it accepts new work.
    pub fn is_serving(self) -> bool {
        matches!(
            self,
            Self::Answering {
                draining: false,
                ..
            }
        )
    }

    /// True if the host reports that it accepts no new work and runs none.
    pub fn is_drained(self) -> bool {
        matches!(
            self,
            Self::Answering {
                draining: true,
                running: 0
            }
        )
    }
}

/// Time limits and host counts of maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetLimits {
    /// How far the host list may lag; a host missing for longer is lost.
    pub list_lag: Duration,
    /// How long a lost host keeps its place in its pool.
    pub forget_after: Duration,
    /// How long the map keeps a retired host.
    pub retired_retention: Duration,
    /// Maximum time from reboot to a passed health check.
    pub return_limit: Duration,
    /// Minimum time between returning and serving.
    pub settle_time: Duration,
    /// Number of hosts in the fleet that may fail to return before maintenance halts.
    pub failed_returns: u32,
    /// Minimum number of hosts in the fleet that go out first; see [`FleetLimits::allowance`].
    pub min_first_out: u32,
    /// Divisor of the fleet size that gives the number of hosts that go out first, if that is more.
    pub first_divisor: u32,
    /// How long a returned host counts as evidence that hosts return from maintenance.
    pub return_evidence_age: Duration,
    /// Divisor of the fleet size that gives the maximum number of hosts out for maintenance.
    pub fleet_divisor: u32,
    /// Expected duration of an outage. A host goes out only if that much of its window is left.
    pub expected_outage: Duration,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            list_lag: Duration::from_secs(15),
            forget_after: Duration::from_secs(3600),
            retired_retention: Duration::from_secs(24 * 3600),
            return_limit: Duration::from_secs(600),
            settle_time: Duration::from_secs(2),
            failed_returns: 2,
            min_first_out: 2,
            first_divisor: 100,
            return_evidence_age: Duration::from_secs(26 * 3600),
            fleet_divisor: 4,
            expected_outage: Duration::from_secs(300),
        }
    }
}

impl FleetLimits {
    /// Number of hosts of the whole fleet that may be out for maintenance at once.
    ///
    /// A fault that breaks one host on reboot, such as a bad image, breaks them all, and pools that
    /// each keep to their budget would go down together. So only a few hosts go first, and each one
    /// that returned allows two more: the number out triples from one round of reboots to the next,
    /// and a fault shows while few hosts are out. Evidence lasts a little longer than a day.
    /// Otherwise a nightly window of an hour would start over each night, and 1,200 hosts would
    /// take more than eight weeks.
    pub fn allowance(&self, fleet: u32, returned_lately: u32) -> u32 {
        let first = (fleet / self.first_divisor.max(1)).max(self.min_first_out);
        let most = (fleet / self.fleet_divisor.max(1)).max(first);
        most.min(first.saturating_add(returned_lately.saturating_mul(2)))
    }
}
