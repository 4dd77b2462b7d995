use compact_str::CompactString;
use model::work::{JobPlan, ResourceVector, StepPlan};

use super::{HostPlanner, WorkScheduler};

impl HostPlanner {
    /// Returns the first step of a plan that the fleet can't hold, even if nothing else runs: no host
    /// can run one of its tasks, or all hosts together can't run the members of its gang. `None` if
    /// there is no such step, or if the hosts are not known yet.
    ///
    /// All hosts count, whatever their pool and condition, since they may be moved and come back. So
    /// a step that would fit once hosts have moved is never returned.
    pub fn unfit_step(&self, scheduler: &WorkScheduler, plan: &JobPlan) -> Option<usize> {
        if self.hosts.is_empty() {
            return None;
        }
        plan.steps.iter().position(|step| {
            let hosts = self.hosts.values().map(|view| &view.fleet);
            let hosts = hosts.map(|host| (host.capacity, host.labels.as_slice()));
            // The list of hosts may lack the newest ones.
            let targets = scheduler.targets.values().map(|target| &target.entry);
            let targets = targets.map(|entry| (entry.capacity, entry.labels.as_slice()));
            !can_hold(step, hosts) && !can_hold(step, targets)
        })
    }
}

/// Returns true if hosts, of which each has a capacity and labels, can hold what has to run at the same
/// time for a step to make progress.
fn can_hold<'a>(
    step: &StepPlan,
    mut hosts: impl Iterator<Item = (ResourceVector, &'a [CompactString])>,
) -> bool {
    let needed = match step.gang {
        true => u64::from(step.count),
        false => 1,
    };
    let mut room: u64 = 0;
    hosts.any(|(capacity, labels)| {
        room = room.saturating_add(empty_room(step, capacity, labels));
        room >= needed
    })
}

/// Returns how many tasks of a step an empty host can hold.
fn empty_room(step: &StepPlan, capacity: ResourceVector, labels: &[CompactString]) -> u64 {
    if !step.required_label.is_empty() && !labels.contains(&step.required_label) {
        return 0;
    }
    if capacity == ResourceVector::default() {
        // The capacity is not known.
        return u64::MAX;
    }
    let by_capacity = step.footprint().count_in(capacity);
    match step.anti_affinity {
        0 => by_capacity,
        limit => by_capacity.min(u64::from(limit)),
    }
}
