use model::{
    BootTime, HostId, JobId, WorkspaceId,
    work::{ResourceVector, StartOrder, StepPlan, TaskKey},
};
use std::{collections::BTreeMap, time::Duration};

use super::{
    EarlierRun, PlacementInputs, RankClass, SchedulerAction, SchedulerEvent, SchedulerTime,
    TaskPlacement, WorkCounters, WorkPhase, WorkScheduler,
    pick::{pick_including_draining, pick_target},
    ranked_steps::StepRank,
    step_key::StepKey,
    target_state::RunKey,
};

/// Attempt numbers that one term may give to one task before those of the next term begin. A
/// long-running task that fails twice a second uses them up in an hour. The next token is larger by
/// the log entries written in that hour, so its attempt numbers are still larger.
const ATTEMPTS_PER_TERM: u64 = 10_000;
/// Time without a target after which a long-running task accepts one that is draining or paused.
const STARVATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Result of trying to start the tasks of a step.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StepOutcome {
    pub(super) started: usize,
    /// Whether no target has capacity for another task of the same size.
    pub(super) no_capacity: bool,
}

/// Tasks that were placed on targets.
#[derive(Debug, Default)]
struct PlacedTasks {
    runs: Vec<(HostId, RunKey)>,
    /// Whether no target has capacity for another task of the same size.
    no_capacity: bool,
}

impl WorkScheduler {
    /// Starts the tasks of a step for which there is capacity.
    pub(super) fn start_step(
        &mut self,
        key: &StepRank,
        unconfirmed_usage: &BTreeMap<WorkspaceId, ResourceVector>,
        now: SchedulerTime,
    ) -> StepOutcome {
        let (rank, step) = key;
        let no_start = StepOutcome::default();
        // Another step may have failed the job during the same planning pass.
        let job = self.job_table.jobs.get(&step.job);
        let Some(job) = job.filter(|job| job.phase == WorkPhase::Open) else {
            return no_start;
        };
        let plan = job.plan.clone();
        let Some(plan) = plan.steps.get(step.step as usize) else {
            return no_start;
        };
        if self.has_exhausted_attempts(step, plan) {
            self.fail_job(&step.job, now);
            return no_start;
        }
        if self.must_wait_for_advice(key, now) {
            return no_start;
        }
        let Some(state) = self.step_state(step) else {
            return no_start;
        };
        let is_waiting = |task: &super::TaskState| !task.done && task.placement.is_none();
        let indices: Vec<u32> = (0..)
            .zip(&state.tasks)
            .filter(|(_, task)| is_waiting(task))
            .map(|(index, _)| index)
            .collect();
        if plan.gang && indices.len() != state.tasks.len() {
            // A gang starts as a whole, so its remaining members have to end first.
            return no_start;
        }
        let placed = self.place_tasks(step, plan, &indices, unconfirmed_usage, now);
        self.note_advised_start(key, placed.runs.len() == indices.len(), now);
        if plan.gang && placed.runs.len() < indices.len() {
            for (id, run) in placed.runs {
                self.release_claim(&id, &run);
                self.clear_placement(&id, &run, None);
            }
            // The steps that are tried next can use the capacity.
            self.sync_target_index(now.boot);
            return no_start;
        }
        if plan.long_running {
            self.update_starved(step, placed.runs.len() < indices.len(), now);
        }
        for (id, run) in &placed.runs {
            self.send_start(id, run, rank.class, now);
        }
        if self.tuning.sharing.fair_order && !plan.long_running {
            self.record_fair_start(&step.job, plan, placed.runs.len(), now.boot);
        }
        StepOutcome {
            started: placed.runs.len(),
            no_capacity: placed.no_capacity,
        }
    }

