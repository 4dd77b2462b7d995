use std::time::Duration;

use model::{BootTime, work::QueueTerms};

use super::WorkJob;

/// How much later than its objective a job still counts, as a multiple of the objective.
const LATE_FACTOR: u32 = 3;

/// In which order waiting tasks get room.
///
/// Work that can still be in time goes before work that can't: when a pool is full, serving
/// the late first would make everything late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartRank {
    /// Tasks that last go first: each second without them is a second without service.
    pub class: RankClass,
    /// Priority of the queue; smaller goes first.
    pub priority: u32,
    /// Jobs of which no task has started come after those that are under way: in a full pool
    /// many half-done jobs would all be late, where finishing some serves these in time.
    pub fresh: bool,
    /// Time that is left until it must have started.
    pub slack: Duration,
}

/// Groups of waiting tasks, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RankClass {
    /// Runs until it is cancelled.
    Lasting,
    /// Can still be in time.
    InTime,
    /// Will be late and still counts.
    Late,
    /// Was handed in beyond its workspace's share.
    BeyondShare,
    /// Too late to count; it is still owed its end.
    Overdue,
}

/// Ranks a job that has `remaining` estimated work in its longest chain.
pub fn rank(job: &WorkJob, due: BootTime, queue: Option<&QueueTerms>, now: BootTime) -> StartRank {
    let priority = queue.map_or(u32::MAX, |queue| queue.priority);
    if job.plan.is_long_running() {
        return StartRank {
            class: RankClass::Lasting,
            priority,
            fresh: false,
            slack: Duration::ZERO,
        };
    }
    let chain = job.plan.longest_chain();
    let (factor, extra) = queue.map_or((1.0, Duration::ZERO), |queue| {
        (queue.slack_factor, queue.slack_time)
    });
    let objective = chain.mul_f64(factor.clamp(0.0, 1000.0)) + extra;
    let begin = if job.plan.repeat.is_some() {
        due
    } else {
        job.arrived
    };
    let left = remaining_chain(job, due);
    let until = |end: BootTime| end.checked_sub(now).and_then(|time| time.checked_sub(left));
    let (class, slack) = match (
        until(begin + objective),
        until(begin + objective * LATE_FACTOR),
    ) {
        (Some(slack), _) => (RankClass::InTime, slack),
        (None, Some(slack)) => (RankClass::Late, slack),
        (None, None) => (RankClass::Overdue, begin),
    };
    let class = match class {
        RankClass::InTime | RankClass::Late if job.beyond_share => RankClass::BeyondShare,
        class => class,
    };
    StartRank {
        class,
        priority,
        fresh: !job.begun,
        slack,
    }
}

/// Estimated run time of the longest chain through the steps that are not done.
fn remaining_chain(job: &WorkJob, due: BootTime) -> Duration {
    let Some(occurrence) = job.occurrences.values().find(|found| found.due == due) else {
        return Duration::ZERO;
    };
    let mut ends: Vec<Duration> = Vec::with_capacity(job.plan.steps.len());
    for (number, step) in job.plan.steps.iter().enumerate() {
        let before = step
            .after
            .iter()
            .filter_map(|&before| ends.get(before as usize));
        let start = before.max().copied().unwrap_or_default();
        let done = occurrence
            .steps
            .get(number)
            .is_some_and(super::StepState::is_done);
        ends.push(start + if done { Duration::ZERO } else { step.estimate });
    }
    ends.into_iter().max().unwrap_or_default()
}
