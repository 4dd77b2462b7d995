use std::{cmp::Reverse, collections::BinaryHeap};

use model::{BootTime, HostId, work::StepPlan};

use super::{
    StepState, TargetState, TrackedMap,
    pick::{TargetScore, score_plain, task_room},
};

/// Targets for the tasks of a step that have not failed anywhere, the best first.
///
/// Selects the same targets as [`pick_target`](super::pick::pick_target) does for each task, but
/// examines them once for all tasks.
#[derive(Debug, Default)]
pub(super) struct TargetRanking {
    /// Scores may be outdated; they are checked when a target is taken.
    queue: BinaryHeap<Reverse<(TargetScore, HostId)>>,
}

impl TargetRanking {
    /// Adds a target, if it can take a task now.
    pub(super) fn add(
        &mut self,
        plan: &StepPlan,
        step: &StepState,
        target: &TargetState,
        now: BootTime,
    ) {
        if task_room(plan, step, target, now) > 0 {
            let score = score_plain(plan, step, target);
            self.queue
                .push(Reverse((score, target.entry.target.clone())));
        }
    }

    /// Removes and returns the best target. It has to be added again after its task was placed.
    pub(super) fn take_best(
        &mut self,
        plan: &StepPlan,
        step: &StepState,
        targets: &TrackedMap<TargetState>,
        now: BootTime,
    ) -> Option<HostId> {
        while let Some(Reverse((score, id))) = self.queue.pop() {
            let Some(target) = targets.get(&id) else {
                continue;
            };
            if task_room(plan, step, target, now) > 0 && score_plain(plan, step, target) == score {
                return Some(id);
            }
            self.add(plan, step, target, now);
        }
        None
    }
}
