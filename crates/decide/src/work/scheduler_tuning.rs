use std::time::Duration;

use model::work::SharingModes;

/// Timing parameters of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerTuning {
    /// Maximum time for which a target lets its tasks run without a renewal, as set by the
    /// platform.
    pub lease_limit: Duration,
    /// Lease that each order grants. Long enough for the successor of a killed owner to renew it in
    /// time: expiry of the ownership, the election and one round of polls take 2.5 s.
    pub grant: Duration,
    /// Added to the end of the last lease on an unresponsive target before its tasks start elsewhere:
    /// an order may be in flight for some time.
    pub lapse_margin: Duration,
    /// By how much leases may outlast the time for which their owner is certain to be the only one.
    /// It bridges an outage of the store, and a successor waits for it
    /// ([`SchedulerTuning::succession_wait`]).
    pub lease_overhang: Duration,
    /// Length of the lease on the ownership of the cell. A killed owner is replaced after this time.
    /// The platform allows no less than 1 s. A store that answers sixty times as slowly as usual
    /// (4 ms) still renews it in time.
    pub owner_lease: Duration,
    /// Time without an answer after which a target gets no new tasks and no renewals.
    pub unresponsive_after: Duration,
    /// How long a target holds a poll open while waiting for an end. Renewals have to be more
    /// frequent than `grant`, and each poll has a cost.
    pub look_wait: Duration,
    /// The same on a target that runs best-effort tasks next to serving tasks: the CPU share of the
    /// former has to follow the response times of the latter.
    pub mixed_poll_wait: Duration,
    /// Maximum number of ends in a report, as the platform specifies. A report with as many may omit
    /// others.
    pub report_limit: usize,
    /// Maximum time after which an unanswered order may still be executed: the longest delay that
    /// the platform specifies is twelve seconds.
    pub max_delivery_delay: Duration,
    /// Time after which an unanswered stop is sent again.
    pub stop_retry_interval: Duration,
    /// Pause of a target that refused or failed a start; doubled with each further one in a row.
    pub failure_pause: Duration,
    /// Maximum pause of a target.
    pub max_failure_pause: Duration,
    /// How long an ended job is still reported, as the platform requires.
    pub ended_job_retention: Duration,
    /// Decisions on workspaces and pools that compete for capacity.
    pub sharing: SharingModes,
    /// How long before its due time an occurrence may start; 0 is safe with clocks that differ.
    pub early_start: Duration,
}

impl Default for SchedulerTuning {
    fn default() -> Self {
        Self {
            lease_limit: Duration::from_secs(6),
            grant: Duration::from_secs(5),
            lapse_margin: Duration::from_millis(300),
            lease_overhang: Duration::from_millis(6500),
            owner_lease: Duration::from_millis(1100),
            unresponsive_after: Duration::from_millis(1800),
            look_wait: Duration::from_millis(1000),
            mixed_poll_wait: Duration::from_millis(400),
            report_limit: 500,
            max_delivery_delay: Duration::from_secs(13),
            stop_retry_interval: Duration::from_millis(500),
            failure_pause: Duration::from_millis(500),
            max_failure_pause: Duration::from_secs(8),
            ended_job_retention: Duration::from_secs(150),
            early_start: Duration::ZERO,
            sharing: SharingModes::default(),
        }
    }
}

impl SchedulerTuning {
    /// How long a new owner waits before it starts tasks that may run on a target of a predecessor
    /// that it does not reach: until every lease that the predecessor can have granted has expired.
    ///
    /// If the store ended the predecessor's lease early, that process may have relied on it for its
    /// whole length. `docs/design/13-platform.md` explains the bound.
    pub fn succession_wait(&self) -> Duration {
        self.owner_lease + self.lease_overhang + self.lapse_margin
    }
}
