use std::time::Duration;

use crate::budget::{HostFacts, HostPhase, HostState};

/// What this entry host has lately seen of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostObservation {
    /// What the host list says of it; `None` if the list does not show it.
    pub facts: Option<HostFacts>,
    /// True if the list shows that the platform takes the host away.
    pub leaving: bool,
    /// How long the list has not shown it; zero while it does.
    pub missing_for: Duration,
    /// What its health endpoint answered.
    pub health: HealthStatus,
    /// The stay in which it was asked, see [`HostObservation::health_in_phase`].
    pub probed_in: PhaseEntry,
}

/// One stay of a host in a phase: the phase and when it began.
pub type PhaseEntry = (HostPhase, Duration);

impl HostObservation {
    /// True if the list shows the host and does not say that it leaves.
    pub fn is_staying(&self) -> bool {
        self.facts.is_some() && !self.leaving
    }

    /// What the health endpoint answered since the host entered the phase it is in.
    ///
    /// An answer from before proves nothing: a host about to reboot that said it serves
    /// a second ago, before it was told to drain, would pass for one that is back, and
    /// its maintenance would count as done without a reboot.
    pub fn health_in_phase(&self, state: &HostState) -> HealthStatus {
        if self.probed_in == state.phase_entry() {
            return self.health;
        }
        HealthStatus::Unknown
    }
}

/// What the health endpoint of a host showed, unless that is long ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthStatus {
    /// Not asked lately.
    #[default]
    Unknown,
    /// It answered.
    Answering {
        /// True if it takes no new work.
        draining: bool,
        /// Requests and tasks that it runs.
        running: u32,
    },
    /// It did not answer several times in a row.
    Failing,
}

impl HealthStatus {
    /// True if the host answered that it takes new work.
    pub fn is_serving(self) -> bool {
        matches!(
            self,
            Self::Answering {
                draining: false,
                ..
            }
        )
    }

    /// True if the host answered that it takes no new work and runs none.
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

/// Times and counts by which hosts are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetLimits {
    /// How far the host list may lag; a host missing for longer is lost.
    pub list_lag: Duration,
    /// How long a lost host keeps its place in its pool.
    pub forget_after: Duration,
    /// How long the map remembers a host that was given up.
    pub retired_retention: Duration,
    /// Longest time from reboot to a passed health check.
    pub return_limit: Duration,
    /// Shortest time between coming back and serving.
    pub settle_time: Duration,
    /// Hosts of the whole fleet that may fail to return before no more go out.
    pub failed_returns: u32,
    /// Fewest hosts of the whole fleet that go out first; see [`FleetLimits::allowance`].
    pub min_first_out: u32,
    /// The fleet divided by this is the number that go out first, if that is more.
    pub first_divisor: u32,
    /// How long a host that returned counts as a proof that hosts do.
    pub return_evidence_age: Duration,
    /// The fleet divided by this is the most that may be out for maintenance at once.
    pub fleet_divisor: u32,
    /// Time a host is expected to be out, used to end waves within the window.
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
    /// Hosts of the whole fleet that may be out for maintenance at once.
    ///
    /// What breaks one host on its reboot, such as a bad image, breaks them all, and
    /// pools that are each within their budget would go down together. So only a few
    /// hosts go first, and each that returned lets two more go: the number out triples
    /// from one turn to the next, and a fault shows while it is still small. Proofs last
    /// a little longer than a day, or a nightly window of an hour would start anew each
    /// night and 1,200 hosts would not be through in eight weeks.
    pub fn allowance(&self, fleet: u32, returned_lately: u32) -> u32 {
        let first = (fleet / self.first_divisor.max(1)).max(self.min_first_out);
        let most = (fleet / self.fleet_divisor.max(1)).max(first);
        most.min(first.saturating_add(returned_lately.saturating_mul(2)))
    }
}
