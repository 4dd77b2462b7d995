use std::{collections::BTreeMap, time::Duration};

use model::{
    HostId, PoolId, WorkspaceId,
    work::{ResourceVector, StepPlan},
};

use super::{
    SchedulerTime, TargetState, TaskPlacement, WorkCounters, WorkScheduler,
    pick::{pick_including_draining, pick_target, task_room},
    step_key::StepKey,
    target_ranking::TargetRanking,
    target_state::RunKey,
};

/// Time without a target after which a long-running task accepts one that is draining or paused.
const STARVATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of tasks of a step from which on its targets are ranked once for all of them.
const MIN_RANKED_TASKS: usize = 32;

/// Tasks that were placed on targets.
#[derive(Debug, Default)]
pub(super) struct PlacedTasks {
    pub(super) runs: Vec<(HostId, RunKey)>,
    /// Whether no target has capacity for another task of the same size.
    pub(super) no_capacity: bool,
}

impl WorkScheduler {
    /// Returns true if there is room for all members of a gang now.
    ///
    /// Asks for the room of each target once, so that a gang without room costs little.
    pub(super) fn has_room_for_gang(
        &mut self,
        step: &StepKey,
        plan: &StepPlan,
        unconfirmed_usage: &BTreeMap<WorkspaceId, ResourceVector>,
        now: SchedulerTime,
    ) -> bool {
        let (Some(state), Some(job)) = (self.step_state(step), self.job_table.jobs.get(&step.job))
        else {
            return false;
        };
        let members = u64::from(state.count());
        let left = self.remaining_workspace_limit(&job.workspace, unconfirmed_usage);
        if plan.resources.count_in(left) < members {
            let (workspace, pool) = (job.workspace.clone(), job.pool.clone());
            self.mark_capped(&workspace, &pool);
            return false;
        }
        let mut room: u64 = 0;
        self.candidates(&job.pool, plan).any(|target| {
            room = room.saturating_add(task_room(plan, state, target, now.boot));
            room >= members
        })
    }

    /// Places tasks on targets without sending orders.
    pub(super) fn place_tasks(
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
        let mut ranking =
            (indices.len() >= MIN_RANKED_TASKS).then(|| self.rank_targets(step, plan, &pool, now));
        for &index in indices {
            if !plan
                .resources
                .fits_in(self.remaining_workspace_limit(&workspace, unconfirmed_usage))
            {
                self.mark_capped(&workspace, &pool);
                break;
            }
            let ranked = ranking.as_mut();
            let ranked =
                ranked.and_then(|ranking| self.take_ranked(ranking, step, plan, index, now));
            let chosen = ranked.or_else(|| self.choose_target(step, plan, index, &pool, now));
            let Some(id) = chosen else {
                placed.no_capacity = self.depends_only_on_capacity(step, plan, index);
                break;
            };
            let key = step.task(index);
            let attempt_number = match (plan.gang, self.last_task_attempt(&key)) {
                (true, _) => attempt,
                (false, last) => self.attempt_after(last),
            };
            let run = (key, attempt_number);
            self.claim(&id, run.clone());
            self.place_task(&id, &run, now);
            if let Some(ranking) = &mut ranking
                && let (Some(target), Some(state)) = (self.targets.get(&id), self.step_state(step))
            {
                ranking.add(plan, state, target, now.boot);
            }
            placed.runs.push((id, run));
            self.sync_target_index(now.boot);
        }
        placed
    }

    /// Undoes placements for which no order was sent.
    pub(super) fn undo_placements(&mut self, runs: Vec<(HostId, RunKey)>, now: SchedulerTime) {
        // What becomes free here was free before the placement, so no step can start because of it.
        let startable_pools = self.index.startable_pools.clone();
        let capped = self.index.capped.clone();
        for (id, run) in runs {
            self.release_claim(&id, &run);
            self.clear_placement(&id, &run, None);
        }
        // The steps that are tried next can use the capacity.
        self.sync_target_index(now.boot);
        self.index.startable_pools = startable_pools;
        self.index.capped = capped;
    }

    /// Returns the targets of a pool that may have room for a task, the least free first.
    fn candidates<'a>(
        &'a self,
        pool: &'a PoolId,
        plan: &StepPlan,
    ) -> impl Iterator<Item = &'a TargetState> {
        let candidates = self.index.targets.with_capacity(pool, plan.footprint().cpu);
        candidates.filter_map(|id| {
            WorkCounters::add(&self.counters.candidates, 1);
            self.targets.get(id)
        })
    }

    fn rank_targets(
        &self,
        step: &StepKey,
        plan: &StepPlan,
        pool: &PoolId,
        now: SchedulerTime,
    ) -> TargetRanking {
        let mut ranking = TargetRanking::default();
        if let Some(state) = self.step_state(step) {
            let candidates = self.candidates(pool, plan);
            candidates.for_each(|target| ranking.add(plan, state, target, now.boot));
        }
        ranking
    }

    /// Takes the best ranked target for a task; `None` if there is none or if the task has failed
    /// somewhere, so that the ranking does not apply to it.
    fn take_ranked(
        &self,
        ranking: &mut TargetRanking,
        step: &StepKey,
        plan: &StepPlan,
        index: u32,
        now: SchedulerTime,
    ) -> Option<HostId> {
        let state = self.step_state(step)?;
        let task = state.tasks.get(index as usize)?;
        if !task.failed_on.is_empty() {
            return None;
        }
        WorkCounters::add(&self.counters.candidates, 1);
        ranking.take_best(plan, state, &self.targets, now.boot)
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
        pool: &PoolId,
        now: SchedulerTime,
    ) -> Option<HostId> {
        let state = self.step_state(step)?;
        let task = state.tasks.get(index as usize)?;
        let pool_targets = self.index.targets.of_pool(pool).filter_map(|id| {
            WorkCounters::add(&self.counters.candidates, 1);
            self.targets.get(id)
        });
        let candidates = self.candidates(pool, plan);
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
}
