use std::{cmp::Reverse, time::Duration};

use model::{
    BootTime,
    work::{AdvicePolicy, ResourceVector, StepPlan},
};

use crate::{float::as_float, rendezvous};

use super::{StepState, TargetState, pick::suits, step_advice::NamedTarget};

/// Upper limit of the targets that a request names, as the service accepts them.
const MAX_NAMED: usize = 100;
/// Number of targets that the first request for a step names at least.
const MIN_NAMED: usize = 8;
/// Number of targets that the first request for a step names at most.
const MAX_FIRST_NAMED: usize = 30;
/// Time that naming targets may take the service, if that is longer than the fixed part.
const MAX_NAMING_TIME: Duration = Duration::from_millis(500);

/// Chance that none of the named targets is granted, up to which no further ones are named.
const MAX_MISS_CHANCE: f64 = 0.05;
/// A first request may name as many targets as add this part of the fixed time to it.
const CHEAP_NAMING_DIVISOR: u32 = 4;

/// Duty whose scores order targets that promise the same. Neighbours, which a policy often treats
/// alike, are then named in different requests.
const SPREAD: &str = "advice";

/// What naming a target promises; the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TargetProspect {
    /// The service has granted it for the step, or for another step of the queue, and it has room.
    GrantedWithRoom,
    /// Nothing is known but that it has room.
    UnknownWithRoom,
    /// It was granted and has no room yet; the step has no ticket to wait with.
    GrantedInAdvance,
    /// The service was asked for other steps of the queue and granted it for none; it has room.
    UnlikelyWithRoom,
    /// It has no room, and the step has a ticket to wait with, or nothing speaks for the target.
    WithoutRoom,
    /// The service did not grant it for the step.
    Denied,
}

/// Targets that a request for a step can name.
#[derive(Debug)]
pub(super) struct AdviceCandidates<'a> {
    plan: &'a StepPlan,
    step: &'a StepState,
    /// The most promising first.
    targets: Vec<(TargetProspect, &'a TargetState)>,
}

impl<'a> AdviceCandidates<'a> {
    /// Selects the candidates among the targets of a pool.
    pub(super) fn new(
        plan: &'a StepPlan,
        step: &'a StepState,
        queue: &str,
        of_pool: impl Iterator<Item = &'a TargetState>,
        now: BootTime,
    ) -> Self {
        let advice = step.advice.as_ref();
        let may_name =
            |target: &TargetState| advice.is_none_or(|advice| advice.may_name(target, now));
        let candidates = of_pool.filter(|target| {
            target.accepts_tasks(now) && suits(plan, step, target) && may_name(target)
        });
        let has_ticket = advice.is_some_and(|advice| advice.has_valid_ticket(now));
        let mut targets: Vec<_> = candidates
            .map(|target| (prospect(plan, step, queue, target, has_ticket), target))
            .collect();
        targets.sort_by_cached_key(|(prospect, target)| {
            let off_affinity = !plan.affinity.is_empty() && plan.affinity != target.entry.rack;
            let free = Reverse(target.free().cpu);
            (
                *prospect,
                off_affinity,
                free,
                rendezvous::score(SPREAD, &target.entry.target),
            )
        });
        Self {
            plan,
            step,
            targets,
        }
    }

    /// Returns true if no target can be named.
    pub(super) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns true if a task may start at once on the most promising target.
    pub(super) fn may_start(&self) -> bool {
        use TargetProspect::{GrantedWithRoom, UnknownWithRoom, UnlikelyWithRoom};
        let first = self.targets.first();
        first.is_some_and(|(prospect, _)| {
            matches!(
                prospect,
                GrantedWithRoom | UnknownWithRoom | UnlikelyWithRoom
            )
        })
    }

    /// Returns the targets to name: no more than needed if enough of them will probably be granted,
    /// otherwise twice as many with each answer without a ticket.
    ///
    /// Of the targets that were granted for other steps of the queue, the service is expected to
    /// grant the share `grant_rate`.
    pub(super) fn named(&self, advice: AdvicePolicy, grant_rate: f64) -> Vec<NamedTarget> {
        let waiting = self.step.waiting_tasks() as usize;
        let misses = self.step.advice.as_ref().map_or(0, |advice| advice.misses);
        let cheap = targets_named_within(advice, advice.fixed / CHEAP_NAMING_DIVISOR);
        let first = waiting.max(cheap).clamp(MIN_NAMED, MAX_FIRST_NAMED);
        let limit = first << misses.min(4);
        let limit = limit.min(affordable(advice));
        // One task may take the room that another was advised for.
        let needed_room = as_float(waiting as u64 * 2);
        let mut expected_room = 0.0;
        let mut miss_chance = 1.0;
        let mut named = Vec::new();
        for (prospect, target) in self.targets.iter().take(limit) {
            if expected_room >= needed_room && miss_chance <= MAX_MISS_CHANCE && named.len() > 1 {
                break;
            }
            if *prospect == TargetProspect::GrantedWithRoom {
                let advice = self.step.advice.as_ref();
                let is_certain = advice.is_some_and(|advice| advice.was_granted(target));
                let chance = if is_certain { 1.0 } else { grant_rate };
                expected_room += as_float(tasks_that_fit(self.plan, target)) * chance;
                miss_chance *= 1.0 - chance;
            }
            named.push(NamedTarget {
                id: target.entry.target.clone(),
                incarnation: target.incarnation.number,
            });
        }
        named
    }
}

fn prospect(
    plan: &StepPlan,
    step: &StepState,
    queue: &str,
    target: &TargetState,
    has_ticket: bool,
) -> TargetProspect {
    let advice = step.advice.as_ref();
    if advice.is_some_and(|advice| advice.was_denied(target)) {
        return TargetProspect::Denied;
    }
    let granted_to_step = advice.is_some_and(|advice| advice.was_granted(target));
    let granted_to_queue = target.incarnation.advised_queues.get(queue).copied();
    let granted = granted_to_step.then_some(true).or(granted_to_queue);
    match (granted, tasks_that_fit(plan, target) > 0) {
        (Some(true), true) => TargetProspect::GrantedWithRoom,
        (None, true) => TargetProspect::UnknownWithRoom,
        (Some(false), true) => TargetProspect::UnlikelyWithRoom,
        (Some(true), false) if !has_ticket => TargetProspect::GrantedInAdvance,
        (_, false) => TargetProspect::WithoutRoom,
    }
}

/// Number of targets that a request can name without taking the service too long.
fn affordable(advice: AdvicePolicy) -> usize {
    targets_named_within(advice, advice.fixed.max(MAX_NAMING_TIME)).max(1)
}

/// Number of targets, up to [`MAX_NAMED`], whose naming adds at most `time` to a request.
fn targets_named_within(advice: AdvicePolicy, time: Duration) -> usize {
    let named = time
        .as_micros()
        .checked_div(advice.per_target.as_micros())
        .and_then(|named| usize::try_from(named).ok());
    named.unwrap_or(MAX_NAMED).min(MAX_NAMED)
}

/// Number of tasks of a step for which a target has room.
fn tasks_that_fit(plan: &StepPlan, target: &TargetState) -> u64 {
    let (task, free): (ResourceVector, _) = (plan.footprint(), target.free());
    let parts = [
        (free.cpu, task.cpu),
        (free.memory_mb, task.memory_mb),
        (free.gpu, task.gpu),
    ];
    let fitting = parts
        .iter()
        .filter_map(|(free, task)| free.checked_div(*task));
    let most = match plan.anti_affinity {
        0 => u64::from(plan.count),
        limit => u64::from(limit),
    };
    fitting.min().unwrap_or(most).min(most)
}
