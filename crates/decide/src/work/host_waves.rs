use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{
    BootTime, HostId, PoolId,
    work::{HostCondition, WaveId},
};

use super::{HostOrder, HostPlanner, WorkScheduler, host_planner::WaveView};

/// Estimated time for the maintenance of one host: draining, going down and coming back.
const HOST_MAINTENANCE_TIME: Duration = Duration::from_millis(3500);

/// Number of hosts of a pool by their state during a wave.
#[derive(Clone, Copy, Debug, Default)]
struct PoolHostCounts {
    /// Hosts that accept tasks.
    open: usize,
    /// Hosts that are draining or under maintenance.
    leaving: usize,
}

impl HostPlanner {
    /// Selects the next hosts of each wave to maintain.
    pub(super) fn plan_waves(&mut self, scheduler: &WorkScheduler, now: BootTime) {
        let ids: Vec<WaveId> = self.waves.keys().copied().collect();
        let pools_below_demand = self.pools_below_demand();
        for id in ids {
            let Some(view) = self.waves.get(&id) else {
                continue;
            };
            let slots =
                (view.wave.max_down as usize).saturating_sub(self.hosts_in_maintenance(view, now));
            let chosen = self.next_hosts(view, slots, &pools_below_demand, scheduler, now);
            for host in chosen {
                self.begin_operation(&host.clone(), HostOrder::Maintain(host, id));
            }
        }
    }

    /// Returns the number of hosts of a wave that are under maintenance, may be, or are draining
    /// for it. A host that an earlier owner has just ordered counts too: the order may still be on
    /// its way, and the list may not show it yet.
    fn hosts_in_maintenance(&self, wave: &WaveView, now: BootTime) -> usize {
        let counts = |view: &&super::host_planner::HostView| {
            let operation = view.operation.as_ref();
            let ordered = operation.is_some_and(
                |operation| matches!(&operation.order, HostOrder::Maintain(_, own) if *own == wave.wave.wave),
            );
            let host = &view.fleet.host;
            let inherited = now < view.earlier_order_until
                && wave.wave.hosts.contains(host)
                && !wave.maintained.contains(host);
            ordered || inherited || view.fleet.condition == HostCondition::UnderMaintenance
        };
        self.hosts.values().filter(counts).count()
    }

    /// Returns the next hosts to maintain, those with the least load first. Busy hosts of a pool
    /// that needs them are only selected when the deadline is near.
    fn next_hosts(
        &self,
        wave: &WaveView,
        slots: usize,
        pools_below_demand: &BTreeSet<PoolId>,
        scheduler: &WorkScheduler,
        now: BootTime,
    ) -> Vec<HostId> {
        let remaining: Vec<&HostId> = wave
            .wave
            .hosts
            .iter()
            .filter(|host| !wave.maintained.contains(*host))
            .collect();
        if remaining.is_empty() || slots == 0 {
            return Vec::new();
        }
        let rounds = remaining
            .len()
            .div_ceil((wave.wave.max_down as usize).max(1));
        let deadline = wave.first_seen + wave.wave.deadline;
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let urgent =
            now + HOST_MAINTENANCE_TIME.saturating_mul(rounds.saturating_add(1)) >= deadline;
        let mut candidates: Vec<(u64, HostId)> = remaining
            .into_iter()
            .filter_map(|host| {
                self.maintenance_load(host, urgent, pools_below_demand, scheduler, now)
            })
            .collect();
        candidates.sort();
        let mut open = self.open_hosts();
        let keep_last_open = !urgent && !self.has_standby_host(scheduler, now);
        let mut chosen = Vec::new();
        for (load, host) in candidates {
            if chosen.len() == slots {
                break;
            }
            let Some(view) = self.hosts.get(&host) else {
                continue;
            };
            let pool = open.entry(view.fleet.pool.clone()).or_default();
            if keep_last_open && load > 0 && pool.open <= 1 && pool.leaving > 0 {
                continue;
            }
            pool.open = pool.open.saturating_sub(1);
            pool.leaving += 1;
            chosen.push(host);
        }
        chosen
    }

    /// Returns the number of hosts of each pool that accept tasks, and of those that are draining
    /// or under maintenance.
    ///
    /// While no replacement host is available, the last host of a pool that accepts tasks is not
    /// drained until another one is back. Otherwise the long-running tasks could not move, and no
    /// host would ever become empty.
    fn open_hosts(&self) -> BTreeMap<PoolId, PoolHostCounts> {
        let mut pools: BTreeMap<PoolId, PoolHostCounts> = BTreeMap::new();
        for view in self.hosts.values() {
            let pool = pools.entry(view.fleet.pool.clone()).or_default();
            match view.operation.as_ref().map(|operation| &operation.order) {
                Some(HostOrder::Maintain(..)) => pool.leaving += 1,
                Some(HostOrder::Move(..)) => {}
                None => {
                    let accepts_tasks =
                        view.fleet.condition == HostCondition::Up && !self.is_drained(view);
                    pool.open += usize::from(accepts_tasks);
                }
            }
        }
        pools
    }

    /// Returns the load of a host in thousandths of a core; `None` if the host can't be maintained
    /// now.
    fn maintenance_load(
        &self,
        host: &HostId,
        urgent: bool,
        pools_below_demand: &BTreeSet<PoolId>,
        scheduler: &WorkScheduler,
        now: BootTime,
    ) -> Option<(u64, HostId)> {
        let view = self.hosts.get(host)?;
        if view.operation.is_some() || now < view.not_before {
            return None;
        }
        if view.fleet.condition != HostCondition::Up {
            return None;
        }
        let target = scheduler.targets.get(&view.fleet.target);
        if target.is_some_and(|target| !target.is_state_known()) {
            return None;
        }
        let load = target.map_or(0, |target| target.used.cpu);
        let is_needed = pools_below_demand.contains(&view.fleet.pool) && !self.is_drained(view);
        if is_needed && !urgent && load > 0 {
            return None;
        }
        Some((load, host.clone()))
    }
}
