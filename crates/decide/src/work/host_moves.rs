use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{BootTime, HostId, PoolId, work::HostCondition};

use super::{
    HostOrder, HostPlanner, PoolCores, TargetState, WorkScheduler, host_planner::HostView,
};

/// Idle time after which a host that its pool does not need is switched off. A move costs as much
/// as 1.1 s of a host at the measured prices, and the host may be needed again.
const SWITCH_OFF_AFTER: Duration = Duration::from_millis(1500);
/// Idle time after which a host may be moved to another pool that lacks hosts.
const LEND_AFTER: Duration = Duration::from_millis(100);
/// Minimum number of hosts of a pool, however large the fleet.
const MIN_IDLE_HOSTS: usize = 2;
/// An idle pool keeps one third of an equal share of the fleet's hosts. A burst of a queue starts
/// within a second, and a host that is switched off takes two seconds to start. With only two hosts
/// of a share of twelve, a day's result was 0.002 to 0.015 lower because of late work.
const IDLE_SHARE_DIVISOR: usize = 3;
/// A pool gets at most this part of the fleet for steps that were denied all its targets.
const DENIED_SHARE_DIVISOR: usize = 3;

/// Capacity of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolCapacity {
    pub(super) cores: f64,
    hosts: usize,
}

impl HostPlanner {
    /// Moves hosts to pools that lack capacity, and switches off hosts that no pool needs.
    pub(super) fn plan_moves(&mut self, scheduler: &mut WorkScheduler, now: BootTime) {
        let needs_cores = scheduler.tuning.sharing.needs_pool_cores();
        scheduler.pool_cores = needs_cores.then(|| self.pool_cores(scheduler));
        let scheduler = &*scheduler;
        self.observe_pools(scheduler, now);
        self.min_idle_hosts = self.min_idle_hosts(scheduler);
        let standby = standby_pool(scheduler);
        let mut capacities = self.pool_capacities();
        self.update_parts(scheduler, &capacities, now);
        let pools: Vec<PoolId> = scheduler
            .policy
            .pools
            .iter()
            .filter(|pool| !pool.standby)
            .map(|pool| pool.name.clone())
            .collect();
        for pool in &pools {
            self.fill_pool(pool, standby.as_ref(), &mut capacities, now);
        }
        self.vacate_hosts(scheduler, &mut capacities, now);
        self.provision_replacements(scheduler, standby.as_ref(), &mut capacities, now);
        if let Some(standby) = &standby {
            self.switch_off(&pools, standby, &mut capacities, now);
        }
    }

    /// Returns true if a host that is switched off can be moved to a pool.
    pub(super) fn has_standby_host(&self, scheduler: &WorkScheduler, now: BootTime) -> bool {
        let standby = standby_pool(scheduler);
        let mut hosts = self.hosts.values();
        hosts.any(|view| {
            standby.as_ref() == Some(&view.fleet.pool)
                && is_free(view, now)
                && !self.is_drained(view)
        })
    }

    /// Returns the pools that have less capacity than they need.
    pub(super) fn pools_below_demand(&self) -> BTreeSet<PoolId> {
        let capacities = self.pool_capacities();
        let pools = self.hosts.values().map(|view| &view.fleet.pool);
        let below_demand = pools.filter(|pool| self.surplus(pool, &capacities) < 0.0);
        below_demand.cloned().collect()
    }

    fn fill_pool(
        &mut self,
        pool: &PoolId,
        standby: Option<&PoolId>,
        pool_capacities: &mut BTreeMap<PoolId, PoolCapacity>,
        now: BootTime,
    ) {
        loop {
            let capacity = pool_capacities.get(pool).copied().unwrap_or_default();
            if capacity.cores >= self.due_cores(pool) && capacity.hosts >= self.min_hosts(pool) {
                return;
            }
            let Some(host) = self.donor(pool, standby, pool_capacities, now, |_| true) else {
                return;
            };
            self.order_move(&host, pool, pool_capacities);
        }
    }

