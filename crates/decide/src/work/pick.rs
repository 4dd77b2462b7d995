use std::time::Duration;

use model::{
    BootTime,
    work::{ResourceVector, StepPlan},
};

use super::{PlacementPhase, StepState, TargetState, TaskState};

/// How long a failed task waits for a target on which it has not failed. A wait of more than three
/// seconds while there are free resources would be hard to justify to its caller.
pub(super) const FAILED_TARGET_WAIT: Duration = Duration::from_millis(2400);

/// Score of a target by decreasing importance; smaller is better.
pub(super) type TargetScore = (bool, bool, bool, u64, u64);

/// Returns the best target of the pool for a task; `None` if there is none.
///
/// A failure may be the target's fault, and a second failure on the same broken target fails a job
/// with a limit of two attempts. So the task waits for some time for a target on which it has not
/// failed, if the pool has one that is suitable.
///
/// `with_capacity` yields the targets that may have enough free resources, the least free first;
/// `of_pool` yields all targets of the pool.
pub fn pick_target<'a>(
    plan: &StepPlan,
    step: &StepState,
    task: &TaskState,
    with_capacity: impl Iterator<Item = &'a TargetState>,
    mut of_pool: impl Iterator<Item = &'a TargetState>,
    now: BootTime,
) -> Option<&'a TargetState> {
    let failed = |target: &&TargetState| task.failed_on.contains(&target.entry.target);
    // Long-running tasks must restart at once, and may fail by themselves at any time.
    let has_other_target = !plan.long_running
        && !task.failed_on.is_empty()
        && now < task.failed_at + FAILED_TARGET_WAIT
        && of_pool
            .any(|target| target.can_run() && !failed(&target) && may_run(plan, step, target, now));
    let suitable = with_capacity
        .filter(|target| target.accepts_tasks(now))
        .filter(|target| !has_other_target || !failed(target))
        .filter(|target| has_capacity(plan, step, target, now));
    let mut best: Option<(TargetScore, &TargetState)> = None;
    for target in suitable {
        let score = score(plan, step, failed(&target), target);
        if best
            .as_ref()
            .is_none_or(|(best_score, _)| score < *best_score)
        {
            best = Some((score, target));
        }
        // When packing, the following targets have more free resources and are no better.
        let (failed, off_affinity, lacks_siblings, ..) = score;
        if !is_spread(plan) && !failed && !off_affinity && !lacks_siblings {
            break;
        }
    }
    best.map(|(_, target)| target)
}

/// Returns true if the tasks of a step are spread over targets instead of packed.
fn is_spread(plan: &StepPlan) -> bool {
    plan.long_running || plan.best_effort
}

/// Returns the best target for a task like [`pick_target`], but also considers targets that are
/// draining or paused.
pub fn pick_including_draining<'a>(
    plan: &StepPlan,
    step: &StepState,
    task: &TaskState,
    targets: impl Iterator<Item = &'a TargetState>,
    now: BootTime,
) -> Option<&'a TargetState> {
    targets
        .filter(|target| target.can_run())
        .filter(|target| has_capacity(plan, step, target, now))
        .min_by_key(|target| {
            let failed = task.failed_on.contains(&target.entry.target);
            score(plan, step, failed, target)
        })
}

/// Returns true if one of the targets can run a task of the step that has to leave its own target.
/// Other tasks are being moved already and need `incoming` of the free resources; those of the same
/// step go first.
pub fn can_relocate<'a>(
    plan: &StepPlan,
    step: &StepState,
    targets: impl Iterator<Item = &'a TargetState>,
    incoming: ResourceVector,
    now: BootTime,
) -> bool {
    let resources = plan.footprint().plus(incoming);
    let is_away = |task: &&TaskState| {
        let placement = task.placement.as_ref();
        placement.is_none_or(|placement| matches!(placement.phase, PlacementPhase::Stopping(_)))
    };
    let moved_first = match plan.anti_affinity {
        0 => 0,
        _ => step.tasks.iter().filter(is_away).count(),
    };
    targets
        .filter(|target| target.accepts_tasks(now))
        .filter(|target| resources.fits_in(target.free()) && may_run(plan, step, target, now))
        .nth(moved_first)
        .is_some()
}

/// Returns true if a target has enough free resources for a task of the step and may run it.
fn has_capacity(plan: &StepPlan, step: &StepState, target: &TargetState, now: BootTime) -> bool {
    plan.footprint().fits_in(target.free()) && may_run(plan, step, target, now)
}

/// Returns true if a target may run a task of the step, provided that it has enough free resources.
fn may_run(plan: &StepPlan, step: &StepState, target: &TargetState, now: BootTime) -> bool {
    let advice = step.advice.as_ref();
    let is_advised = advice.is_none_or(|advice| advice.valid_ticket(target, now).is_some());
    is_advised && suits(plan, step, target)
}

/// Returns true if the plan of a step allows its tasks on a target.
pub(super) fn suits(plan: &StepPlan, step: &StepState, target: &TargetState) -> bool {
    let has_label =
        plan.required_label.is_empty() || target.entry.labels.contains(&plan.required_label);
    let below_anti_affinity =
        plan.anti_affinity == 0 || step.placed_on(&target.entry.target) < plan.anti_affinity;
    has_label && below_anti_affinity && plan.footprint().fits_in(target.entry.capacity)
}

/// Returns how many more tasks of the step can be started on a target now. Some of them may have
/// failed there before.
pub(super) fn task_room(
    plan: &StepPlan,
    step: &StepState,
    target: &TargetState,
    now: BootTime,
) -> u64 {
    if !target.accepts_tasks(now) || !has_capacity(plan, step, target, now) {
        return 0;
    }
    let by_capacity = plan.footprint().count_in(target.free());
    match plan.anti_affinity {
        0 => by_capacity,
        limit => by_capacity.min(u64::from(limit - step.placed_on(&target.entry.target))),
    }
}

/// Returns the score of a target for a task of the step that has not failed there.
pub(super) fn score_plain(plan: &StepPlan, step: &StepState, target: &TargetState) -> TargetScore {
    score(plan, step, false, target)
}

fn score(plan: &StepPlan, step: &StepState, failed: bool, target: &TargetState) -> TargetScore {
    let off_affinity = !plan.affinity.is_empty() && plan.affinity != target.entry.rack;
    let lacks_siblings = plan.same_rack && step.has_tasks_only_elsewhere(&target.entry.target);
    let free = target.free().cpu;
    // Long-running tasks are spread, so that the loss of one host affects few of them. Best-effort
    // tasks are spread too, since they need what other tasks leave idle. All other tasks are
    // packed, so that large tasks fit and other hosts stay empty to be switched off, moved or
    // maintained at once.
    if is_spread(plan) {
        let siblings = u64::from(step.placed_on(&target.entry.target));
        (
            failed,
            off_affinity,
            lacks_siblings,
            siblings,
            if plan.best_effort {
                u64::MAX - free
            } else {
                free
            },
        )
    } else {
        (failed, off_affinity, lacks_siblings, free, 0)
    }
}
