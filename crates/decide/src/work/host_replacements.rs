use std::collections::BTreeMap;

use model::{BootTime, PoolId, work::HostCondition};

use super::{
    HostOrder, HostPlanner, WorkScheduler,
    host_moves::PoolCapacity,
    host_planner::{HostView, OperationState},
    scheduler_evacuate::StrandedTask,
};

impl HostPlanner {
    /// Moves a host to each pool that has tasks on draining hosts and no target to move them to.
    /// The total capacity of the pool may be sufficient, but it is on draining hosts or on hosts
    /// that can't run such tasks.
    pub(super) fn provision_replacements(
        &mut self,
        scheduler: &WorkScheduler,
        standby: Option<&PoolId>,
        capacities: &mut BTreeMap<PoolId, PoolCapacity>,
        now: BootTime,
    ) {
        for (pool, task) in &scheduler.stranded {
            if self.has_replacement(pool, task) {
                continue;
            }
            let is_suitable = |view: &HostView| can_host(view, task);
            if let Some(host) = self.donor(pool, standby, capacities, now, is_suitable) {
                self.order_move(&host, pool, capacities);
            }
        }
    }

    /// Returns true if a host that can run the task is being moved to the pool, or is in the pool
    /// and empty.
    fn has_replacement(&self, pool: &PoolId, task: &StrandedTask) -> bool {
        let mut hosts = self
            .hosts
            .values()
            .filter(|view| can_host(view, task) && !self.is_drained(view));
        hosts.any(|view| match &view.operation {
            Some(operation) => match &operation.order {
                HostOrder::Move(_, to) => to == pool,
                HostOrder::Maintain(..) => {
                    view.fleet.pool == *pool && operation.state != OperationState::Draining
                }
            },
            None => {
                view.fleet.pool == *pool
                    && view.fleet.condition == HostCondition::Up
                    && view.idle_since.is_some()
            }
        })
    }
}

fn can_host(view: &HostView, task: &StrandedTask) -> bool {
    let has_label = task.label.is_empty() || view.fleet.labels.contains(&task.label);
    has_label && task.need.fits_in(view.fleet.capacity)
}
