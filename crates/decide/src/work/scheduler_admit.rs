use std::time::Duration;

use model::{
    PoolId,
    work::{JobPlan, QueuePolicy},
};

use super::{SchedulerTime, WorkScheduler, job_summary::PoolBacklog, objective::longest_wait};

/// Time in which all that is accepted has to be begun, however little of it still counts; more for
/// jobs that may wait longer.
const MAX_BACKLOG_DRAIN_TIME: Duration = Duration::from_secs(8);
/// Waits below this are not foreseen well enough to refuse a job for them.
const MIN_PREDICTABLE_WAIT: Duration = Duration::from_secs(2);
/// Part of the foreseen wait that is taken for sure: pools get more hosts while demand rises.
const CERTAIN_WAIT_FRACTION: (u32, u32) = (4, 5);

impl WorkScheduler {
    /// Tells whether a job that is handed in now would be begun too late to count; holds how long it
    /// takes until one would not be. `None` if it may be accepted.
    ///
    /// What is within a workspace's share waits for what is within the shares of all, so that a
    /// workspace which sends many times its usual does not have others refused.
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
        let terms = self.policy.clone();
        let queue: &QueuePolicy = terms.queue(queue)?;
        let weight = terms.workspace(workspace).map_or(0, |space| space.weight);
        let beyond = self.shares.would_be_beyond(workspace, weight, now.boot);
        let backlog = self.backlog(&queue.pool);
        let counted = |backlog: PoolBacklog| match beyond {
            true => (backlog.all(), backlog.all()),
            false => (backlog.not_overdue, backlog.within_share()),
        };
        let (ahead, accepted) = counted(backlog);
        let (ahead_of_all, accepted_of_all) = counted(self.index.jobs.total_backlog());
        let wait = |tasks: u64| self.forecast.expected_wait(&queue.pool, tasks, now.boot);
        let sure = wait(ahead) * CERTAIN_WAIT_FRACTION.0 / CERTAIN_WAIT_FRACTION.1;
        let sure = sure.max(self.forecast.link_wait(ahead_of_all));
        let longest = longest_wait(plan, Some(queue)).unwrap_or(Duration::MAX);
        let longest = longest.max(MIN_PREDICTABLE_WAIT);
        let late = sure.saturating_sub(longest);
        let long = wait(accepted).max(self.forecast.link_wait(accepted_of_all));
        let long = long.saturating_sub(MAX_BACKLOG_DRAIN_TIME.max(longest));
        Some(late.max(long)).filter(|excess| !excess.is_zero())
    }

    /// Sets how many starts a second the owner's link carries at most.
    pub fn set_max_start_rate(&mut self, starts_a_second: f64) {
        self.forecast.set_link_rate(starts_a_second);
    }

    /// Notes in which pools tasks wait.
    pub(super) fn observe_backlog(&mut self, now: SchedulerTime) {
        let pools = self.index.jobs.backlogged_pools();
        let waited_for = pools.filter(|pool| self.backlog(pool).all() > 0);
        let waited_for = waited_for.cloned().collect();
        self.forecast.observe_waiting(&waited_for, now.boot);
    }

    /// The tasks that wait for a pool. Where a predecessor's targets have not been reached, its jobs
    /// wait for that, and others go ahead of them.
    fn backlog(&self, pool: &PoolId) -> PoolBacklog {
        let inherited = !self.index.unobserved_pools.contains(pool);
        self.index.jobs.backlog(pool, inherited)
    }
}
