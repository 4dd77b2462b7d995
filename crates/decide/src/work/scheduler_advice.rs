use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;
use model::{
    HostId,
    work::{AdvicePolicy, TaskKey},
};

use super::{
    AdviceRequest, SchedulerAction, SchedulerTime, WorkCounters, WorkScheduler,
    advice_calls::AdviceCaller, advice_candidates::AdviceCandidates, ranked_steps::StepRank,
    step_advice::NamedTarget, step_key::StepKey,
};

/// Maximum number of waiting steps that one pass examines for a request.
const MAX_EXAMINED_STEPS: usize = 16;

/// A ticket is not used in the last part of its validity, because the start has to arrive within
/// it. The part is at most this long.
const MAX_EXPIRY_MARGIN: Duration = Duration::from_millis(100);
/// That part as a fraction of the validity.
const EXPIRY_MARGIN_DIVISOR: u32 = 4;

/// What the next request for a step would be for.
#[derive(Debug)]
enum RequestPurpose {
    /// A target may be granted that has room for a task.
    Start(Vec<NamedTarget>),
    /// Tickets in advance, or targets that were denied before.
    Spare(Vec<NamedTarget>),
    /// No target can be named.
    None,
}

impl WorkScheduler {
    /// Handles the tickets for a step; `None` if the request failed.
    pub fn handle_advice(
        &mut self,
        key: &TaskKey,
        tickets: Option<Vec<(HostId, CompactString)>>,
        now: SchedulerTime,
    ) {
        let step = StepKey::of(key);
        let named = self.advice_calls.end(&step, tickets.is_some(), now.boot);
        self.replan_needed = true;
        let (Some(tickets), Some(advice)) = (tickets, self.advice_policy(&step)) else {
            return;
        };
        let Some(job) = self.job_table.jobs.get(&key.job) else {
            return;
        };
        let (queue, pool) = (job.queue.clone(), job.pool.clone());
        let tickets: BTreeMap<HostId, CompactString> = tickets.into_iter().collect();
        for target in &named {
            self.remember_advice(&step, &queue, target, tickets.contains_key(&target.id));
        }
        let expires_at = now.boot + usable_time(advice.ticket_validity());
        if !tickets.is_empty() {
            self.advice_queue.set_ready(step, pool, expires_at);
        }
        if let Some(step) = self.job_table.step_mut(key) {
            let advice = step.advice.get_or_insert_default();
            advice.record_answer(named, tickets, expires_at, now.boot);
        }
    }

    /// Number of calls to the advice service that are in progress.
    pub fn advice_call_count(&self) -> usize {
        self.advice_calls.count()
    }

    /// Whether the step has to wait for advice. It then takes its turn among all steps that do.
    pub(super) fn must_wait_for_advice(&mut self, key: &StepRank, now: SchedulerTime) -> bool {
        let (_, step) = key;
        let is_advised = self.advice_policy(step).is_some();
        let Some(state) = self.step_state(step) else {
            return is_advised;
        };
        if !is_advised {
            if state.advice.is_some() {
                self.forget_advice(step);
            }
            return false;
        }
        let advice = state.advice.as_ref();
        if advice.is_some_and(|advice| advice.has_valid_ticket(now.boot)) {
            return false;
        }
        self.queue_for_advice(key, now);
        true
    }

    /// Notes whether all waiting tasks of a step could be placed. If not, other targets may have
    /// room for them than those that have been granted.
    pub(super) fn note_advised_start(
        &mut self,
        key: &StepRank,
        is_complete: bool,
        now: SchedulerTime,
    ) {
        let (_, step) = key;
        if self.advice_policy(step).is_none() {
            return;
        }
        match is_complete {
            true => self.advice_queue.mark_started(step),
            false => self.queue_for_advice(key, now),
        }
    }

    /// Records that a target refused the ticket for a step.
    pub(super) fn record_ticket_refusal(&mut self, id: &HostId, key: &TaskKey, now: SchedulerTime) {
        let step = self.job_table.step_mut(key);
        if let Some(advice) = step.and_then(|step| step.advice.as_mut()) {
            advice.record_refusal(id, now.boot);
        }
    }

    /// Whether steps wait for advice.
    pub fn awaits_advice(&self) -> bool {
        self.advice_queue.has_steps()
    }

