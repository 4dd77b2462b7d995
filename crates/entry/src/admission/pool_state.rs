use std::{collections::BTreeMap, sync::Arc, time::Duration};

use decide::{retry::RetryBudget, share::TeamTurn};
use model::{BootTime, PoolId, TeamId};
use ports::{ActiveConfig, SlotLease, TargetHost};

use super::{demand_meter::DemandMeter, pool_queue::PoolQueue, target_table::PoolView};
use crate::caller_request::CallerRequest;

/// Weight of a new measurement in the moving average of service times.
const SERVICE_SMOOTHING: f64 = 0.1;
/// Minimum service time charged for a start. It applies while no service time is known, so
/// that one team does not take all free slots then.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Factor applied to the mean service time when checking whether a deadline can be met.
const SERVICE_MARGIN: f64 = 1.25;
/// Minimum number of finished requests before the mean service time is used.
const SERVICE_SAMPLES: u32 = 8;

/// State of one pool, owned by the admission thread.
pub(crate) struct PoolState {
    /// Queued requests.
    pub queue: PoolQueue,
    /// Usage and demand by team.
    pub meter: DemandMeter,
    /// Retry budget.
    pub retries: RetryBudget,
    mean_service: Duration,
    samples: u32,
    lease: Option<Arc<SlotLease>>,
}

impl PoolState {
    /// Creates the state of a pool without queued requests or measured service times.
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

    /// Adds the service time of a finished request to the moving average.
    pub fn record_service_time(&mut self, elapsed: Duration) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_service = elapsed;
            return;
        }
        self.mean_service =
            self.mean_service.mul_f64(1.0 - SERVICE_SMOOTHING) + elapsed.mul_f64(SERVICE_SMOOTHING);
    }

    /// Moving average of the service time.
    pub fn service_time(&self) -> Duration {
        self.mean_service
    }

    /// Sets the current lease. A new lease includes all usage reported before it.
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

    /// The teams with queued requests, as input for `decide::share::pick_next_team`.
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

    /// Virtual time of a team: the value in the lease plus the usage here that the lease
    /// does not include.
    pub fn virtual_time(&self, snapshot: &PoolSnapshot, team: &TeamId, now: BootTime) -> Duration {
        let leased = snapshot.lease.teams.iter().find(|used| used.team == *team);
        let leased = leased.map_or(Duration::ZERO, |used| {
            Duration::from_millis(used.virtual_ms)
        });
        let mean_service = self.mean_service.max(MIN_SERVICE_TIME);
        leased + self.meter.unaccounted_time(team, mean_service, now) / snapshot.weight(team)
    }

    /// Expected time in the queue for `request`, from recent service times and the slots
    /// its team can count on; `None` while too little is known.
    ///
    /// The team can count on its due slots or on those it uses now, whichever is more: a
    /// team that is alone in the pool gets more than its due.
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

    /// A snapshot of the expected service time.
    pub fn service_estimate(&self) -> ServiceEstimate {
        ServiceEstimate {
            required: self.required_time(),
        }
    }

    /// Time that a request needs on a target, including a margin; zero while too little is
    /// known.
    pub fn required_time(&self) -> Duration {
        if self.samples < SERVICE_SAMPLES {
            return Duration::ZERO;
        }
        self.mean_service.mul_f64(SERVICE_MARGIN)
    }

    /// Number of queued requests of `team` that its slots here would let start, ignoring
    /// its limit.
    ///
    /// Units of the limit are distributed to hosts by this number. If the queue length were
    /// used, a host with many requests and few slots would draw units that it can't use,
    /// and requests on other hosts could not start for lack of units.
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

    /// Expected time until all queued requests have run.
    pub fn drain_time(&self, lease: &SlotLease) -> Duration {
        let slots = slot_sum(lease).max(1);
        self.mean_service
            .mul_f64(self.queue.len() as f64 / f64::from(slots))
    }
}

/// Returns the state of `pool`, creating it with the retry budget `retries` if it does not
/// exist.
pub(crate) fn pool_state_mut<'a>(
    pools: &'a mut BTreeMap<PoolId, PoolState>,
    retries: &RetryBudget,
    pool: &PoolId,
) -> &'a mut PoolState {
    pools
        .entry(pool.clone())
        .or_insert_with(|| PoolState::new(retries.clone()))
}

/// Expected service time of the requests in a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceEstimate {
    required: Duration,
}

impl ServiceEstimate {
    /// Whether `request`, if started now, would probably miss its deadline only because of
    /// its time in the queue.
    ///
    /// A target would run it and its caller would get "may have run", so the slot would be
    /// wasted. Under overload a first-in first-out queue brings every request to a slot in
    /// this state, so such a request is refused while "not run" is still true. A request
    /// whose total time allowance is shorter than the mean service time is tried anyway:
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

/// Inputs about one pool from other subsystems at one point in time.
pub(crate) struct PoolSnapshot {
    /// Targets of the pool.
    pub targets: Arc<Vec<TargetHost>>,
    /// Slots that this entry host may use.
    pub lease: Arc<SlotLease>,
    /// Maximum number of connections from this entry host to each target.
    pub max_connections: u32,
    /// Number of hosts that the pool must keep in service.
    pub budget: u32,
    /// The active configuration.
    pub config: Arc<ActiveConfig>,
}

impl PoolSnapshot {
    /// The part needed to choose a target.
    pub fn view(&self) -> PoolView<'_> {
        PoolView {
            targets: &self.targets,
            lease: &self.lease,
            max_connections: self.max_connections,
            budget: self.budget,
        }
    }

    /// Weight of `team` when the pool is saturated.
    pub fn weight(&self, team: &TeamId) -> u32 {
        let spec = self.config.manifest.teams.get(team);
        spec.map_or(1, |spec| spec.share).max(1)
    }
}
