use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use model::{BootTime, HostId, PoolId, WorkspaceId, work::HostCondition};

use super::{
    HostOrder, HostPlanner, WorkScheduler,
    fleet_division::{PoolNeed, divide_fleet},
    host_moves::{PoolCapacity, host_cores, millicores_to_cores},
    host_planner::{HostView, OperationState},
};

/// Time in seconds from the decision to vacate a host until it runs tasks of another pool. Work that
/// is done by then needs no other hosts.
const VACATE_LEAD_SECS: f64 = 3.0;
/// Time after which a host that is vacated for another pool goes back to work if tasks still run on
/// it.
const VACATE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How far a pool may be above or below its part, as a fraction, before hosts are vacated. Each move
/// costs seconds of the host's work.
const PART_TOLERANCE: f64 = 0.2;
/// How long pools must be above and below their parts before hosts are vacated. A burst that ends
/// before its hosts arrive is not worth their moves.
const UNEQUAL_FOR: Duration = Duration::from_secs(1);
/// Part of the fleet that may be vacated at once, as a divisor.
const VACATING_DIVISOR: usize = 6;

/// Cores of one pool in the division of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolDivision {
    /// Cores that the pool wants for work that it has and that it expects.
    pub wanted: f64,
    /// Cores that are due to it; less than it wants while the fleet is short.
    pub due: f64,
    /// Cores that it has, including hosts that are being moved to it.
    pub held: f64,
}

impl HostPlanner {
    /// Returns the division of the fleet as of the last plan.
    pub fn division(&self) -> BTreeMap<PoolId, PoolDivision> {
        let capacities = self.pool_capacities();
        let division = |(pool, capacity): (PoolId, PoolCapacity)| {
            let wanted = self.wanted_cores.get(&pool).copied();
            let division = PoolDivision {
                wanted: wanted.unwrap_or_else(|| self.meter.desired(&pool)),
                due: self.due_cores(&pool),
                held: capacity.cores,
            };
            (pool, division)
        };
        capacities.into_iter().map(division).collect()
    }

    /// Divides the fleet among the pools if they want more than there is.
    pub(super) fn update_parts(
        &mut self,
        scheduler: &WorkScheduler,
        capacities: &BTreeMap<PoolId, PoolCapacity>,
        now: BootTime,
    ) {
        self.parts.clear();
        self.wanted_cores.clear();
        if !scheduler.tuning.sharing.fair_division {
            return;
        }
        let total: f64 = capacities.values().map(|capacity| capacity.cores).sum();
        let host_size = self.mean_host_cores();
        let needs: Vec<PoolNeed> = scheduler
            .policy
            .pools
            .iter()
            .filter(|pool| !pool.standby)
            .map(|pool| self.pool_need(scheduler, &pool.name, host_size, now))
            .collect();
        let wanted = |need: &PoolNeed| need.reserved + need.claims.values().sum::<f64>();
        self.wanted_cores = needs
            .iter()
            .map(|need| (need.pool.clone(), wanted(need)))
            .collect();
        if self.wanted_cores.values().sum::<f64>() <= total {
            return;
        }
        let weight = |workspace: &WorkspaceId| f64::from(scheduler.workspace_weight(workspace));
        self.parts = divide_fleet(total, &needs, weight);
    }

    /// Returns the cores that a pool is to have: its part of the fleet, or what it desires while
    /// there is enough for all.
    pub(super) fn due_cores(&self, pool: &PoolId) -> f64 {
        let desired = self.meter.desired(pool);
        self.parts.get(pool).copied().unwrap_or(desired)
    }

    /// Vacates hosts of pools above their part for pools below theirs.
    pub(super) fn vacate_hosts(
        &mut self,
        scheduler: &WorkScheduler,
        capacities: &mut BTreeMap<PoolId, PoolCapacity>,
        now: BootTime,
    ) {
        self.end_vacating(scheduler, now);
        if self.unequal_pools(capacities).is_none() {
            self.unequal_since = None;
            return;
        }
        let since = *self.unequal_since.get_or_insert(now);
        if now.saturating_sub(since) < UNEQUAL_FOR {
            return;
        }
        let limit = self.hosts.len() / VACATING_DIVISOR;
        let vacating = self.hosts.values().filter(|view| is_vacating(view)).count();
        let mut candidates: BTreeMap<PoolId, VecDeque<HostId>> = BTreeMap::new();
        for _ in vacating..limit {
            let Some((from, to)) = self.unequal_pools(capacities) else {
                return;
            };
            let hosts = candidates
                .entry(from)
                .or_insert_with_key(|from| self.hosts_to_vacate(scheduler, from, now));
            let is_refused =
                |host: &HostId| self.refused_moves.contains(&(host.clone(), to.clone()));
            let Some(host) = hosts.pop_front().filter(|host| !is_refused(host)) else {
                return;
            };
            self.order_move(&host, &to, capacities);
            if let Some(view) = self.hosts.get_mut(&host) {
                view.vacating_since = Some(now);
            }
        }
    }

    /// Returns the pool that is the furthest above its part and the one that is the furthest below.
    fn unequal_pools(
        &self,
        capacities: &BTreeMap<PoolId, PoolCapacity>,
    ) -> Option<(PoolId, PoolId)> {
        let difference = |pool: &PoolId, part: f64| {
            let held = capacities.get(pool).copied().unwrap_or_default().cores;
            (held - part) / part.max(1.0)
        };
        let by_difference = self
            .parts
            .iter()
            .map(|(pool, &part)| (difference(pool, part), pool));
        let above = by_difference
            .clone()
            .max_by(|one, other| one.0.total_cmp(&other.0))?;
        let below = by_difference.min_by(|one, other| one.0.total_cmp(&other.0))?;
        let is_unequal = above.0 > PART_TOLERANCE && below.0 < -PART_TOLERANCE;
        is_unequal.then(|| (above.1.clone(), below.1.clone()))
    }

