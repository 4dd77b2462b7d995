use std::{fmt, time::Duration};

use model::{
    BootTime, WorkspaceId,
    work::{JobPlan, QueuePolicy},
};

use super::{
    JobTerms, WorkScheduler,
    objective::{longest_wait, longest_wait_in_time},
};

/// A job that is submitted now.
#[derive(Clone, Copy, Debug)]
pub(super) struct SubmittedJob<'a> {
    pub(super) plan: &'a JobPlan,
    pub(super) queue: &'a QueuePolicy,
    pub(super) workspace: &'a WorkspaceId,
    /// When the job was first submitted, if that is known; otherwise the current time.
    pub(super) first_submitted: BootTime,
}

impl SubmittedJob<'_> {
    /// Returns how long a job may wait for its first start and still count.
    pub(super) fn longest_wait(&self) -> Duration {
        longest_wait(self.plan, JobTerms::of_queue(self.queue)).unwrap_or(Duration::MAX)
    }

    /// Returns how long a job may wait for its first start and still be in time.
    pub(super) fn longest_wait_in_time(&self) -> Duration {
        let terms = JobTerms::of_queue(self.queue);
        longest_wait_in_time(self.plan, terms).unwrap_or(Duration::MAX)
    }
}

/// Way of deciding whether a submitted job would be started in time.
pub(super) trait AdmissionPolicy: fmt::Debug {
    /// Returns by how much a job would be started too late; `None` if it is to be accepted.
    fn excess(
        &self,
        scheduler: &WorkScheduler,
        job: SubmittedJob<'_>,
        now: BootTime,
    ) -> Option<Duration>;
}
