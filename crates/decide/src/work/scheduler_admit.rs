use std::time::Duration;

use model::{JobId, PoolId, WorkspaceId, work::JobPlan};

use super::{
    SchedulerTime, WorkScheduler,
    admission_policy::{AdmissionPolicy, SubmittedJob},
    job_summary::PoolBacklog,
    start_rate_admission::StartRateAdmission,
    work_admission::WorkAdmission,
};

impl WorkScheduler {
    /// Predicts whether a job submitted now would start too late to count. Returns the time after
    /// which it would no longer be too late, or `None` if the job may be accepted.
    pub fn predict_lateness(
        &mut self,
        job: &JobId,
        plan: &JobPlan,
        queue: &str,
        workspace: &WorkspaceId,
        now: SchedulerTime,
    ) -> Option<Duration> {
        if plan.is_long_running() || plan.repeat.is_some() {
            return None;
        }
        self.sync_indexes(now.boot);
        let policy = self.policy.clone();
        let queue = policy.queue(queue)?;
        let first_submitted = match self.tuning.sharing.needs_offers() {
            true => {
                let work = plan.core_seconds();
                self.offers
                    .record_offer(job, &queue.pool, workspace, work, now.boot)
            }
            false => now.boot,
        };
        let submitted = SubmittedJob {
            plan,
            queue,
            workspace,
            first_submitted,
        };
        let admission: &dyn AdmissionPolicy = match self.tuning.sharing.work_admission {
            true => &WorkAdmission,
            false => &StartRateAdmission,
        };
        let excess = admission.excess(self, submitted, now.boot);
        let excess = excess.max(self.owner_excess(submitted, now.boot));
        excess.max(self.advice_excess(submitted, now.boot))
    }

    /// Sets how many starts per second the owner's link can carry.
    pub fn set_max_start_rate(&mut self, starts_a_second: f64) {
        self.forecast.set_link_rate(starts_a_second);
    }

    /// Reports the pools in which tasks wait to the start forecast.
    pub(super) fn observe_backlog(&mut self, now: SchedulerTime) {
        let pools = self.index.jobs.work.backlogged_pools();
        let waiting_pools = pools.filter(|pool| self.backlog(pool).all() > 0);
        let waiting_pools = waiting_pools.cloned().collect();
        self.forecast.observe_waiting(&waiting_pools, now.boot);
    }

    /// Tasks that wait for a pool. While a predecessor's targets have not been polled yet, its jobs
    /// wait for that, and other jobs go ahead of them.
    pub(super) fn backlog(&self, pool: &PoolId) -> PoolBacklog {
        self.index
            .jobs
            .work
            .backlog(pool, &self.index.unpolled_pools)
    }

    /// Weight of a workspace; zero if it has none.
    pub(super) fn workspace_weight(&self, workspace: &str) -> u32 {
        self.index
            .weights
            .get(workspace)
            .copied()
            .unwrap_or_default()
    }
}
