use std::{collections::BTreeMap, sync::Arc, time::Duration};

use decide::{retry::RetryBudget, share::TeamTurn};
use model::{BootTime, PoolId, TeamId};
use ports::{ActiveConfig, SlotLease, TargetHost};

use super::{demand_meter::DemandMeter, pool_queue::PoolQueue, target_table::PoolView};
use crate::caller_request::CallerRequest;

/// Part of a new measurement in the running mean of service times.
const SERVICE_SMOOTHING: f64 = 0.1;
/// What a start is charged while nothing is known of service times, so that one team does
/// not take all free slots then.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Service times above the mean that a deadline should leave room for.
const SERVICE_MARGIN: f64 = 1.25;
/// Ended requests before the mean of service times is trusted.
const SERVICE_SAMPLES: u32 = 8;

/// Everything the admission thread keeps of one pool.
pub(crate) struct PoolState {
    /// Its queue.
    pub queue: PoolQueue,
    /// Its use and demand.
    pub meter: DemandMeter,
    /// Its retries.
    pub retries: RetryBudget,
    mean_service: Duration,
    samples: u32,
    lease: Option<Arc<SlotLease>>,
}

impl PoolState {
    /// The desk of a pool that nothing is known of.
    pub fn new(retries: RetryBudget) -> Self {
        Self {
            queue: PoolQueue::default(),
            meter: DemandMeter::default(),
            retries,
            mean_service: Duration::ZERO,
            samples: 0,
            lease: None,
        }
    }

    /// Notes how long a target took for a request.
    pub fn record_service_time(&mut self, elapsed: Duration) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_service = elapsed;
            return;
        }
        self.mean_service =
            self.mean_service.mul_f64(1.0 - SERVICE_SMOOTHING) + elapsed.mul_f64(SERVICE_SMOOTHING);
    }

    /// Mean time that targets took for a request lately.
    pub fn service_time(&self) -> Duration {
        self.mean_service
    }

    /// Notes the lease now held; a renewed one has counted what was started before.
    pub fn update_lease(&mut self, lease: &Arc<SlotLease>) {
        let known = self
            .lease
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, lease));
        if !known {
            self.meter.begin_lease();
            self.lease = Some(Arc::clone(lease));
        }
    }

    /// The teams that have something queued, as `decide::share::pick` wants to see them.
    pub fn team_candidates(&self, snapshot: &PoolSnapshot, now: BootTime) -> Vec<TeamTurn> {
        let candidate = |team: &TeamId| TeamTurn {
            team: team.clone(),
            virtual_time: self.virtual_time(snapshot, team, now),
            queued: u32::try_from(self.queue.team_len(team).0).unwrap_or(u32::MAX),
            urgent_wait: self.queue.urgent_wait(team, now),
            blocked: false,
        };
        self.queue.waiting_teams().map(candidate).collect()
    }

    /// Virtual time of a team: what the lease says, and what was used here since.
    pub fn virtual_time(&self, snapshot: &PoolSnapshot, team: &TeamId, now: BootTime) -> Duration {
        let leased = snapshot.lease.teams.iter().find(|used| used.team == *team);
        let leased = leased.map_or(Duration::ZERO, |used| {
            Duration::from_millis(used.virtual_ms)
        });
        let mean_service = self.mean_service.max(MIN_SERVICE_TIME);
        leased + self.meter.unaccounted(team, mean_service, now) / snapshot.weight(team)
    }

    /// How long `work` would wait, by recent service times and the slots that its team may
    /// count on; `None` while nothing is known.
    ///
    /// Those slots are the team's due or what it runs, whichever is more: a team alone in
    /// the pool gets more than its due.
    pub fn expected_wait(
        &self,
        request: &CallerRequest,
        lease: &SlotLease,
        now: BootTime,
    ) -> Option<Duration> {
        let slots = slot_sum(lease);
        if self.samples < SERVICE_SAMPLES || slots == 0 || now >= lease.expires {
            return None;
        }
        if self.meter.total_running() < slots && self.queue.is_empty() {
            return Some(Duration::ZERO);
        }
        let due = lease
            .teams
            .iter()
            .find(|used| used.team == request.team)
            .map_or(0, |used| used.slots);
        let team_slots = due.max(self.meter.running(&request.team)).clamp(1, slots);
        let (queued, urgent) = self.queue.team_len(&request.team);
        let ahead = if request.urgent { urgent } else { queued };
        Some(
            self.mean_service
                .mul_f64(ahead as f64 / f64::from(team_slots)),
        )
    }

    /// How long requests are likely to take now.
    pub fn service_estimate(&self) -> ServiceEstimate {
        ServiceEstimate {
            required: self.required_time(),
        }
    }

    /// Time that a request needs on a target, with a margin; zero while nothing is known.
    pub fn required_time(&self) -> Duration {
        if self.samples < SERVICE_SAMPLES {
            return Duration::ZERO;
        }
        self.mean_service.mul_f64(SERVICE_MARGIN)
    }

    /// Starts of `team` that its slots here would allow, if its limit did.
    ///
    /// Units of the limit go to hosts by this number. By the length of the queue a host
    /// with many requests and few slots would draw units that it can't use, and starts
    /// elsewhere would stop for want of them.
    pub fn slot_limited_starts(&self, team: &TeamId, lease: &SlotLease) -> u32 {
        let (queued, _) = self.queue.team_len(team);
        if queued == 0 {
            return 0;
        }
        let due = lease.teams.iter().find(|used| used.team == *team);
        let due = due.map_or(slot_sum(lease), |used| used.slots);
        let usable = due.saturating_sub(self.meter.running(team)).max(1);
        usable.min(u32::try_from(queued).unwrap_or(u32::MAX))
    }

    /// How long what is queued will take.
    pub fn drain_time(&self, lease: &SlotLease) -> Duration {
        let slots = slot_sum(lease).max(1);
        self.mean_service
            .mul_f64(self.queue.len() as f64 / f64::from(slots))
    }
}

