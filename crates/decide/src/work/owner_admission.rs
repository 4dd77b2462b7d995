use std::time::Duration;

use model::{BootTime, WorkspaceId};

use crate::call_budget::LOOP_LATE_AFTER;

use super::{
    WorkScheduler, admission_policy::SubmittedJob, job_summary::PoolBacklog,
    start_forecast::time_to_start, start_rate_admission::MAX_BACKLOG_DRAIN_TIME,
};

/// A job is to start within the time that it can wait and still be in time, divided by this. The rest is
/// left for its orders and the reports of its ends, which take longer while the owner is behind.
const SLACK_DIVISOR: u32 = 2;

impl WorkScheduler {
    /// Records that a task of the owner's event loop resumed `delay` after it was due. Has to be called
    /// several times a second.
    pub fn record_loop_delay(&mut self, delay: Duration, now: BootTime) {
        if delay >= LOOP_LATE_AFTER {
            self.forecast.record_late_loop(now);
        }
    }

    /// Returns for how long the owner has been behind without interruption; zero if it is not.
    pub fn behind_time(&self, now: BootTime) -> Duration {
        self.forecast.behind_time(now)
    }

    /// Returns the number of tasks of open jobs that have not started.
    pub fn unstarted_tasks(&self) -> u64 {
        self.index.jobs.work.total_backlog().all()
    }

    /// Returns by how much a job would be too late because the owner is behind; `None` if it may be in
    /// time.
    ///
    /// No host that is added shortens this wait, unlike the wait for cores. So a job is refused as soon
    /// as it would miss its objective: if all were accepted that still count when they are late, the
    /// owner would only start jobs that are late.
    pub(super) fn owner_excess(&self, job: SubmittedJob<'_>, now: BootTime) -> Option<Duration> {
        let rate = self.forecast.owner_rate(now)?;
        let backlog = self.index.jobs.work.total_backlog();
        let ahead = self.tasks_ahead(backlog, job.workspace, now);
        let age = now.saturating_sub(job.first_submitted);
        let longest = job.longest_wait_in_time() / SLACK_DIVISOR;
        let lateness = time_to_start(ahead, rate).saturating_sub(longest.saturating_sub(age));
        let drain_time = time_to_start(backlog.all(), rate);
        let backlog_excess = drain_time.saturating_sub(MAX_BACKLOG_DRAIN_TIME);
        Some(lateness.max(backlog_excess)).filter(|excess| !excess.is_zero())
    }

    /// How many tasks of the backlog start before those of a job that a workspace submits now.
    fn tasks_ahead(&self, backlog: PoolBacklog, workspace: &WorkspaceId, now: BootTime) -> u64 {
        let weight = self.workspace_weight(workspace);
        match self.shares.would_be_beyond(workspace, weight, now) {
            true => backlog.not_overdue + backlog.beyond_share,
            false => backlog.not_overdue,
        }
    }
}
