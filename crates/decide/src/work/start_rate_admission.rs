use std::time::Duration;

use model::BootTime;

use super::{
    WorkScheduler,
    admission_policy::{AdmissionPolicy, SubmittedJob},
    job_summary::PoolBacklog,
};

/// Time within which every accepted job has to start, however little of it still counts towards its
/// objective. Jobs that may wait longer get more time.
pub(super) const MAX_BACKLOG_DRAIN_TIME: Duration = Duration::from_secs(8);
/// Shorter predicted waits are too uncertain to refuse a job for them.
const MIN_PREDICTABLE_WAIT: Duration = Duration::from_secs(2);
/// Fraction of the predicted wait that is certain: pools get more hosts while demand rises.
const CERTAIN_WAIT_FRACTION: (u32, u32) = (4, 5);

/// Admits jobs by the number of tasks that wait and by the rate of recent starts.
///
/// Jobs within their workspace's share only wait for other jobs within the shares, so that a
/// workspace which submits many times its usual amount does not get others refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartRateAdmission;

/// Returns the longest time in which all accepted jobs may start, for a job that may wait for
/// `longest`.
pub(super) fn max_backlog_wait(longest: Duration) -> Duration {
    MAX_BACKLOG_DRAIN_TIME.max(longest)
}

impl AdmissionPolicy for StartRateAdmission {
    fn excess(
        &self,
        scheduler: &WorkScheduler,
        job: SubmittedJob<'_>,
        now: BootTime,
    ) -> Option<Duration> {
        let pool = &job.queue.pool;
        let weight = scheduler.workspace_weight(job.workspace);
        let beyond_share = scheduler.shares.would_be_beyond(job.workspace, weight, now);
        let backlog = scheduler.backlog(pool);
        let counts = |backlog: PoolBacklog| match beyond_share {
            true => (backlog.all(), backlog.all()),
            false => (backlog.not_overdue, backlog.within_share()),
        };
        let (ahead, accepted) = counts(backlog);
        let (ahead_of_all, accepted_of_all) = counts(scheduler.index.jobs.work.total_backlog());
        let forecast = &scheduler.forecast;
        let wait = |tasks: u64| forecast.expected_wait(pool, tasks, now);
        let certain_wait = wait(ahead) * CERTAIN_WAIT_FRACTION.0 / CERTAIN_WAIT_FRACTION.1;
        let certain_wait = certain_wait.max(forecast.link_wait(ahead_of_all));
        let longest = job.longest_wait().max(MIN_PREDICTABLE_WAIT);
        let lateness = certain_wait.saturating_sub(longest);
        let backlog_excess = wait(accepted).max(forecast.link_wait(accepted_of_all));
        let backlog_excess = backlog_excess.saturating_sub(max_backlog_wait(longest));
        Some(lateness.max(backlog_excess)).filter(|excess| !excess.is_zero())
    }
}
