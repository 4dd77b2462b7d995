use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{
    BootTime, HostId, PoolId,
    work::{HostCondition, WaveId},
};

use super::{HostOrder, HostPlanner, WorkDesk, host_planner::WaveView};

/// Time that one host of a wave takes: emptying, going down and coming back.
const HOST_MAINTENANCE_TIME: Duration = Duration::from_millis(3500);

/// Hosts of a pool during a wave.
#[derive(Clone, Copy, Debug, Default)]
struct PoolHostCounts {
    /// Hosts that take tasks.
    open: usize,
    /// Hosts that are being emptied or maintained.
    leaving: usize,
}

impl HostPlanner {
    /// Chooses the hosts of each wave that are maintained next.
    pub(super) fn plan_waves(&mut self, desk: &WorkDesk, now: BootTime) {
        let ids: Vec<WaveId> = self.waves.keys().copied().collect();
        let short = self.pools_below_demand();
        for id in ids {
            let Some(view) = self.waves.get(&id) else {
                continue;
            };
            let room =
                (view.wave.max_down as usize).saturating_sub(self.hosts_in_maintenance(view, now));
            let chosen = self.next_hosts(view, room, &short, desk, now);
            for host in chosen {
                self.begin_operation(&host.clone(), HostOrder::Maintain(host, id));
            }
        }
    }

    /// Hosts of a wave that are down for it, or may be, or are on the way there. Those count that
    /// an earlier owner has just ordered: the order may be under way, and the list not show it.
    fn hosts_in_maintenance(&self, wave: &WaveView, now: BootTime) -> usize {
        let of_wave = |view: &&super::host_planner::HostView| {
            let errand = view.operation.as_ref();
            let ordered = errand.is_some_and(
                |errand| matches!(&errand.order, HostOrder::Maintain(_, own) if *own == wave.wave.wave),
            );
            let host = &view.fleet.host;
            let inherited = now < view.earlier_order_until
                && wave.wave.hosts.contains(host)
                && !wave.maintained.contains(host);
            ordered || inherited || view.fleet.condition == HostCondition::UnderMaintenance
        };
        self.hosts.values().filter(of_wave).count()
    }

    /// The hosts that cost least at present: empty ones first, then those with the least work;
    /// busy ones of a pool that needs them only when time gets short.
    fn next_hosts(
        &self,
        wave: &WaveView,
        room: usize,
        short: &BTreeSet<PoolId>,
        desk: &WorkDesk,
        now: BootTime,
    ) -> Vec<HostId> {
        let left: Vec<&HostId> = wave
            .wave
            .hosts
            .iter()
            .filter(|host| !wave.maintained.contains(*host))
            .collect();
        if left.is_empty() || room == 0 {
            return Vec::new();
        }
        let rounds = left.len().div_ceil((wave.wave.max_down as usize).max(1));
        let end = wave.first_seen + wave.wave.deadline;
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let urgent = now + HOST_MAINTENANCE_TIME.saturating_mul(rounds.saturating_add(1)) >= end;
        let mut candidates: Vec<(u64, HostId)> = left
            .into_iter()
            .filter_map(|host| self.maintenance_load(host, urgent, short, desk, now))
            .collect();
        candidates.sort();
        let mut open = self.open_hosts();
        let held = !urgent && !self.has_standby_host(desk, now);
        let mut chosen = Vec::new();
        for (used, host) in candidates {
            if chosen.len() == room {
                break;
            }
            let Some(view) = self.hosts.get(&host) else {
                continue;
            };
            let pool = open.entry(view.fleet.pool.clone()).or_default();
            if held && used > 0 && pool.open <= 1 && pool.leaving > 0 {
                continue;
            }
            pool.open = pool.open.saturating_sub(1);
            pool.leaving += 1;
            chosen.push(host);
        }
        chosen
    }

    /// How many hosts of each pool take tasks, and how many are being emptied or maintained.
    ///
    /// While no host can be brought, the last one of a pool that takes tasks waits until another
    /// is back: the tasks that last would have nowhere to go, and no host would ever be empty.
    fn open_hosts(&self) -> BTreeMap<PoolId, PoolHostCounts> {
        let mut pools: BTreeMap<PoolId, PoolHostCounts> = BTreeMap::new();
        for view in self.hosts.values() {
            let pool = pools.entry(view.fleet.pool.clone()).or_default();
            match view.operation.as_ref().map(|errand| &errand.order) {
                Some(HostOrder::Maintain(..)) => pool.leaving += 1,
                Some(HostOrder::Move(..)) => {}
                None => pool.open += usize::from(view.fleet.condition == HostCondition::Up),
            }
        }
        pools
    }

    /// What runs on a host, in thousandths of a core; `None` if it can't be taken now.
    fn maintenance_load(
        &self,
        host: &HostId,
        urgent: bool,
        short: &BTreeSet<PoolId>,
        desk: &WorkDesk,
        now: BootTime,
    ) -> Option<(u64, HostId)> {
        let view = self.hosts.get(host)?;
        if view.operation.is_some() || now < view.not_before {
            return None;
        }
        if view.fleet.condition != HostCondition::Up {
            return None;
        }
        let target = desk.targets.get(&view.fleet.target);
        if target.is_some_and(|target| !target.is_state_known()) {
            return None;
        }
        let used = target.map_or(0, |target| target.used.cpu);
        let needed = short.contains(&view.fleet.pool);
        if needed && !urgent && used > 0 {
            return None;
        }
        Some((used, host.clone()))
    }
}
