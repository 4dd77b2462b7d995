use std::time::Duration;

use model::{
    BootTime,
    work::{JobPlan, QueuePolicy},
};

use super::{OccurrenceState, WorkJob};

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
    pub not_started: bool,
    /// When it must have started; for what is too late to count, when it was handed in.
    pub latest_start: BootTime,
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

/// Time in which a job is to be completed.
fn objective(plan: &JobPlan, queue: Option<&QueuePolicy>) -> Duration {
    let (factor, extra) = queue.map_or((1.0, Duration::ZERO), |queue| {
        (queue.slack_factor, queue.slack_time)
    });
    plan.critical_path().mul_f64(factor.clamp(0.0, 1000.0)) + extra
}

/// How long a job that is handed in now may wait for its first start and still count; `None` if its
/// queue has no objective.
pub(super) fn longest_wait(plan: &JobPlan, queue: Option<&QueuePolicy>) -> Option<Duration> {
    let objective = objective(plan, queue);
    let latest = objective.saturating_mul(LATE_FACTOR);
    (!objective.is_zero()).then(|| latest.saturating_sub(plan.critical_path()))
}

/// Ranks a job of which one occurrence waits, and tells until when the rank holds; `None` if it
/// does not change with time.
pub(super) fn rank(
    job: &WorkJob,
    occurrence: &OccurrenceState,
    queue: Option<&QueuePolicy>,
    now: BootTime,
) -> (StartRank, Option<BootTime>) {
    let priority = queue.map_or(u32::MAX, |queue| queue.priority);
    if job.plan.is_long_running() {
        let rank = StartRank {
            class: RankClass::Lasting,
            priority,
            not_started: false,
            latest_start: BootTime::ZERO,
        };
        return (rank, None);
    }
    let objective = objective(&job.plan, queue);
    let begin = if job.plan.repeat.is_some() {
        occurrence.due
    } else {
        job.arrived
    };
    let left = remaining_critical_path(job, occurrence);
    let latest_start = |end: BootTime| {
        end.checked_sub(left)
            .filter(|&latest_start| latest_start >= now)
    };
    let (class, latest_start, until) = match (
        latest_start(begin + objective),
        latest_start(begin + objective * LATE_FACTOR),
    ) {
        (Some(latest_start), _) => (RankClass::InTime, latest_start, Some(latest_start)),
        (None, Some(latest_start)) => (RankClass::Late, latest_start, Some(latest_start)),
        (None, None) => (RankClass::Overdue, begin, None),
    };
    let class = match class {
        RankClass::InTime | RankClass::Late if job.beyond_share => RankClass::BeyondShare,
        class => class,
    };
    let rank = StartRank {
        class,
        priority,
        not_started: !job.started,
        latest_start,
    };
    (rank, until)
}

/// Estimated run time of the longest chain through the steps that are not done.
fn remaining_critical_path(job: &WorkJob, occurrence: &OccurrenceState) -> Duration {
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
