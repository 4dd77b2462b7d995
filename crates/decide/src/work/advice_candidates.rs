use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use model::{
    BootTime, HostId,
    work::{AdvicePolicy, ResourceVector, StepPlan},
};

use super::{StepState, TargetState, pick::suits, step_advice::NamedTarget};

/// Upper limit of the targets that a request names, as the service accepts them.
const MAX_NAMED: usize = 100;
/// Number of targets that the first request for a step names at least.
const MIN_NAMED: usize = 8;
/// Number of targets that the first request for a step names at most.
const MAX_FIRST_NAMED: usize = 30;
/// Time that naming targets may take the service, if that is longer than the fixed part.
const MAX_NAMING_TIME: Duration = Duration::from_millis(500);

/// What is known of a target before it is named; the most promising first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum GrantChance {
    /// The service has granted it for the step, or for another step of the queue.
    Granted,
    /// Nothing.
    Unknown,
    /// The service was asked for other steps of the queue and granted it for none of them.
    Unlikely,
    /// The service did not grant it for the step.
    Denied,
}

/// Targets that a request for a step can name.
#[derive(Debug)]
pub(super) struct AdviceCandidates<'a> {
    plan: &'a StepPlan,
    step: &'a StepState,
    /// The most promising first.
    targets: Vec<(GrantChance, &'a TargetState)>,
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
        let may_name = |target: &TargetState| {
            let advice = step.advice.as_ref();
            advice.is_none_or(|advice| advice.may_name(target, now))
        };
        let candidates = of_pool.filter(|target| {
            target.accepts_tasks(now) && suits(plan, step, target) && may_name(target)
        });
        let mut targets: Vec<_> = candidates
            .map(|target| (grant_chance(step, queue, target), target))
            .collect();
        targets.sort_by_cached_key(|(chance, target)| {
            let lacks_room = tasks_that_fit(plan, target) == 0;
            let off_affinity = !plan.affinity.is_empty() && plan.affinity != target.entry.rack;
            (
                *chance,
                lacks_room,
                off_affinity,
                Reverse(target.free().cpu),
                spread(&target.entry.target),
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

    /// Returns true if a target that was not denied before has room for a task.
    pub(super) fn may_start(&self) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|(chance, target)| {
            *chance != GrantChance::Denied && tasks_that_fit(self.plan, target) > 0
        })
    }

    /// Returns the targets to name: no more than needed if enough of them have been granted before,
    /// otherwise twice as many with each answer without a ticket.
    pub(super) fn named(&self, advice: AdvicePolicy) -> Vec<NamedTarget> {
        let waiting = self.step.waiting_tasks() as usize;
        let misses = self.step.advice.as_ref().map_or(0, |advice| advice.misses);
        let first = waiting.clamp(MIN_NAMED, MAX_FIRST_NAMED);
        let limit = first << misses.min(4);
        let limit = limit.min(affordable(advice));
        // One task may take the room that another was advised for.
        let needed_room = waiting as u64 * 2;
        let mut granted_room = 0;
        let mut named = Vec::new();
        for (chance, target) in self.targets.iter().take(limit) {
            if granted_room >= needed_room && named.len() > 1 {
                break;
            }
            if *chance == GrantChance::Granted {
                granted_room += tasks_that_fit(self.plan, target);
            }
            named.push(NamedTarget {
                id: target.entry.target.clone(),
                incarnation: target.incarnation.number,
            });
        }
        named
    }
}

fn grant_chance(step: &StepState, queue: &str, target: &TargetState) -> GrantChance {
    let advice = step.advice.as_ref();
    if advice.is_some_and(|advice| advice.was_granted(target)) {
        return GrantChance::Granted;
    }
    if advice.is_some_and(|advice| advice.was_denied(target)) {
        return GrantChance::Denied;
    }
    match target.incarnation.advised_queues.get(queue) {
        Some(true) => GrantChance::Granted,
        Some(false) => GrantChance::Unlikely,
        None => GrantChance::Unknown,
    }
}

/// Places a target in an order in which neighbours in a rack are apart: a policy often treats them
/// alike.
fn spread(id: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Number of targets that a request can name without taking the service too long.
fn affordable(advice: AdvicePolicy) -> usize {
    let time = advice.fixed.max(MAX_NAMING_TIME).as_micros();
    let named = time.checked_div(advice.per_target.as_micros());
    let named = named.map_or(MAX_NAMED, |named| {
        usize::try_from(named).unwrap_or(MAX_NAMED)
    });
    named.clamp(1, MAX_NAMED)
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
