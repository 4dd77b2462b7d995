use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{BootTime, HostId, PoolId, work::HostCondition};

use super::{HostOrder, HostPlanner, WorkDesk, host_planner::HostView};

/// Idle time after which a host that its pool does not need is switched off. A move costs as
/// much as 1.1 s of a host at the prices measured, and it may be needed back.
const SWITCH_OFF_AFTER: Duration = Duration::from_millis(1500);
/// Idle time after which another pool that lacks hosts may have one.
const LEND_AFTER: Duration = Duration::from_millis(100);
/// Hosts that a pool keeps at least, however large the fleet.
const MIN_IDLE_HOSTS: usize = 2;
/// Part of an equal share of the fleet's hosts that an idle pool keeps: one third. A turn of a
/// queue begins within a second, and a host that is off takes two to come. Keeping two hosts of a
/// share of twelve was worth 0.002 to 0.015 less a day, in work that was late.
const IDLE_SHARE_DIVISOR: usize = 3;

/// Hosts of one pool, in cores.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolCapacity {
    cores: f64,
    hosts: usize,
}

impl HostPlanner {
    /// Gives hosts to pools that lack room, and switches off what no pool needs.
    pub(super) fn plan_moves(&mut self, desk: &WorkDesk, now: BootTime) {
        self.observe_pools(desk, now);
        self.min_idle_hosts = self.min_idle_hosts(desk);
        let standby = standby_pool(desk);
        let mut rooms = self.pool_capacities();
        let pools: Vec<PoolId> = desk
            .terms
            .pools
            .iter()
            .filter(|pool| !pool.standby)
            .map(|pool| pool.name.clone())
            .collect();
        for pool in &pools {
            self.fill_pool(pool, standby.as_ref(), &mut rooms, now);
        }
        self.provision_replacements(desk, standby.as_ref(), &mut rooms, now);
        if let Some(standby) = &standby {
            self.switch_off(&pools, standby, &mut rooms, now);
        }
    }

    /// True if a host that is switched off can be brought to a pool.
    pub(super) fn has_standby_host(&self, desk: &WorkDesk, now: BootTime) -> bool {
        let standby = standby_pool(desk);
        let mut hosts = self.hosts.values();
        hosts.any(|view| standby.as_ref() == Some(&view.fleet.pool) && is_free(view, now))
    }

    /// Pools that have less room than they need.
    pub(super) fn pools_below_demand(&self) -> BTreeSet<PoolId> {
        let rooms = self.pool_capacities();
        let pools = self.hosts.values().map(|view| &view.fleet.pool);
        let short = pools.filter(|pool| self.surplus(pool, &rooms) < 0.0);
        short.cloned().collect()
    }

    fn fill_pool(
        &mut self,
        pool: &PoolId,
        standby: Option<&PoolId>,
        pool_capacities: &mut BTreeMap<PoolId, PoolCapacity>,
        now: BootTime,
    ) {
        loop {
            let room = pool_capacities.get(pool).copied().unwrap_or_default();
            if room.cores >= self.meter.desired(pool) && room.hosts >= self.min_hosts(pool) {
                return;
            }
            let Some(host) = self.donor(pool, standby, pool_capacities, now, |_| true) else {
                return;
            };
            self.order_move(&host, pool, pool_capacities);
        }
    }

