use compact_str::CompactString;
use model::{
    BootTime, HostId, JobId, WorkspaceId,
    work::{ResourceVector, StartOrder, StepPlan, TaskKey},
};
use std::collections::BTreeMap;

use super::{
    EarlierRun, PlacementInputs, RankClass, SchedulerAction, SchedulerEvent, SchedulerTime,
    StepState, WorkJob, WorkPhase, WorkScheduler, ranked_steps::StepRank,
    scheduler_plan::MAX_STARTS_PER_PLAN, step_key::StepKey, target_state::RunKey,
};

/// Attempt numbers that one term may give to one task before those of the next term begin. A
/// long-running task that fails twice a second uses them up in an hour. The next token is larger by
/// the log entries written in that hour, so its attempt numbers are still larger.
const ATTEMPTS_PER_TERM: u64 = 10_000;

/// Result of trying to start the tasks of a step.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StepOutcome {
    pub(super) started: usize,
    /// Whether no target has capacity for another task of the same size.
    pub(super) no_capacity: bool,
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
        let is_untouched = |state: &StepState| state.done == 0 && state.placed == 0;
        if plan.gang && !self.step_state(step).is_some_and(is_untouched) {
            // A gang starts as a whole, so its remaining members have to end first.
            return no_start;
        }
        if plan.gang && !self.has_room_for_gang(step, plan, unconfirmed_usage, now) {
            self.note_advised_start(key, false, now);
            return no_start;
        }
        let indices = self.indices_to_start(step, plan);
        let placed = self.place_tasks(step, plan, &indices, unconfirmed_usage, now);
        self.note_advised_start(key, placed.runs.len() == indices.len(), now);
        if plan.gang && placed.runs.len() < indices.len() {
            self.undo_placements(placed.runs, now);
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
        let state = self.step_state(step);
        !plan.long_running && state.is_some_and(|state| state.has_exhausted_attempts(max_attempts))
    }

    /// Returns the tasks of a step to start: all members of a gang, or as many of the waiting tasks
    /// as one pass may start.
    fn indices_to_start(&self, step: &StepKey, plan: &StepPlan) -> Vec<u32> {
        let Some(state) = self.step_state(step) else {
            return Vec::new();
        };
        let tasks = (0..).zip(&state.tasks);
        let waiting = tasks.filter(|(_, task)| !task.done && task.placement.is_none());
        let waiting = waiting.map(|(index, _)| index);
        if !plan.gang {
            return waiting.take(MAX_STARTS_PER_PLAN).collect();
        }
        let mut members: Vec<u32> = waiting.collect();
        // A member that has failed may have to wait for another target. It goes first, so that the
        // others are not placed in vain.
        let has_failed = |index: u32| {
            let task = state.tasks.get(index as usize);
            task.is_some_and(|task| !task.failed_on.is_empty())
        };
        members.sort_by_key(|&index| !has_failed(index));
        members
    }

    fn update_starved(&mut self, step: &StepKey, starved: bool, now: SchedulerTime) {
        if starved {
            self.unplaced_since.entry(step.clone()).or_insert(now.boot);
        } else {
            self.unplaced_since.remove(step);
        }
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
        let checkpoint = self.checkpoint_of(job, key);
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

    /// Returns the checkpoint that a start of a task has to carry; empty for none.
    fn checkpoint_of(&self, job: &WorkJob, key: &TaskKey) -> CompactString {
        let step = self.step_state_at(&key.job, key.occurrence, key.step);
        let Some(step) = step else {
            return CompactString::default();
        };
        let plan = job.plan.steps.get(key.step as usize);
        if plan.is_some_and(|plan| plan.gang) {
            return step.gang_checkpoint.clone();
        }
        let task = step.tasks.get(key.index as usize);
        task.map(|task| task.checkpoint.clone()).unwrap_or_default()
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

    pub(super) fn last_task_attempt(&self, key: &TaskKey) -> u64 {
        let job = self.job_table.jobs.get(&key.job);
        let task = job.and_then(|job| job.task(key.occurrence, key.step, key.index));
        task.map_or(0, |task| task.last_attempt)
    }

    /// An attempt number larger than any that an owner has given to the task. The high part comes
    /// from the term's token, so that no attempt number has to be recorded.
    pub(super) fn attempt_after(&self, last: u64) -> u64 {
        (self.token * ATTEMPTS_PER_TERM).max(last) + 1
    }

    pub(super) fn next_step_attempt(&self, step: &StepKey) -> u64 {
        let state = self.step_state(step);
        let tasks = state.iter().flat_map(|state| &state.tasks);
        let last = tasks.map(|task| task.last_attempt).max();
        self.attempt_after(last.unwrap_or_default())
    }
}
