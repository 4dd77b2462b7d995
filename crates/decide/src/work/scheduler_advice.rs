use std::{cmp::Reverse, time::Duration};

use compact_str::CompactString;
use model::{
    HostId,
    work::{AdvicePolicy, TaskKey},
};

use super::{
    AdviceRequest, SchedulerAction, SchedulerTime, WorkScheduler, ranked_steps::StepRank,
    step_key::StepKey,
};

/// Targets per advice request. Each one costs the service time, and the service accepts up to a
/// hundred.
const MAX_TARGETS_PER_ADVICE: usize = 16;
/// Maximum number of waiting steps that one pass examines for a request.
const MAX_EXAMINED_STEPS: usize = 16;

/// A ticket is not used in the last part of its validity, because the start has to arrive within
/// it.
const TICKET_EXPIRY_MARGIN: Duration = Duration::from_millis(100);

impl WorkScheduler {
    /// Handles the tickets for a step; `None` if the request failed.
    pub fn handle_advice(
        &mut self,
        key: &TaskKey,
        tickets: Option<Vec<(HostId, CompactString)>>,
        now: SchedulerTime,
    ) {
        self.advice_calls
            .end(&StepKey::of(key), tickets.is_some(), now.boot);
        self.replan_needed = true;
        let Some(tickets) = tickets else {
            return;
        };
        let Some(job) = self.job_table.jobs.get(&key.job) else {
            return;
        };
        let queue = self.policy.queue(&job.queue);
        let validity = queue
            .and_then(|queue| queue.advice)
            .unwrap_or_default()
            .valid;
        let expires_at = now.boot + validity.saturating_sub(TICKET_EXPIRY_MARGIN);
        let granted = tickets
            .into_iter()
            .map(|(id, ticket)| (id, (ticket, expires_at)))
            .collect();
        if let Some(step) = self.job_table.step_mut(key) {
            step.tickets = granted;
        }
    }

    /// Number of calls to the advice service that are in progress.
    pub fn advice_call_count(&self) -> usize {
        self.advice_calls.count()
    }

    /// Whether the step has to wait for advice. It then takes its turn among all steps that do.
    pub(super) fn must_wait_for_advice(&mut self, key: &StepRank, now: SchedulerTime) -> bool {
        let (_, step) = key;
        if self.advice_policy(step).is_none() {
            return false;
        }
        let Some(state) = self.step_state(step) else {
            return true;
        };
        if state
            .tickets
            .values()
            .any(|(_, expires_at)| now.boot < *expires_at)
        {
            return false;
        }
        if !self.advice_calls.is_in_progress(step)
            && let Some(job) = self.job_table.jobs.get(&step.job)
        {
            self.advice_queue
                .push(&job.workspace, key.clone(), now.boot);
        }
        true
    }

    /// Sends as many advice requests as the service can handle without delay.
    pub(super) fn send_advice_requests(&mut self, now: SchedulerTime) {
        for _ in 0..MAX_EXAMINED_STEPS {
            if !self.advice_calls.may_begin(now.boot) {
                return;
            }
            let weights = &self.index.weights;
            let weight = |workspace: &_| weights.get(workspace).copied().unwrap_or(1);
            let Some((_, step)) = self.advice_queue.pop(now.boot, weight) else {
                return;
            };
            self.request_advice(step, now);
        }
    }

    /// Forgets the steps of jobs that have ended.
    pub(super) fn forget_ended_advice(&mut self) {
        let open = &self.job_table.open;
        self.advice_queue.retain(|step| open.contains(&step.job));
    }

    fn request_advice(&mut self, step: StepKey, now: SchedulerTime) {
        let Some(advice) = self.advice_policy(&step) else {
            return;
        };
        let targets = self.targets_to_ask(&step, now);
        let Some(job) = self.job_table.jobs.get(&step.job) else {
            return;
        };
        if targets.is_empty() {
            self.advice_queue.postpone(step, now.boot);
            return;
        }
        let call_time = advice.call_time(targets.len());
        self.advice_queue
            .record_call(&job.workspace, call_time, now.boot);
        let key = TaskKey {
            job: step.job.clone(),
            occurrence: step.occurrence,
            step: step.step,
            index: 0,
        };
        let timeout = self.advice_calls.begin(step, call_time, now.boot);
        let request = AdviceRequest {
            step: key,
            targets,
            timeout,
        };
        self.actions.push(SchedulerAction::RequestAdvice(request));
    }

    /// The targets to name in the next request for a step.
    fn targets_to_ask(&self, step: &StepKey, now: SchedulerTime) -> Vec<HostId> {
        let Some(job) = self.job_table.jobs.get(&step.job) else {
            return Vec::new();
        };
        let pool_targets = self.index.targets.of_pool(&job.pool);
        let pool_targets = pool_targets.filter_map(|id| self.targets.get(id));
        let usable = pool_targets.filter(|target| target.accepts_tasks(now.boot));
        let mut usable: Vec<_> = usable.collect();
        usable.sort_by_key(|target| Reverse(target.free().cpu));
        let first = usable.iter().take(MAX_TARGETS_PER_ADVICE);
        first.map(|target| target.entry.target.clone()).collect()
    }

    fn advice_policy(&self, step: &StepKey) -> Option<AdvicePolicy> {
        let job = self.job_table.jobs.get(&step.job)?;
        self.policy.queue(&job.queue)?.advice
    }
}
