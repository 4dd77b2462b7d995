use std::{collections::BTreeMap, sync::Arc, time::Duration};

use decide::{retry::RetryBudget, share::TeamTurn};
use model::{BootTime, PoolId, TeamId};
use ports::{ActiveConfig, SlotLease, TargetHost};

use super::{demand_meter::DemandMeter, pool_queue::PoolQueue, target_table::PoolView};
use crate::work::CallerRequest;

/// Part of a new measurement in the running mean of service times.
const SERVICE_GAIN: f64 = 0.1;
/// What a start is charged while nothing is known of service times, so that one team does
/// not take all free slots then.
const SHORTEST_SERVICE: Duration = Duration::from_millis(1);
/// Service times above the mean that a deadline should leave room for.
const SERVICE_MARGIN: f64 = 1.25;
/// Ended requests before the mean of service times is trusted.
const SERVICE_SAMPLES: u32 = 8;

/// Everything the admission thread keeps of one pool.
pub(crate) struct PoolDesk {
    /// Its queue.
    pub queue: PoolQueue,
    /// Its use and demand.
    pub meter: DemandMeter,
    /// Its retries.
    pub retries: RetryBudget,
    service: Duration,
    samples: u32,
    lease: Option<Arc<SlotLease>>,
}

impl PoolDesk {
    /// The desk of a pool that nothing is known of.
    pub fn new(retries: RetryBudget) -> Self {
        Self {
            queue: PoolQueue::default(),
            meter: DemandMeter::default(),
            retries,
            service: Duration::ZERO,
            samples: 0,
            lease: None,
        }
    }

    /// Notes how long a target took for a request.
    pub fn note_service(&mut self, elapsed: Duration) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.service = elapsed;
            return;
        }
        self.service = self.service.mul_f64(1.0 - SERVICE_GAIN) + elapsed.mul_f64(SERVICE_GAIN);
    }

    /// Mean time that targets took for a request lately.
    pub fn service_time(&self) -> Duration {
        self.service
    }

    /// Notes the lease now held; a renewed one has counted what was started before.
    pub fn note_lease(&mut self, lease: &Arc<SlotLease>) {
        let known = self
            .lease
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, lease));
        if !known {
            self.meter.note_lease();
            self.lease = Some(Arc::clone(lease));
        }
    }

    /// The teams that have something queued, as `decide::share::pick` wants to see them.
    pub fn turns(&self, parts: &PoolParts, now: BootTime) -> Vec<TeamTurn> {
        let turn = |team: &TeamId| TeamTurn {
            team: team.clone(),
            virtual_time: self.virtual_time(parts, team, now),
            queued: u32::try_from(self.queue.team_len(team).0).unwrap_or(u32::MAX),
            urgent_wait: self.queue.urgent_wait(team, now),
            blocked: false,
        };
        self.queue.waiting_teams().map(turn).collect()
    }

    /// Virtual time of a team: what the lease says, and what was used here since.
    pub fn virtual_time(&self, parts: &PoolParts, team: &TeamId, now: BootTime) -> Duration {
        let told = parts.lease.teams.iter().find(|used| used.team == *team);
        let told = told.map_or(Duration::ZERO, |used| {
            Duration::from_millis(used.virtual_ms)
        });
        let service = self.service.max(SHORTEST_SERVICE);
        told + self.meter.uncounted(team, service, now) / parts.weight(team)
    }

    /// How long `work` would wait, by recent service times and the slots that its team may
    /// count on; `None` while nothing is known.
    ///
    /// Those slots are the team's due or what it runs, whichever is more: a team alone in
    /// the pool gets more than its due.
    pub fn expected_wait(
        &self,
        work: &CallerRequest,
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
            .find(|used| used.team == work.team)
            .map_or(0, |used| used.slots);
        let mine = due.max(self.meter.running(&work.team)).clamp(1, slots);
        let (queued, urgent) = self.queue.team_len(&work.team);
        let ahead = if work.urgent { urgent } else { queued };
        Some(self.service.mul_f64(ahead as f64 / f64::from(mine)))
    }

    /// How long requests are likely to take now.
    pub fn outlook(&self) -> PoolOutlook {
        PoolOutlook {
            needed: self.needed_time(),
        }
    }

    /// Time that a request needs on a target, with a margin; zero while nothing is known.
    pub fn needed_time(&self) -> Duration {
        if self.samples < SERVICE_SAMPLES {
            return Duration::ZERO;
        }
        self.service.mul_f64(SERVICE_MARGIN)
    }

    /// Starts of `team` that its slots here would allow, if its limit did.
    ///
    /// Units of the limit go to hosts by this number. By the length of the queue a host
    /// with many requests and few slots would draw units that it can't use, and starts
    /// elsewhere would stop for want of them.
    pub fn useful_starts(&self, team: &TeamId, lease: &SlotLease) -> u32 {
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
        self.service
            .mul_f64(self.queue.len() as f64 / f64::from(slots))
    }
}

/// The desk of `pool`, a new one with the budget `retries` if there is none.
pub(crate) fn desk_of<'a>(
    desks: &'a mut BTreeMap<PoolId, PoolDesk>,
    retries: &RetryBudget,
    pool: &PoolId,
) -> &'a mut PoolDesk {
    desks
        .entry(pool.clone())
        .or_insert_with(|| PoolDesk::new(retries.clone()))
}

/// What recent service times say of the requests that wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolOutlook {
    needed: Duration,
}

impl PoolOutlook {
    /// Whether `work`, started now, is likely to outlast its deadline only because it waited.
    ///
    /// A target would run it, and its caller would be told that it may have run: the slot is
    /// spent and nobody gains. Under overload a queue in order of arrival brings every
    /// request to a slot in this state, so it is refused instead, while that is still
    /// truthful. A request whose whole span is shorter than the mean service time is tried:
    /// the mean may come from other callers.
    pub fn waited_too_long(&self, work: &CallerRequest, now: BootTime) -> bool {
        let needed = self.needed;
        let span = work.deadline.saturating_sub(work.arrived);
        needed <= span && work.deadline < now + needed
    }
}

fn slot_sum(lease: &SlotLease) -> u32 {
    lease.targets.iter().map(|target| target.slots).sum()
}

/// What the other areas say of one pool at one moment.
pub(crate) struct PoolParts {
    /// Its targets.
    pub targets: Arc<Vec<TargetHost>>,
    /// The slots that this entry host may use.
    pub lease: Arc<SlotLease>,
    /// Connections that this entry host may hold to each target.
    pub connections: u32,
    /// How many hosts the pool must keep in service.
    pub budget: u32,
    /// The configuration in force.
    pub config: Arc<ActiveConfig>,
}

impl PoolParts {
    /// The parts that the choice of a target needs.
    pub fn view(&self) -> PoolView<'_> {
        PoolView {
            targets: &self.targets,
            lease: &self.lease,
            connections: self.connections,
            budget: self.budget,
        }
    }

    /// Weight of `team` when the pool is full.
    pub fn weight(&self, team: &TeamId) -> u32 {
        let spec = self.config.manifest.teams.get(team);
        spec.map_or(1, |spec| spec.share).max(1)
    }
}
