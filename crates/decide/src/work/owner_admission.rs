use std::time::Duration;

use model::{BootTime, WorkspaceId};

use crate::call_budget::LOOP_LATE_AFTER;

use super::{
    WorkScheduler, admission_policy::SubmittedJob, start_rate_admission::MAX_BACKLOG_DRAIN_TIME,
};

/// The time that a job may wait and still be in time, divided by this, is for the wait of its starts. The
/// rest is for its orders and the reports of its ends, which take longer in an owner that is busy.
const SLACK_DIVISOR: u32 = 2;

/// How far an owner is behind with what it is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerLoad {
    /// For how long it has been behind without interruption; zero if it is not.
    pub behind: Duration,
    /// Tasks of open jobs that have not started.
    pub unstarted: u64,
}

impl WorkScheduler {
    /// Records that a task of the owner's event loop resumed `delay` after it was due. Has to be called
    /// several times a second.
    pub fn record_loop_delay(&mut self, delay: Duration, now: BootTime) {
        if delay >= LOOP_LATE_AFTER {
            self.forecast.record_late_loop(now);
        }
    }

    /// Returns how far the owner is behind.
    pub fn owner_load(&self, now: BootTime) -> OwnerLoad {
        OwnerLoad {
            behind: self.forecast.behind_time(now),
            unstarted: self.index.jobs.work.total_backlog().all(),
        }
    }

    /// Returns by how much a job would be too late because the owner is behind; `None` if it may be in
    /// time.
    ///
    /// No host that is added shortens this wait, unlike the wait for cores. So a job is refused as soon
    /// as it would miss its objective: if all were accepted that still count when they are late, the
    /// owner would only start jobs that are late.
    pub(super) fn owner_excess(&self, job: SubmittedJob<'_>, now: BootTime) -> Option<Duration> {
        let wait = |tasks: u64| self.forecast.owner_wait(tasks, now);
        let age = now.saturating_sub(job.first_submitted);
        let longest = job.longest_wait_in_time() / SLACK_DIVISOR;
        let lateness = wait(self.tasks_ahead(job.workspace, now));
        let lateness = lateness.saturating_sub(longest.saturating_sub(age));
        let drain_time = wait(self.index.jobs.work.total_backlog().all());
        let backlog_excess = drain_time.saturating_sub(MAX_BACKLOG_DRAIN_TIME);
        Some(lateness.max(backlog_excess)).filter(|excess| !excess.is_zero())
    }

    /// How many tasks start before those of a job that a workspace submits now.
    fn tasks_ahead(&self, workspace: &WorkspaceId, now: BootTime) -> u64 {
        let backlog = self.index.jobs.work.total_backlog();
        let weight = self.workspace_weight(workspace);
        match self.shares.would_be_beyond(workspace, weight, now) {
            true => backlog.not_overdue + backlog.beyond_share,
            false => backlog.not_overdue,
        }
    }
}