    /// Returns the hosts of a pool that can be vacated, those first that are likely to be empty
    /// first.
    fn hosts_to_vacate(
        &self,
        scheduler: &WorkScheduler,
        pool: &PoolId,
        now: BootTime,
    ) -> VecDeque<HostId> {
        let is_movable = |view: &&HostView| {
            view.fleet.pool == *pool
                && view.operation.is_none()
                && view.fleet.condition == HostCondition::Up
                && now >= view.not_before
                && !self.is_drained(view)
        };
        let time_left = |view: &HostView| {
            let time = scheduler.time_to_empty(&view.fleet.target, now)?;
            Some((time, view.fleet.host.clone()))
        };
        let movable = self.hosts.values().filter(is_movable);
        let mut hosts: Vec<(Duration, HostId)> = movable.filter_map(time_left).collect();
        hosts.sort();
        hosts.into_iter().map(|(_, host)| host).collect()
    }

    /// Lets hosts run tasks of their own pool again that are not empty in time, and all of them once
    /// the fleet is no longer short.
    fn end_vacating(&mut self, scheduler: &WorkScheduler, now: BootTime) {
        let is_short = !self.parts.is_empty();
        for view in self.hosts.values_mut() {
            let Some(since) = view.vacating_since else {
                continue;
            };
            let is_draining = is_draining(view);
            let target = scheduler.targets.get(&view.fleet.target);
            let is_busy = target.is_some_and(|target| !target.is_empty());
            let is_late = now.saturating_sub(since) >= VACATE_TIMEOUT;
            if is_draining && is_busy && (is_late || !is_short) {
                view.operation = None;
                view.not_before = view.not_before.max(now + VACATE_TIMEOUT);
            }
            if view.operation.is_none() {
                view.vacating_since = None;
            }
        }
    }

    fn mean_host_cores(&self) -> f64 {
        let cores: f64 = self.hosts.values().map(host_cores).sum();
        #[expect(clippy::cast_precision_loss, reason = "a number of hosts")]
        let hosts = self.hosts.len().max(1) as f64;
        cores / hosts
    }

    fn pool_need(
        &self,
        scheduler: &WorkScheduler,
        pool: &PoolId,
        host_size: f64,
        now: BootTime,
    ) -> PoolNeed {
        #[expect(clippy::cast_precision_loss, reason = "a number of hosts")]
        let kept = self.min_hosts(pool) as f64 * host_size;
        let (_, long_running) = scheduler.core_demand(pool);
        let mut claims = scheduler.countable_cores(pool, VACATE_LEAD_SECS, now);
        let claimed: f64 = claims.values().sum();
        let reserved = kept.max(long_running);
        // What is kept beyond long-running tasks serves a part of the claims.
        let beyond_reserved = (claimed - (reserved - long_running)).max(0.0);
        for cores in claims.values_mut() {
            *cores *= beyond_reserved / claimed.max(1.0);
        }
        PoolNeed {
            pool: pool.clone(),
            reserved,
            claims,
            deferrable: scheduler.overdue_cores(pool),
        }
    }
}

impl WorkScheduler {
    /// Returns the cores that each workspace can use in a pool within `lead_secs` for work that
    /// still counts.
    fn countable_cores(
        &self,
        pool: &PoolId,
        lead_secs: f64,
        now: BootTime,
    ) -> BTreeMap<WorkspaceId, f64> {
        let mut cores: BTreeMap<WorkspaceId, f64> = BTreeMap::new();
        for (workspace, offered) in self.offers.lasting_rates(pool, now) {
            *cores.entry(workspace.clone()).or_default() += offered;
        }
        for (workspace, demand) in self.index.jobs.work.workspace_demands(pool) {
            let waiting = demand.countable.ready + demand.overdue.ready;
            let running = millicores_to_cores(demand.present.saturating_sub(waiting));
            let work = demand.countable.core_seconds();
            *cores.entry(workspace.clone()).or_default() += work / lead_secs + running / 2.0;
        }
        cores
    }

    fn overdue_cores(&self, pool: &PoolId) -> f64 {
        millicores_to_cores(self.index.jobs.work.demand(pool).overdue.ready)
    }

    /// Returns the estimated time until all tasks of a target have ended; `None` if it runs
    /// long-running tasks.
    fn time_to_empty(&self, target: &HostId, now: BootTime) -> Option<Duration> {
        let target = self.targets.get(target)?;
        let mut longest = Duration::ZERO;
        for (key, _) in target.claims.keys() {
            let step = self.step_plan(key)?;
            if step.long_running {
                return None;
            }
            let job = self.job_table.jobs.get(&key.job)?;
            let task = job.task(key.occurrence, key.step, key.index);
            let placement = task.and_then(|task| task.placement.as_ref());
            let since = placement.map_or(now, |placement| placement.since);
            longest = longest.max(remaining_run_time(step.estimate, now.saturating_sub(since)));
        }
        Some(longest)
    }
}

/// Returns the estimated remaining run time of a task. One that runs longer than expected will
/// probably run for as long again.
fn remaining_run_time(estimate: Duration, elapsed: Duration) -> Duration {
    match elapsed <= estimate {
        true => estimate.saturating_sub(elapsed),
        false => elapsed,
    }
}

fn is_vacating(view: &HostView) -> bool {
    view.vacating_since.is_some() && is_draining(view)
}

fn is_draining(view: &HostView) -> bool {
    view.operation.as_ref().is_some_and(|operation| {
        operation.state == OperationState::Draining
            && matches!(operation.order, HostOrder::Move(..))
    })
}