    /// Charges started tasks to their workspace.
    fn record_fair_start(&mut self, job: &JobId, plan: &StepPlan, tasks: usize, now: BootTime) {
        let Some(job) = self.job_table.jobs.get(job) else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "tasks of one step")]
        let work = plan.task_core_seconds() * tasks as f64;
        self.fair_order
            .record_start(&job.pool, &job.workspace, work, now);
    }

    /// Whether a task of the step has used up its attempts. The owner that receives the last
    /// failure fails the job at once, but may crash before all of that is recorded.
    fn has_exhausted_attempts(&self, step: &StepKey, plan: &StepPlan) -> bool {
        let job = self.job_table.jobs.get(&step.job);
        let Some(job) = job else {
            return false;
        };
        let max_attempts = job.terms().max_attempts as usize;
        let tasks = self.step_state(step).map(|state| state.tasks.as_slice());
        let mut unfinished = tasks.unwrap_or_default().iter().filter(|task| !task.done);
        !plan.long_running && unfinished.any(|task| task.failed_attempts.len() >= max_attempts)
    }

    fn update_starved(&mut self, step: &StepKey, starved: bool, now: SchedulerTime) {
        if starved {
            self.unplaced_since.entry(step.clone()).or_insert(now.boot);
        } else {
            self.unplaced_since.remove(step);
        }
    }

    /// Places tasks on targets without sending orders.
    fn place_tasks(
        &mut self,
        step: &StepKey,
        plan: &StepPlan,
        indices: &[u32],
        unconfirmed_usage: &BTreeMap<WorkspaceId, ResourceVector>,
        now: SchedulerTime,
    ) -> PlacedTasks {
        let mut placed = PlacedTasks::default();
        let Some(job) = self.job_table.jobs.get(&step.job) else {
            return placed;
        };
        let (pool, workspace) = (job.pool.clone(), job.workspace.clone());
        let attempt = self.next_step_attempt(step);
        for &index in indices {
            if !plan
                .resources
                .fits_in(self.remaining_workspace_limit(&workspace, unconfirmed_usage))
            {
                self.mark_capped(&workspace, &pool);
                break;
            }
            let Some(id) = self.choose_target(step, plan, index, &pool, now) else {
                placed.no_capacity = self.depends_only_on_capacity(step, plan, index);
                break;
            };
            let key = TaskKey {
                job: step.job.clone(),
                occurrence: step.occurrence,
                step: step.step,
                index,
            };
            let attempt_number = match (plan.gang, self.last_task_attempt(&key)) {
                (true, _) => attempt,
                (false, last) => self.attempt_after(last),
            };
            let run = (key, attempt_number);
            self.claim(&id, run.clone());
            self.place_task(&id, &run, now);
            placed.runs.push((id, run));
            self.sync_target_index(now.boot);
        }
        placed
    }

    /// Whether only capacity decides which targets may run a task.
    fn depends_only_on_capacity(&self, step: &StepKey, plan: &StepPlan, index: u32) -> bool {
        let state = self.step_state(step);
        let task = state.and_then(|state| state.tasks.get(index as usize));
        let never_failed = task.is_some_and(|task| task.failed_on.is_empty());
        let is_advised = state.is_some_and(|state| state.advice.is_some());
        never_failed
            && !is_advised
            && !plan.gang
            && plan.required_label.is_empty()
            && plan.anti_affinity == 0
    }

    fn choose_target(
        &self,
        step: &StepKey,
        plan: &StepPlan,
        index: u32,
        pool: &model::PoolId,
        now: SchedulerTime,
    ) -> Option<HostId> {
        let state = self.step_state(step)?;
        let task = state.tasks.get(index as usize)?;
        let target = |id: &HostId| {
            WorkCounters::add(&self.counters.candidates, 1);
            self.targets.get(id)
        };
        let pool_targets = self.index.targets.of_pool(pool).filter_map(target);
        let candidates = self.index.targets.with_capacity(pool, plan.footprint().cpu);
        let candidates = candidates.filter_map(target);
        if let Some(best) = pick_target(
            plan,
            state,
            task,
            candidates,
            pool_targets.clone(),
            now.boot,
        ) {
            return Some(best.entry.target.clone());
        }
        // A service that lacks a task for long is worse than a host that is drained later, or than
        // a task on a target that has refused one.
        let since = self.unplaced_since.get(step)?;
        if now.boot.saturating_sub(*since) < STARVATION_TIMEOUT {
            return None;
        }
        let best = pick_including_draining(plan, state, task, pool_targets, now.boot)?;
        Some(best.entry.target.clone())
    }

    fn place_task(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        let (key, attempt) = run;
        let Some(step) = self.job_table.step_mut(key) else {
            return;
        };
        step.set_placement(key.index, TaskPlacement::new(id, *attempt, now.boot));
    }

    fn send_start(&mut self, id: &HostId, run: &RunKey, class: RankClass, now: SchedulerTime) {
        let (key, attempt) = run;
        let Some(job) = self.job_table.jobs.get(&key.job) else {
            return;
        };
        if !job.plan.is_long_running() {
            self.forecast.record_start(&job.pool, now.boot);
        }
        let payload = job.plan.payload.clone();
        let task = job.task(key.occurrence, key.step, key.index);
        let past_run = task.and_then(|task| task.past_run.as_deref());
        let earlier = match past_run {
            Some(run) => EarlierRun::Last(run.clone()),
            None if job.inherited && key.occurrence < job.inherited_due => EarlierRun::Unseen,
            None => EarlierRun::Never,
        };
        let checkpoint = task.map(|task| task.checkpoint.clone()).unwrap_or_default();
        let ticket = self.ticket(id, key, now).cloned().unwrap_or_default();
        let Some(target) = self.targets.get_mut_untracked(id) else {
            return;
        };
        target.last_grant = now.boot;
        let clock = target.clock_at(now.boot).unwrap_or_default();
        let order = StartOrder {
            task: key.clone(),
            attempt: *attempt,
            payload,
            lease_until: clock + self.tuning.grant,
            token: self.token,
            checkpoint,
            ticket,
        };
        let inputs = PlacementInputs {
            earlier,
            class,
            last_response_age: now.boot.saturating_sub(target.last_response),
            free_cpu: target.free().cpu,
        };
        let placed = SchedulerEvent::Placed(key.clone(), *attempt, id.clone(), inputs);
        self.emit(placed);
        self.actions.push(SchedulerAction::Start(id.clone(), order));
    }

    pub(super) fn step_state_at(
        &self,
        job: &str,
        occurrence: u32,
        step: u32,
    ) -> Option<&super::StepState> {
        let occurrence = self.job_table.jobs.get(job)?.occurrences.get(&occurrence)?;
        occurrence.steps.get(step as usize)
    }

    pub(super) fn step_state(&self, step: &StepKey) -> Option<&super::StepState> {
        self.step_state_at(&step.job, step.occurrence, step.step)
    }

    fn last_task_attempt(&self, key: &TaskKey) -> u64 {
        let job = self.job_table.jobs.get(&key.job);
        let task = job.and_then(|job| job.task(key.occurrence, key.step, key.index));
        task.map_or(0, |task| task.last_attempt)
    }

    /// An attempt number larger than any that an owner has given to the task. The high part comes
    /// from the term's token, so that no attempt number has to be recorded.
    fn attempt_after(&self, last: u64) -> u64 {
        (self.token * ATTEMPTS_PER_TERM).max(last) + 1
    }

    fn next_step_attempt(&self, step: &StepKey) -> u64 {
        let state = self.step_state(step);
        let tasks = state.iter().flat_map(|state| &state.tasks);
        let last = tasks.map(|task| task.last_attempt).max();
        self.attempt_after(last.unwrap_or_default())
    }
}