    /// Sets the addresses of the processes that may call the advice service for the owner.
    pub fn set_advice_peers(&mut self, peers: BTreeSet<CompactString>) {
        self.advice_calls.set_peers(peers);
    }

    /// Whether the ticket for an ordered start is still valid, if the start needs one.
    pub fn has_valid_ticket(&self, id: &HostId, task: &TaskKey, now: SchedulerTime) -> bool {
        self.advice_policy(&StepKey::of(task)).is_none() || self.ticket(id, task, now).is_some()
    }

    /// Returns the ticket for a start; `None` if there is none that is valid.
    pub(super) fn ticket(
        &self,
        id: &HostId,
        task: &TaskKey,
        now: SchedulerTime,
    ) -> Option<&CompactString> {
        let step = self.step_state_at(&task.job, task.occurrence, task.step)?;
        let advice = step.advice.as_ref()?;
        advice.valid_ticket(self.targets.get(id)?, now.boot)
    }

    /// Sends as many advice requests as the service can handle without delay.
    pub(super) fn send_advice_requests(&mut self, now: SchedulerTime) {
        for _ in 0..MAX_EXAMINED_STEPS {
            let Some(caller) = self.advice_calls.next_caller(now.boot) else {
                return;
            };
            let Some(key) = self.advice_queue.pop(&self.index.weights, now.boot) else {
                break;
            };
            self.forget_outdated_advice(&key.1);
            match self.next_request(&key.1, now) {
                RequestPurpose::Start(named) => self.request_advice(caller, key.1, named, now),
                RequestPurpose::Spare(_) => {
                    let misses = self.advice_misses(&key.1);
                    self.advice_queue.postpone(key.1.clone(), now.boot);
                    self.advice_queue.push_spare(misses, key);
                }
                RequestPurpose::None => self.advice_queue.postpone(key.1, now.boot),
            }
        }
        self.send_spare_request(now);
    }

    /// Sends a request in advance, or one about targets that were denied before, if the service has
    /// nothing else to do.
    fn send_spare_request(&mut self, now: SchedulerTime) {
        for _ in 0..MAX_EXAMINED_STEPS {
            let caller = self.advice_calls.next_caller(now.boot);
            let Some(caller) = caller.filter(|_| self.advice_calls.count() == 0) else {
                return;
            };
            let Some((_, step)) = self.advice_queue.pop_spare() else {
                return;
            };
            match self.next_request(&step, now) {
                RequestPurpose::Start(named) | RequestPurpose::Spare(named) => {
                    self.request_advice(caller, step, named, now);
                }
                RequestPurpose::None => {}
            }
        }
    }

    fn advice_misses(&self, step: &StepKey) -> u32 {
        let advice = self
            .step_state(step)
            .and_then(|state| state.advice.as_ref());
        advice.map_or(0, |advice| advice.misses)
    }

    /// Forgets the steps of jobs that have ended.
    pub(super) fn forget_ended_advice(&mut self, now: SchedulerTime) {
        let open = &self.job_table.open;
        self.advice_queue
            .retain(|step| open.contains(&step.job), now.boot);
    }

    fn queue_for_advice(&mut self, key: &StepRank, now: SchedulerTime) {
        if !self.advice_calls.is_in_progress(&key.1)
            && let Some(job) = self.job_table.jobs.get(&key.1.job)
        {
            self.advice_queue
                .push(&job.workspace, key.clone(), now.boot);
        }
    }

