use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{BootTime, PoolId, WorkspaceId};

use crate::float::as_float;

use super::{
    WorkScheduler, admission_policy::SubmittedJob, advice_queue::weight_of,
    start_rate_admission::MAX_BACKLOG_DRAIN_TIME,
};

/// Shorter waits for advice are no reason to refuse a job.
const MIN_ADVICE_WAIT: Duration = Duration::from_secs(2);

impl WorkScheduler {
    /// Returns by how much a job would get the advice for its steps too late; `None` if it may be in
    /// time.
    ///
    /// A job is refused if its first step would be late even if each call named a single target, or
    /// if the calls for all steps of its workspace's open jobs take too long. The second limit does
    /// not depend on the objective of the job: steps that wait for advice leave their targets idle.
    pub(super) fn advice_excess(&self, job: SubmittedJob<'_>, now: BootTime) -> Option<Duration> {
        let shortest_call = job.queue.advice?.call_time(1);
        let age = now.saturating_sub(job.first_submitted);
        let longest = job.longest_wait().saturating_sub(age).max(MIN_ADVICE_WAIT);
        let excess = |call_time: Duration| {
            let wait = self.advice_wait(call_time, job.workspace, now);
            wait.saturating_sub(longest)
        };
        let usual_call = self.advice_calls.last_call_time().max(shortest_call);
        let lateness = (!excess(shortest_call).is_zero()).then(|| excess(usual_call));
        let backlog = self.advice_backlog_wait(job, usual_call, now);
        let backlog_excess = backlog.saturating_sub(MAX_BACKLOG_DRAIN_TIME);
        lateness.max(Some(backlog_excess).filter(|excess| !excess.is_zero()))
    }

    /// Returns how long a step of a workspace that starts to wait now waits for its advice, if each
    /// call takes the service `call_time`.
    fn advice_wait(&self, call_time: Duration, workspace: &WorkspaceId, now: BootTime) -> Duration {
        let weights = &self.index.weights;
        let ahead = self.advice_queue.steps_ahead(workspace, weights) as u64;
        self.advice_calls
            .time_after(as_float(ahead), call_time, now)
    }

    /// Returns the time after which the service has answered for all steps of a workspace's open jobs,
    /// those that wait for earlier steps included.
    fn advice_backlog_wait(
        &self,
        job: SubmittedJob<'_>,
        call_time: Duration,
        now: BootTime,
    ) -> Duration {
        let mut steps = self.unadvised_steps();
        steps.entry(job.workspace).or_default();
        let weight = |workspace: &WorkspaceId| f64::from(weight_of(workspace, &self.index.weights));
        let weights = steps.keys().map(|workspace| weight(workspace));
        let share = weight(job.workspace) / weights.sum::<f64>();
        let own = as_float(steps.get(job.workspace).copied().unwrap_or_default());
        let all = as_float(steps.values().sum());
        // Workspaces with few steps leave the rest of their shares to others.
        let calls = (own / share).min(all) * self.advice_calls.calls_per_step();
        self.advice_calls.time_after(calls, call_time, now)
    }

    /// Number of steps of open jobs, by workspace, for which the service still has to be asked.
    fn unadvised_steps(&self) -> BTreeMap<&WorkspaceId, u64> {
        let advised = self.policy.queues.iter();
        let advised = advised.filter(|queue| queue.advice.is_some());
        let pools: BTreeSet<&PoolId> = advised.map(|queue| &queue.pool).collect();
        let mut steps: BTreeMap<&WorkspaceId, u64> = BTreeMap::new();
        for pool in pools {
            for (workspace, demand) in self.index.jobs.work.workspace_demands(pool) {
                if demand.unadvised_steps > 0 {
                    *steps.entry(workspace).or_default() += demand.unadvised_steps;
                }
            }
        }
        steps
    }
}