    /// Returns a host that another pool can donate and that `is_suitable` accepts: preferably one
    /// that is switched off, otherwise an idle one from the pool with the largest surplus.
    pub(super) fn donor(
        &self,
        pool: &PoolId,
        standby: Option<&PoolId>,
        pool_capacities: &BTreeMap<PoolId, PoolCapacity>,
        now: BootTime,
        is_suitable: impl Fn(&HostView) -> bool,
    ) -> Option<HostId> {
        let free = |view: &&HostView| {
            view.fleet.pool != *pool
                && is_free(view, now)
                && !self.is_drained(view)
                && is_suitable(view)
                && !self
                    .refused_moves
                    .contains(&(view.fleet.host.clone(), pool.clone()))
        };
        let mut best: Option<(bool, f64, &HostView)> = None;
        for view in self.hosts.values().filter(free) {
            let switched_off = standby == Some(&view.fleet.pool);
            let idle = view
                .idle_since
                .map_or(Duration::ZERO, |since| now.saturating_sub(since));
            if !switched_off && (idle < LEND_AFTER || !self.can_lend(view, pool_capacities)) {
                continue;
            }
            let surplus = self.surplus(&view.fleet.pool, pool_capacities);
            let better = best.is_none_or(|(best_switched_off, best_surplus, _)| {
                (switched_off, surplus) > (best_switched_off, best_surplus)
            });
            if better {
                best = Some((switched_off, surplus, view));
            }
        }
        best.map(|(_, _, view)| view.fleet.host.clone())
    }

    fn switch_off(
        &mut self,
        pools: &[PoolId],
        standby: &PoolId,
        pool_capacities: &mut BTreeMap<PoolId, PoolCapacity>,
        now: BootTime,
    ) {
        let idle = |view: &HostView| {
            is_free(view, now)
                && pools.contains(&view.fleet.pool)
                && view
                    .idle_since
                    .is_some_and(|since| now.saturating_sub(since) >= SWITCH_OFF_AFTER)
                && !self
                    .refused_moves
                    .contains(&(view.fleet.host.clone(), standby.clone()))
        };
        let hosts: Vec<HostId> = self
            .hosts
            .values()
            .filter(|view| idle(view))
            .map(|view| view.fleet.host.clone())
            .collect();
        for host in hosts {
            let Some(view) = self.hosts.get(&host) else {
                continue;
            };
            let capacity = pool_capacities
                .get(&view.fleet.pool)
                .copied()
                .unwrap_or_default();
            let remaining_cores = capacity.cores - host_cores(view);
            let min_hosts = self.min_hosts(&view.fleet.pool);
            let is_surplus =
                remaining_cores >= self.meter.floor(&view.fleet.pool) && capacity.hosts > min_hosts;
            if is_surplus || self.is_drained(view) {
                self.order_move(&host, standby, pool_capacities);
            }
        }
    }

    pub(super) fn order_move(
        &mut self,
        host: &HostId,
        to: &PoolId,
        pool_capacities: &mut BTreeMap<PoolId, PoolCapacity>,
    ) {
        let Some(view) = self.hosts.get(host) else {
            return;
        };
        let size = host_cores(view);
        let counts = !self.is_drained(view);
        if let Some(capacity) = pool_capacities.get_mut(&view.fleet.pool).filter(|_| counts) {
            capacity.cores -= size;
            capacity.hosts = capacity.hosts.saturating_sub(1);
        }
        let capacity = pool_capacities.entry(to.clone()).or_default();
        capacity.cores += size;
        capacity.hosts += 1;
        self.begin_operation(host, HostOrder::Move(host.clone(), to.clone()));
    }

    fn can_lend(&self, view: &HostView, capacities: &BTreeMap<PoolId, PoolCapacity>) -> bool {
        let capacity = capacities
            .get(&view.fleet.pool)
            .copied()
            .unwrap_or_default();
        let min_hosts = self.min_hosts(&view.fleet.pool);
        capacity.hosts > min_hosts && self.surplus(&view.fleet.pool, capacities) >= host_cores(view)
    }

    /// Returns the number of hosts that an idle pool keeps for the first tasks of a burst.
    fn min_idle_hosts(&self, scheduler: &WorkScheduler) -> usize {
        let serving = scheduler.policy.pools.iter().filter(|pool| !pool.standby);
        let share = self.hosts.len() / serving.count().max(1);
        (share / IDLE_SHARE_DIVISOR).max(MIN_IDLE_HOSTS)
    }

    /// Returns the minimum number of hosts of a pool.
    pub(super) fn min_hosts(&self, pool: &PoolId) -> usize {
        let required = self.required_hosts.get(pool).copied().unwrap_or_default();
        required.max(self.min_idle_hosts)
    }

    fn surplus(&self, pool: &PoolId, capacities: &BTreeMap<PoolId, PoolCapacity>) -> f64 {
        let capacity = capacities.get(pool).copied().unwrap_or_default();
        capacity.cores - self.due_cores(pool)
    }