/// The desk of `pool`, a new one with the budget `retries` if there is none.
pub(crate) fn pool_state_mut<'a>(
    pools: &'a mut BTreeMap<PoolId, PoolState>,
    retries: &RetryBudget,
    pool: &PoolId,
) -> &'a mut PoolState {
    pools
        .entry(pool.clone())
        .or_insert_with(|| PoolState::new(retries.clone()))
}

/// What recent service times say of the requests that wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceEstimate {
    required: Duration,
}

impl ServiceEstimate {
    /// Whether `work`, started now, is likely to outlast its deadline only because it waited.
    ///
    /// A target would run it, and its caller would be told that it may have run: the slot is
    /// spent and nobody gains. Under overload a queue in order of arrival brings every
    /// request to a slot in this state, so it is refused instead, while that is still
    /// truthful. A request whose whole span is shorter than the mean service time is tried:
    /// the mean may come from other callers.
    pub fn would_miss_deadline(&self, request: &CallerRequest, now: BootTime) -> bool {
        let required = self.required;
        let span = request.deadline.saturating_sub(request.arrived);
        required <= span && request.deadline < now + required
    }
}

fn slot_sum(lease: &SlotLease) -> u32 {
    lease.targets.iter().map(|target| target.slots).sum()
}

/// What the other areas say of one pool at one moment.
pub(crate) struct PoolSnapshot {
    /// Its targets.
    pub targets: Arc<Vec<TargetHost>>,
    /// The slots that this entry host may use.
    pub lease: Arc<SlotLease>,
    /// Connections that this entry host may hold to each target.
    pub max_connections: u32,
    /// How many hosts the pool must keep in service.
    pub budget: u32,
    /// The configuration in force.
    pub config: Arc<ActiveConfig>,
}

impl PoolSnapshot {
    /// The parts that the choice of a target needs.
    pub fn view(&self) -> PoolView<'_> {
        PoolView {
            targets: &self.targets,
            lease: &self.lease,
            max_connections: self.max_connections,
            budget: self.budget,
        }
    }

    /// Weight of `team` when the pool is full.
    pub fn weight(&self, team: &TeamId) -> u32 {
        let spec = self.config.manifest.teams.get(team);
        spec.map_or(1, |spec| spec.share).max(1)
    }
}
