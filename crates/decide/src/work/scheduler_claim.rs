use model::{
    HostId,
    work::{AttemptNumber, TaskKey},
};

use super::{
    SchedulerEvent, WorkScheduler,
    target_state::{RunClaim, RunKey},
};

/// Makes the event of a run that a poll found.
type FoundRunEvent = fn(TaskKey, AttemptNumber, HostId, Option<&'static str>) -> SchedulerEvent;

/// Accounting of what runs use: the capacity of a target and the limit of their workspace.
impl WorkScheduler {
    /// Reserves capacity and a part of the workspace's limit for a run.
    pub(super) fn claim(&mut self, id: &HostId, run: RunKey) {
        let claim = self.claim_for_task(&run.0);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.claims.contains_key(&run) {
            return;
        }
        self.index.runs.insert((run.0.clone(), run.1, id.clone()));
        let usage = self
            .workspace_usage
            .entry(claim.workspace.clone())
            .or_default();
        *usage = usage.plus(claim.charged);
        target.claim(run, claim);
    }

    /// Reports a run that a poll found, with the cause if this scheduler counted it as over.
    pub(super) fn emit_found(&mut self, event: FoundRunEvent, id: &HostId, run: &RunKey) {
        let (key, attempt) = run;
        let job = self.job_table.jobs.get(&key.job);
        let task = job.and_then(|job| job.task(key.occurrence, key.step, key.index));
        let past_run = task.and_then(|task| task.past_run.as_deref());
        let past_run = past_run.filter(|past| past.target == *id && past.attempt == *attempt);
        let over = past_run.map(|past| past.cause);
        self.emit(event(key.clone(), *attempt, id.clone(), over));
    }

    /// Releases what a run reserved. The run must not be on the target any more.
    pub(super) fn release_claim(&mut self, id: &HostId, run: &RunKey) {
        let Some(claim) = self
            .targets
            .get_mut(id)
            .and_then(|target| target.release_claim(run))
        else {
            return;
        };
        self.remove_run_accounting(id, run, &claim);
    }

    /// Runs of a job, or of one of its tasks, each with the target that it may be on.
    pub(super) fn runs_of_job(&self, job: &str, task: Option<&TaskKey>) -> Vec<(HostId, RunKey)> {
        let first = TaskKey {
            job: job.into(),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let from = (task.cloned().unwrap_or(first), 0, HostId::default());
        let wanted = |key: &TaskKey| match task {
            Some(task) => key == task,
            None => key.job == job,
        };
        let runs = self.index.runs.range(from..);
        runs.take_while(|(key, ..)| wanted(key))
            .map(|(key, attempt, id)| (id.clone(), (key.clone(), *attempt)))
            .collect()
    }

    /// Removes a run from the accounting beyond its target: the run index and the workspace usage.
    pub(super) fn remove_run_accounting(&mut self, id: &HostId, run: &RunKey, claim: &RunClaim) {
        self.index.runs.remove(&(run.0.clone(), run.1, id.clone()));
        if let Some(usage) = self.workspace_usage.get_mut(&claim.workspace) {
            *usage = usage.minus(claim.charged);
        }
        if let Some(pools) = self.index.capped.remove(&claim.workspace) {
            self.index.startable_pools.extend(pools);
        }
    }

    fn claim_for_task(&self, key: &TaskKey) -> RunClaim {
        let Some(job) = self.job_table.jobs.get(&key.job) else {
            return RunClaim::default();
        };
        let Some(step) = job.plan.steps.get(key.step as usize) else {
            // A predecessor ended the job and was still stopping its runs, or one of its orders is
            // executed late. Counting such a run as nothing would overcommit the target.
            return RunClaim {
                resources: job.closed_resources,
                charged: job.closed_resources,
                workspace: job.workspace.clone(),
            };
        };
        RunClaim {
            resources: step.footprint(),
            charged: step.resources,
            workspace: job.workspace.clone(),
        }
    }
}
