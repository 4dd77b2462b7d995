use std::time::Duration;

use model::{BootTime, work::JobPlan};

use super::{JobTerms, OccurrenceState, WorkJob};

/// A job that misses its objective still counts until this multiple of the objective.
const LATE_FACTOR: u32 = 3;

/// Order in which waiting tasks get resources.
///
/// Work that can still be on time goes before work that can't: if late work went first in a full
/// pool, all work would be late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartRank {
    /// Urgency class. Long-running tasks go first, since each second without them is a second
    /// without service.
    pub class: RankClass,
    /// Priority of the queue; smaller goes first.
    pub priority: u32,
    /// Whether no task of the job has started. Such jobs come after those in progress: in a full
    /// pool many half-done jobs would all be late, whereas finishing some of them makes these on
    /// time.
    pub not_started: bool,
    /// Latest start to be on time; for work that is too late to count, the time of its submission.
    pub latest_start: BootTime,
}

impl StartRank {
    /// Returns the part of the rank that goes before the fair order of workspaces.
    pub(super) fn urgency(&self) -> (RankClass, u32, bool) {
        (self.class, self.priority, self.not_started)
    }
}

/// Classes of waiting tasks, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RankClass {
    /// Runs until it is cancelled.
    Lasting,
    /// Can still be on time.
    InTime,
    /// Will be late but still counts.
    Late,
    /// Was submitted beyond its workspace's share.
    BeyondShare,
    /// Too late to count, but must still be completed.
    Overdue,
}

/// Returns the time within which a job should be completed.
fn objective(plan: &JobPlan, terms: JobTerms) -> Duration {
    let factor = terms.slack_factor.clamp(0.0, 1000.0);
    plan.critical_path().mul_f64(factor) + terms.slack_time
}

/// Returns how long a job that is submitted now may wait for its first start and still count;
/// `None` if its queue has no objective.
pub(super) fn longest_wait(plan: &JobPlan, terms: JobTerms) -> Option<Duration> {
    longest_wait_before(plan, objective(plan, terms).saturating_mul(LATE_FACTOR))
}

/// Returns how long a job that is submitted now may wait for its first start and still be in time;
/// `None` if its queue has no objective.
pub(super) fn longest_wait_in_time(plan: &JobPlan, terms: JobTerms) -> Option<Duration> {
    longest_wait_before(plan, objective(plan, terms))
}

fn longest_wait_before(plan: &JobPlan, latest_end: Duration) -> Option<Duration> {
    (!latest_end.is_zero()).then(|| latest_end.saturating_sub(plan.critical_path()))
}

/// Returns the rank of an occurrence of a job, and the time until which the rank is valid; `None`
/// if it does not change over time.
pub(super) fn rank(
    job: &WorkJob,
    occurrence: &OccurrenceState,
    now: BootTime,
) -> (StartRank, Option<BootTime>) {
    let terms = job.terms();
    let priority = terms.priority;
    if job.plan.is_long_running() {
        let rank = StartRank {
            class: RankClass::Lasting,
            priority,
            not_started: false,
            latest_start: BootTime::ZERO,
        };
        return (rank, None);
    }
    let objective = objective(&job.plan, terms);
    let base = if job.plan.repeat.is_some() {
        occurrence.due
    } else {
        job.arrived
    };
    let remaining = remaining_critical_path(job, occurrence);
    let latest_start = |end: BootTime| {
        end.checked_sub(remaining)
            .filter(|&latest_start| latest_start >= now)
    };
    let (class, latest_start, until) = match (
        latest_start(base + objective),
        latest_start(base + objective * LATE_FACTOR),
    ) {
        (Some(latest_start), _) => (RankClass::InTime, latest_start, Some(latest_start)),
        (None, Some(latest_start)) => (RankClass::Late, latest_start, Some(latest_start)),
        (None, None) => (RankClass::Overdue, base, None),
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

/// Returns the estimated run time of the critical path through the steps that are not done.
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