    /// Returns the capacity of each pool, including hosts that are being moved to it. Hosts in
    /// drained data centres are none.
    pub(super) fn pool_capacities(&self) -> BTreeMap<PoolId, PoolCapacity> {
        let mut capacities: BTreeMap<PoolId, PoolCapacity> = BTreeMap::new();
        for view in self.hosts.values() {
            let pool = match view.operation.as_ref().map(|operation| &operation.order) {
                Some(HostOrder::Move(_, pool)) => pool,
                Some(HostOrder::Maintain(..)) | None => &view.fleet.pool,
            };
            let is_lost = view.fleet.condition == HostCondition::Down && view.operation.is_none();
            if is_lost || self.is_drained(view) {
                continue;
            }
            let capacity = capacities.entry(pool.clone()).or_default();
            capacity.cores += host_cores(view);
            capacity.hosts += 1;
        }
        capacities
    }

    /// Returns the cores of each pool for tasks that are not long-running.
    fn pool_cores(&self, scheduler: &WorkScheduler) -> BTreeMap<PoolId, PoolCores> {
        let mut pools: BTreeMap<PoolId, PoolCores> = BTreeMap::new();
        for view in self.hosts.values().filter(|view| !self.is_drained(view)) {
            let size = host_cores(view);
            let target = scheduler.targets.get(&view.fleet.target);
            let runs = target.is_some_and(TargetState::can_run);
            match view.operation.as_ref().map(|operation| &operation.order) {
                None if runs => {
                    let cores = pools.entry(view.fleet.pool.clone()).or_default();
                    cores.present += size;
                    cores.soon += size;
                }
                Some(HostOrder::Move(_, pool)) => {
                    pools.entry(pool.clone()).or_default().soon += size;
                }
                Some(HostOrder::Maintain(..)) | None => {}
            }
        }
        for (pool, cores) in &mut pools {
            let (_, long_running) = scheduler.core_demand(pool);
            cores.present = (cores.present - long_running).max(0.0);
            cores.soon = (cores.soon - long_running).max(0.0);
        }
        pools
    }

    fn observe_pools(&mut self, scheduler: &WorkScheduler, now: BootTime) {
        for pool in &scheduler.policy.pools {
            let (present, long_running) = scheduler.core_demand(&pool.name);
            self.meter.observe(&pool.name, present, long_running, now);
            let for_anti_affinity = scheduler.anti_affinity_hosts(&pool.name);
            let for_denied = scheduler.hosts_for_denied_steps(&pool.name, now);
            let for_denied = for_denied.min(self.hosts.len() / DENIED_SHARE_DIVISOR);
            self.required_hosts
                .insert(pool.name.clone(), for_anti_affinity.max(for_denied));
        }
    }
}

impl WorkScheduler {
    /// Returns the cores that the open jobs of a pool need: first for tasks that run or could start
    /// now, then for long-running tasks.
    pub(super) fn core_demand(&self, pool: &PoolId) -> (f64, f64) {
        let demand = self.index.jobs.work.demand(pool);
        (
            millicores_to_cores(demand.present),
            millicores_to_cores(demand.long_running),
        )
    }

    /// Returns the number of hosts that a pool needs for the tasks of a step with anti-affinity,
    /// plus one: a task that has to leave its host needs another host to move to.
    fn anti_affinity_hosts(&self, pool: &PoolId) -> usize {
        let hosts = self.index.jobs.anti_affinity_hosts(pool);
        let replacement = usize::from(hosts > 0);
        let has_unplaced = self.unplaced_since.keys().any(|step| {
            let job = self.job_table.jobs.get(&step.job);
            job.is_some_and(|job| job.pool == *pool)
        });
        hosts + replacement + usize::from(has_unplaced)
    }
}

fn standby_pool(scheduler: &WorkScheduler) -> Option<PoolId> {
    let standby = scheduler.policy.pools.iter().find(|pool| pool.standby);
    standby.map(|pool| pool.name.clone())
}

fn is_free(view: &HostView, now: BootTime) -> bool {
    view.operation.is_none()
        && view.fleet.condition == HostCondition::Up
        && view.idle_since.is_some()
        && now >= view.not_before
}

pub(super) fn host_cores(view: &HostView) -> f64 {
    millicores_to_cores(view.fleet.capacity.cpu)
}

/// Converts thousandths of a core to cores.
#[expect(
    clippy::cast_precision_loss,
    reason = "cores of a pool are far below 2^52"
)]
pub fn millicores_to_cores(cpu: u64) -> f64 {
    cpu as f64 / 1000.0
}