    /// Decides which targets to name in the next request for a step.
    fn next_request(&self, step: &StepKey, now: SchedulerTime) -> RequestPurpose {
        let Some(advice) = self.advice_policy(step) else {
            return RequestPurpose::None;
        };
        if self.advice_calls.is_in_progress(step) {
            return RequestPurpose::None;
        }
        let (Some(job), Some(state)) = (self.job_table.jobs.get(&step.job), self.step_state(step))
        else {
            return RequestPurpose::None;
        };
        let Some(plan) = job.plan.steps.get(step.step as usize) else {
            return RequestPurpose::None;
        };
        let left = self.remaining_workspace_limit(&job.workspace, &BTreeMap::new());
        if state.waiting_tasks() == 0 || !plan.resources.fits_in(left) {
            return RequestPurpose::None;
        }
        // Without this, each step of a burst would examine the targets of a full pool in vain.
        let most_free = self.index.targets.most_free(&job.pool, now.boot);
        let has_ready = self.advice_queue.has_enough_ready(&job.pool, now.boot);
        if has_ready && !plan.footprint().fits_in(most_free) {
            return RequestPurpose::None;
        }
        let of_pool = self.index.targets.of_pool(&job.pool);
        let of_pool = of_pool.filter_map(|id| {
            WorkCounters::add(&self.counters.candidates, 1);
            self.targets.get(id)
        });
        let candidates = AdviceCandidates::new(plan, state, &job.queue, of_pool, now.boot);
        if candidates.is_empty() {
            return RequestPurpose::None;
        }
        let named = candidates.named(advice, self.grant_rates.expected_of_repeated(&job.queue));
        if candidates.may_start() {
            return RequestPurpose::Start(named);
        }
        match has_ready {
            true => RequestPurpose::None,
            false => RequestPurpose::Spare(named),
        }
    }

    fn request_advice(
        &mut self,
        caller: AdviceCaller,
        step: StepKey,
        named: Vec<NamedTarget>,
        now: SchedulerTime,
    ) {
        let Some(advice) = self.advice_policy(&step) else {
            return;
        };
        let Some(job) = self.job_table.jobs.get(&step.job) else {
            return;
        };
        let call_time = advice.call_time(named.len());
        self.advice_queue
            .record_call(&job.workspace, call_time, now.boot);
        let state = self.step_state(&step);
        let is_first = state.is_some_and(|state| state.advice.is_none());
        self.advice_calls.count_call(is_first);
        let key = step.first_task();
        let targets = named.iter().map(|target| target.id.clone()).collect();
        let calls = &mut self.advice_calls;
        let timeout = calls.begin(caller.clone(), step, named, call_time, now.boot);
        let request = AdviceRequest {
            step: key,
            targets,
            caller,
            timeout,
        };
        self.actions.push(SchedulerAction::RequestAdvice(request));
    }

    /// Remembers whether a target was granted for a step of a queue; the queue's other steps are
    /// probably treated alike.
    fn remember_advice(
        &mut self,
        step: &StepKey,
        queue: &CompactString,
        named: &NamedTarget,
        granted: bool,
    ) {
        let target = self.targets.get(&named.id);
        let Some(target) = target.filter(|target| target.incarnation.number == named.incarnation)
        else {
            return;
        };
        let advice = self
            .step_state(step)
            .and_then(|state| state.advice.as_ref());
        let granted_to_step = advice.is_some_and(|advice| advice.was_granted(target));
        if !granted_to_step {
            let granted_to_queue = target.incarnation.advised_queues.get(queue);
            let repeated = granted_to_queue == Some(&true);
            self.grant_rates.record(queue, repeated, granted);
        }
        if let Some(target) = self.targets.get_mut_untracked(&named.id) {
            let queues = &mut target.incarnation.advised_queues;
            *queues.entry(queue.clone()).or_default() |= granted;
        }
    }

    /// Forgets what the service has answered about incarnations of targets that have ended.
    fn forget_outdated_advice(&mut self, step: &StepKey) {
        let targets = &self.targets;
        let is_current = |id: &HostId, incarnation: u64| {
            let target = targets.get(id);
            target.is_some_and(|target| target.incarnation.number == incarnation)
        };
        let state = self.step_state(step);
        let advice = state.and_then(|state| state.advice.as_ref());
        if !advice.is_some_and(|advice| advice.has_outdated(is_current)) {
            return;
        }
        let state = self.job_table.step_mut(&step.first_task());
        if let Some(advice) = state.and_then(|state| state.advice.as_mut()) {
            advice.forget_outdated(is_current);
        }
    }

    fn forget_advice(&mut self, step: &StepKey) {
        if let Some(state) = self.job_table.step_mut(&step.first_task()) {
            state.advice = None;
        }
    }

    fn advice_policy(&self, step: &StepKey) -> Option<AdvicePolicy> {
        let job = self.job_table.jobs.get(&step.job)?;
        job.terms().advice
    }
}

/// Returns for how long after its answer a ticket is used.
fn usable_time(valid: Duration) -> Duration {
    valid.saturating_sub(MAX_EXPIRY_MARGIN.min(valid / EXPIRY_MARGIN_DIVISOR))
}