    /// A host that another pool can lend and that suits: one that is switched off, otherwise an
    /// idle one.
    pub(super) fn donor(
        &self,
        pool: &PoolId,
        standby: Option<&PoolId>,
        pool_capacities: &BTreeMap<PoolId, PoolCapacity>,
        now: BootTime,
        suits: impl Fn(&HostView) -> bool,
    ) -> Option<HostId> {
        let free = |view: &&HostView| {
            view.fleet.pool != *pool
                && is_free(view, now)
                && suits(view)
                && !self
                    .refused_moves
                    .contains(&(view.fleet.host.clone(), pool.clone()))
        };
        let mut best: Option<(bool, f64, &HostView)> = None;
        for view in self.hosts.values().filter(free) {
            let off = standby == Some(&view.fleet.pool);
            let idle = view
                .idle_since
                .map_or(Duration::ZERO, |since| now.saturating_sub(since));
            if !off && (idle < LEND_AFTER || !self.can_lend(view, pool_capacities)) {
                continue;
            }
            let surplus = self.surplus(&view.fleet.pool, pool_capacities);
            let better =
                best.is_none_or(|(off_before, most, _)| (off, surplus) > (off_before, most));
            if better {
                best = Some((off, surplus, view));
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
            let room = pool_capacities
                .get(&view.fleet.pool)
                .copied()
                .unwrap_or_default();
            let left = room.cores - host_cores(view);
            let least = self.min_hosts(&view.fleet.pool);
            if left >= self.meter.floor(&view.fleet.pool) && room.hosts > least {
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
        if let Some(room) = pool_capacities.get_mut(&view.fleet.pool) {
            room.cores -= size;
            room.hosts = room.hosts.saturating_sub(1);
        }
        let room = pool_capacities.entry(to.clone()).or_default();
        room.cores += size;
        room.hosts += 1;
        self.begin_operation(host, HostOrder::Move(host.clone(), to.clone()));
    }

    fn can_lend(&self, view: &HostView, rooms: &BTreeMap<PoolId, PoolCapacity>) -> bool {
        let room = rooms.get(&view.fleet.pool).copied().unwrap_or_default();
        let least = self.min_hosts(&view.fleet.pool);
        room.hosts > least && self.surplus(&view.fleet.pool, rooms) >= host_cores(view)
    }

    /// Hosts that an idle pool keeps for the first tasks of a turn.
    fn min_idle_hosts(&self, desk: &WorkDesk) -> usize {
        let serving = desk.terms.pools.iter().filter(|pool| !pool.standby);
        let share = self.hosts.len() / serving.count().max(1);
        (share / IDLE_SHARE_DIVISOR).max(MIN_IDLE_HOSTS)
    }

    /// Hosts below which a pool does not go.
    fn min_hosts(&self, pool: &PoolId) -> usize {
        let needed = self
            .anti_affinity_hosts
            .get(pool)
            .copied()
            .unwrap_or_default();
        needed.max(self.min_idle_hosts)
    }

    fn surplus(&self, pool: &PoolId, rooms: &BTreeMap<PoolId, PoolCapacity>) -> f64 {
        let room = rooms.get(pool).copied().unwrap_or_default();
        room.cores - self.meter.desired(pool)
    }

    /// What each pool has or will have, moves under way included.
    fn pool_capacities(&self) -> BTreeMap<PoolId, PoolCapacity> {
        let mut rooms: BTreeMap<PoolId, PoolCapacity> = BTreeMap::new();
        for view in self.hosts.values() {
            let pool = match view.operation.as_ref().map(|errand| &errand.order) {
                Some(HostOrder::Move(_, pool)) => pool,
                Some(HostOrder::Maintain(..)) | None => &view.fleet.pool,
            };
            let gone = view.fleet.condition == HostCondition::Down && view.operation.is_none();
            if gone {
                continue;
            }
            let room = rooms.entry(pool.clone()).or_default();
            room.cores += host_cores(view);
            room.hosts += 1;
        }
        rooms
    }

    fn observe_pools(&mut self, desk: &WorkDesk, now: BootTime) {
        for pool in &desk.terms.pools {
            let (present, lasting) = desk.core_demand(&pool.name);
            self.meter.observe(&pool.name, present, lasting, now);
            self.anti_affinity_hosts
                .insert(pool.name.clone(), desk.anti_affinity_hosts(&pool.name));
        }
    }
}

impl WorkDesk {
    /// Cores that the open jobs of a pool need: for what runs or could start now, and, apart,
    /// for tasks that last.
    fn core_demand(&self, pool: &PoolId) -> (f64, f64) {
        let need = self.index.jobs.demand(pool);
        (
            millicores_to_cores(need.present),
            millicores_to_cores(need.long_running),
        )
    }

    /// Hosts that a pool needs for the tasks of one step that may not share a host, and one
    /// more: a task that has to leave its host needs another to go to.
    fn anti_affinity_hosts(&self, pool: &PoolId) -> usize {
        let hosts = self.index.jobs.anti_affinity_hosts(pool);
        let spare = usize::from(hosts > 0);
        let starved = self.starved.keys().any(|step| {
            let job = self.board.jobs.get(&step.job);
            job.is_some_and(|job| job.pool == *pool)
        });
        hosts + spare + usize::from(starved)
    }
}

fn standby_pool(desk: &WorkDesk) -> Option<PoolId> {
    let standby = desk.terms.pools.iter().find(|pool| pool.standby);
    standby.map(|pool| pool.name.clone())
}

fn is_free(view: &HostView, now: BootTime) -> bool {
    view.operation.is_none()
        && view.fleet.condition == HostCondition::Up
        && view.idle_since.is_some()
        && now >= view.not_before
}

fn host_cores(view: &HostView) -> f64 {
    millicores_to_cores(view.fleet.capacity.cpu)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "cores of a pool are far below 2^52"
)]
pub(super) fn millicores_to_cores(cpu: u64) -> f64 {
    cpu as f64 / 1000.0
}
