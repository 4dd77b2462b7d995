use std::time::Duration;

/// Times that the desk works with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerTuning {
    /// Longest time for which a target lets its tasks run without a renewal, as the platform
    /// sets it.
    pub lease_limit: Duration,
    /// Time that each order grants. Long enough that a killed owner's successor renews before
    /// it is over: a lapse of the ownership, its election and one round of looks take 2.5 s.
    pub grant: Duration,
    /// Added to `lease_limit` before tasks of a silent target start elsewhere: a target's clock
    /// may be 2 % slow, and an order may be under way for some time.
    pub lapse_margin: Duration,
    /// Longest time for which an owner that can't reach the store goes on giving orders.
    pub store_outage_limit: Duration,
    /// Silence after which a target gets no new tasks and no renewals.
    pub unresponsive_after: Duration,
    /// How long a target waits with its answer to a look for an end. Renewals have to come
    /// more often than `grant`, and each look is paid for.
    pub look_wait: Duration,
    /// The same on a target where tasks that fill run beside tasks that serve: the share of
    /// the former has to follow the response times of the latter.
    pub mixed_poll_wait: Duration,
    /// Longest time after which an unanswered order is still carried out: the latest that the
    /// platform speaks of is twelve seconds.
    pub max_delivery_delay: Duration,
    /// Time after which an unanswered stop is sent again.
    pub stop_retry_interval: Duration,
    /// Pause of a target that refused or failed a start; doubled with each in a row.
    pub failure_pause: Duration,
    /// Longest pause of a target.
    pub max_failure_pause: Duration,
    /// How long an ended job's state is shown, as the platform asks.
    pub ended_job_retention: Duration,
    /// How long before its time an occurrence may start; 0 is safe against clocks that differ.
    pub early_start: Duration,
}

impl Default for SchedulerTuning {
    fn default() -> Self {
        Self {
            lease_limit: Duration::from_secs(6),
            grant: Duration::from_secs(5),
            lapse_margin: Duration::from_millis(300),
            store_outage_limit: Duration::from_secs(8),
            unresponsive_after: Duration::from_millis(1800),
            look_wait: Duration::from_millis(1000),
            mixed_poll_wait: Duration::from_millis(400),
            max_delivery_delay: Duration::from_secs(13),
            stop_retry_interval: Duration::from_millis(500),
            failure_pause: Duration::from_millis(500),
            max_failure_pause: Duration::from_secs(8),
            ended_job_retention: Duration::from_secs(150),
            early_start: Duration::ZERO,
        }
    }
}
