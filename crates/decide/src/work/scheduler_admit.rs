use std::time::Duration;

use model::{
    PoolId,
    work::{JobPlan, QueuePolicy},
};

use super::{SchedulerTime, WorkScheduler, job_summary::PoolBacklog, objective::longest_wait};

/// Time within which every accepted job has to start, however little of it still counts towards its
/// objective. Jobs that may wait longer get more time.
const MAX_BACKLOG_DRAIN_TIME: Duration = Duration::from_secs(8);
/// Shorter predicted waits are too uncertain to refuse a job for them.
const MIN_PREDICTABLE_WAIT: Duration = Duration::from_secs(2);
/// Fraction of the predicted wait that is certain: pools get more hosts while demand rises.
const CERTAIN_WAIT_FRACTION: (u32, u32) = (4, 5);

impl WorkScheduler {
    /// Predicts whether a job submitted now would start too late to count. Returns the time after
    /// which it would no longer be too late, or `None` if the job may be accepted.
    ///
    /// Jobs within their workspace's share only wait for other jobs within the shares, so that a
    /// workspace which submits many times its usual amount does not get others refused.
    pub fn predict_lateness(
        &mut self,
        plan: &JobPlan,
        queue: &str,
        workspace: &str,
        now: SchedulerTime,
    ) -> Option<Duration> {
        if plan.is_long_running() || plan.repeat.is_some() {
            return None;
        }
        self.sync_indexes(now.boot);
        let policy = self.policy.clone();
        let queue: &QueuePolicy = policy.queue(queue)?;
        let weight = policy.workspace(workspace).map_or(0, |space| space.weight);
        let beyond_share = self.shares.would_be_beyond(workspace, weight, now.boot);
        let backlog = self.backlog(&queue.pool);
        let counts = |backlog: PoolBacklog| match beyond_share {
            true => (backlog.all(), backlog.all()),
            false => (backlog.not_overdue, backlog.within_share()),
        };
        let (ahead, accepted) = counts(backlog);
        let (ahead_of_all, accepted_of_all) = counts(self.index.jobs.total_backlog());
        let wait = |tasks: u64| self.forecast.expected_wait(&queue.pool, tasks, now.boot);
        let certain_wait = wait(ahead) * CERTAIN_WAIT_FRACTION.0 / CERTAIN_WAIT_FRACTION.1;
        let certain_wait = certain_wait.max(self.forecast.link_wait(ahead_of_all));
        let longest = longest_wait(plan, Some(queue)).unwrap_or(Duration::MAX);
        let longest = longest.max(MIN_PREDICTABLE_WAIT);
        let lateness = certain_wait.saturating_sub(longest);
        let backlog_excess = wait(accepted).max(self.forecast.link_wait(accepted_of_all));
        let backlog_excess = backlog_excess.saturating_sub(MAX_BACKLOG_DRAIN_TIME.max(longest));
        Some(lateness.max(backlog_excess)).filter(|excess| !excess.is_zero())
    }

    /// Sets how many starts per second the owner's link can carry.
    pub fn set_max_start_rate(&mut self, starts_a_second: f64) {
        self.forecast.set_link_rate(starts_a_second);
    }

    /// Reports the pools in which tasks wait to the start forecast.
    pub(super) fn observe_backlog(&mut self, now: SchedulerTime) {
        let pools = self.index.jobs.backlogged_pools();
        let waiting_pools = pools.filter(|pool| self.backlog(pool).all() > 0);
        let waiting_pools = waiting_pools.cloned().collect();
        self.forecast.observe_waiting(&waiting_pools, now.boot);
    }

    /// Tasks that wait for a pool. While a predecessor's targets have not been polled yet, its jobs
    /// wait for that, and other jobs go ahead of them.
    fn backlog(&self, pool: &PoolId) -> PoolBacklog {
        let inherited = !self.index.unpolled_pools.contains(pool);
        self.index.jobs.backlog(pool, inherited)
    }
}
