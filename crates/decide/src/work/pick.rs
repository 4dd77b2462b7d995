use std::time::Duration;

use model::{
    BootTime, HostId,
    work::{ResourceVector, StepPlan},
};

use super::{PlacementPhase, StepState, TargetState, TaskState};

/// How long a task that failed waits for a target on which it has not. Beyond three seconds its
/// caller would rightly ask why it does not run where there is room.
pub(super) const FAILED_TARGET_WAIT: Duration = Duration::from_millis(2400);

/// What decides for a target, best first.
type TargetScore = (bool, bool, bool, u64, u64);

/// The best target for a task among those of its pool; `None` if none will do.
///
/// A failure may be the target's fault, and a second one on the same broken target fails a job
/// that may fail twice. So as long as the pool has a target on which the task has not failed and
/// that suits it, it waits for such a one, for some time.
///
/// `with_room` are those that may have room, the one with the least first, and `of_pool` all.
pub fn pick_target<'a>(
    plan: &StepPlan,
    step: &StepState,
    task: &TaskState,
    with_room: impl Iterator<Item = &'a TargetState>,
    mut of_pool: impl Iterator<Item = &'a TargetState>,
    now: BootTime,
) -> Option<&'a TargetState> {
    let failed = |target: &&TargetState| task.failed_on.contains(&target.entry.target);
    // Tasks that last are owed a restart at once, and may fail by themselves at any time.
    let others = !plan.long_running
        && !task.failed_on.is_empty()
        && now < task.failed_at + FAILED_TARGET_WAIT
        && of_pool
            .any(|target| target.can_run() && !failed(&target) && may_run(plan, step, target, now));
    let suiting = with_room
        .filter(|target| target.accepts_tasks(now))
        .filter(|target| !others || !failed(target))
        .filter(|target| has_capacity(plan, step, target, now));
    let mut best: Option<(TargetScore, &TargetState)> = None;
    for target in suiting {
        let score = score(plan, step, task, target);
        if best.as_ref().is_none_or(|(least, _)| score < *least) {
            best = Some((score, target));
        }
        // Of targets that are packed those that follow have more room, and are no better.
        let (failed, far, apart, ..) = score;
        if !is_spread(plan) && !failed && !far && !apart {
            break;
        }
    }
    best.map(|(_, target)| target)
}

/// True if tasks of a step are spread over targets, and not packed.
fn is_spread(plan: &StepPlan) -> bool {
    plan.long_running || plan.best_effort
}

/// The same among targets that are being emptied or pause, too.
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
        .min_by_key(|target| score(plan, step, task, target))
}

/// True if one of the targets takes a task of the step that has to leave its own. Others are on
/// their way and take `coming` of the room; those of the same step come first.
pub fn can_relocate<'a>(
    plan: &StepPlan,
    step: &StepState,
    targets: impl Iterator<Item = &'a TargetState>,
    coming: ResourceVector,
    now: BootTime,
) -> bool {
    let need = plan.footprint().plus(coming);
    let away = |task: &&TaskState| {
        let place = task.placement.as_ref();
        place.is_none_or(|place| matches!(place.phase, PlacementPhase::Stopping(_)))
    };
    let before = match plan.anti_affinity {
        0 => 0,
        _ => step.tasks.iter().filter(away).count(),
    };
    targets
        .filter(|target| target.accepts_tasks(now))
        .filter(|target| need.fits_in(target.free()) && may_run(plan, step, target, now))
        .nth(before)
        .is_some()
}

/// True if a target has room for a task of the step, and may run it.
fn has_capacity(plan: &StepPlan, step: &StepState, target: &TargetState, now: BootTime) -> bool {
    plan.footprint().fits_in(target.free()) && may_run(plan, step, target, now)
}

/// True if a target may run a task of the step once it has room.
fn may_run(plan: &StepPlan, step: &StepState, target: &TargetState, now: BootTime) -> bool {
    let labelled =
        plan.required_label.is_empty() || target.entry.labels.contains(&plan.required_label);
    let apart =
        plan.anti_affinity == 0 || step_tasks_on(step, &target.entry.target) < plan.anti_affinity;
    let allowed = step.tickets.is_empty()
        || step
            .tickets
            .get(&target.entry.target)
            .is_some_and(|(_, until)| now < *until);
    labelled && apart && allowed && plan.footprint().fits_in(target.entry.capacity)
}

/// Tasks of the step that are, or may be, on a target.
fn step_tasks_on(step: &StepState, target: &HostId) -> u32 {
    let there = |task: &&TaskState| {
        task.placement
            .as_ref()
            .is_some_and(|place| place.target == *target)
    };
    u32::try_from(step.tasks.iter().filter(there).count()).unwrap_or(u32::MAX)
}

fn score(plan: &StepPlan, step: &StepState, task: &TaskState, target: &TargetState) -> TargetScore {
    let failed = task.failed_on.contains(&target.entry.target);
    let far = !plan.affinity.is_empty() && plan.affinity != target.entry.rack;
    let apart = plan.same_rack && on_other_rack(step, target);
    let free = target.free().cpu;
    // Tasks that last are spread, so that one host's end takes few of them; so are tasks that
    // fill, which need what others leave. All others are packed, so that large ones find room
    // and other hosts stay empty, to be switched off, lent or maintained at once.
    if is_spread(plan) {
        let together = u64::from(step_tasks_on(step, &target.entry.target));
        (
            failed,
            far,
            apart,
            together,
            if plan.best_effort {
                u64::MAX - free
            } else {
                free
            },
        )
    } else {
        (failed, far, apart, free, 0)
    }
}

/// True if the step has a task on another rack than the target's.
fn on_other_rack(step: &StepState, target: &TargetState) -> bool {
    let placed = step.tasks.iter().filter_map(|task| task.placement.as_ref());
    let mut racks = placed.map(|place| place.target.clone()).peekable();
    racks.peek().is_some() && racks.all(|other| other != target.entry.target)
}
