use std::{cmp::Reverse, time::Duration};

use compact_str::CompactString;
use model::{HostId, work::TaskKey};

use super::{SchedulerAction, SchedulerTime, WorkScheduler, step_key::StepKey};

/// Targets per advice request. Each one costs the service time, and the service accepts up to a
/// hundred.
const MAX_TARGETS_PER_ADVICE: u32 = 16;
/// Minimum time between two advice requests for one step.
const MIN_ADVICE_INTERVAL: Duration = Duration::from_millis(500);

/// A ticket is not used in the last part of its validity, because the start has to arrive within
/// it.
const TICKET_EXPIRY_MARGIN: Duration = Duration::from_millis(100);

impl WorkScheduler {
    /// Stores the tickets for a step; there are none if the advice request failed.
    pub fn handle_advice(
        &mut self,
        key: &TaskKey,
        tickets: Vec<(HostId, CompactString)>,
        now: SchedulerTime,
    ) {
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
            self.replan_needed = true;
        }
    }

    fn mark_advice_requested(&mut self, key: &TaskKey, now: SchedulerTime) {
        if let Some(step) = self.job_table.step_mut(key) {
            step.tickets.clear();
            step.advice_requested_at = now.boot;
        }
    }

    /// Whether the step has to wait for advice. Sends the advice request if it is due.
    pub(super) fn must_wait_for_advice(&mut self, step: &StepKey, now: SchedulerTime) -> bool {
        let Some(job) = self.job_table.jobs.get(&step.job) else {
            return false;
        };
        let Some(advice) = self.policy.queue(&job.queue).and_then(|queue| queue.advice) else {
            return false;
        };
        let pool = job.pool.clone();
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
        // No new request is sent for a step before the answer to its last one is overdue.
        let answer_timeout = advice.fixed + advice.per_target * MAX_TARGETS_PER_ADVICE * 4;
        let asked = !state.advice_requested_at.is_zero();
        if asked
            && now.boot.saturating_sub(state.advice_requested_at)
                < answer_timeout.max(MIN_ADVICE_INTERVAL)
        {
            return true;
        }
        let pool_targets = self.index.targets.of_pool(&pool);
        let pool_targets = pool_targets.filter_map(|id| self.targets.get(id));
        let usable = pool_targets.filter(|target| target.accepts_tasks(now.boot));
        let mut usable: Vec<_> = usable.collect();
        usable.sort_by_key(|target| Reverse(target.free().cpu));
        let ids: Vec<HostId> = usable
            .iter()
            .take(MAX_TARGETS_PER_ADVICE as usize)
            .map(|target| target.entry.target.clone())
            .collect();
        if ids.is_empty() {
            return true;
        }
        let key = TaskKey {
            job: step.job.clone(),
            occurrence: step.occurrence,
            step: step.step,
            index: 0,
        };
        self.mark_advice_requested(&key, now);
        self.actions.push(SchedulerAction::RequestAdvice(key, ids));
        true
    }
}
