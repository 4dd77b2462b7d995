use model::{
    HostId, JobId, PoolId, WorkspaceId,
    work::{HostRoom, StartOrder, TaskKey},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    DeskEvent, DeskOrder, DeskTime, PlaceInputs, RankClass, TaskPlace, WorkDesk, WorkPhase,
    objective::{StartRank, rank},
    pick::{pick_any, pick_target},
    pool_rooms::PoolRooms,
    step_key::StepKey,
    target_state::RunKey,
};

/// Numbers of starts that one term may give to one task before the next term's begin. A task
/// that lasts and fails twice a second uses them up in an hour; the next token is larger by
/// the entries that were written in that hour, so its numbers still begin above.
const STARTS_A_TERM: u64 = 10_000;
/// Starts that are planned at once; the rest follows with the next answer. It bounds the time
/// for which the event loop hears nothing else.
const STARTS_A_PLAN: usize = 256;

/// Time without a target after which a task that lasts takes one that is being emptied or that
/// pauses.
const STARVED: Duration = Duration::from_millis(800);

/// Tasks of one step that wait.
pub(super) struct WaitingStep {
    pub(super) rank: StartRank,
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pool: PoolId,
    /// What one of its tasks takes of a target.
    need: HostRoom,
    /// Whether nothing can be done for it without room. Tasks that last may take a target that is
    /// being emptied or pauses, and advice is asked for early.
    needs_room: bool,
}

impl WaitingStep {
    fn key(&self) -> StepKey {
        StepKey {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl WorkDesk {
    /// Starts what can be started; cheap if nothing has changed since the last time.
    ///
    /// While another process may own the cell nothing is started: its books don't hold what this
    /// one would add, so that a workspace's limit would be passed, and a target's life that has
    /// not seen the successor's token yet would run a task that the successor knows to be done.
    /// An outage of the store for 4.2 s costs 0.03 of a day's worth by that.
    pub fn plan(&mut self, now: DeskTime) {
        if self.alone || !std::mem::take(&mut self.stale) {
            return;
        }
        let blocked = self.blocked_pools();
        let usage = self.usage_in_doubt(&blocked);
        let mut steps = self.waiting_steps(&blocked, now);
        steps.sort_by(|a, b| a.rank.cmp(&b.rank).then_with(|| a.job.cmp(&b.job)));
        let mut left = STARTS_A_PLAN;
        let mut rooms = PoolRooms::default();
        for waiting in steps {
            let WaitingStep { pool, need, .. } = &waiting;
            if waiting.needs_room && !rooms.may_fit(pool, *need, &self.targets, now.boot) {
                continue;
            }
            let started = self.start_step(&waiting, &usage, now);
            if started > 0 {
                rooms.used(pool);
            }
            left = left.saturating_sub(started);
            if left == 0 {
                self.stale = true;
                return;
            }
        }
    }

    /// Pools in which a task of an earlier owner may run on a target that has not been reached.
    ///
    /// Starts are not recorded, so any waiting task of such a pool may be the one that runs
    /// there. Once the target was looked at, or its granted time has lapsed, it is known.
    fn blocked_pools(&self) -> BTreeSet<model::PoolId> {
        let unknown = self
            .targets
            .values()
            .filter(|target| target.inherited && !target.life.raised);
        unknown.map(|target| target.entry.pool.clone()).collect()
    }

    /// What workspaces may have running on targets that have not been reached.
    fn usage_in_doubt(&self, blocked: &BTreeSet<model::PoolId>) -> BTreeMap<WorkspaceId, HostRoom> {
        let mut usage: BTreeMap<WorkspaceId, HostRoom> = BTreeMap::new();
        if blocked.is_empty() {
            return usage;
        }
        // Tasks of a job that was cancelled or failed run on until they can be stopped there.
        let jobs = self.board.jobs.values();
        let running = jobs.filter(|job| job.inherited && job.phase != WorkPhase::Completed);
        for job in running.filter(|job| blocked.contains(&job.pool)) {
            for occurrence in job.occurrences.values() {
                for (state, plan) in occurrence.steps.iter().zip(&job.plan.steps) {
                    let used = usage.entry(job.workspace.clone()).or_default();
                    *used = used.plus(plan.need.times(u64::from(state.waiting())));
                }
            }
        }
        usage
    }

    fn waiting_steps(&self, blocked: &BTreeSet<model::PoolId>, now: DeskTime) -> Vec<WaitingStep> {
        let mut steps = Vec::new();
        let open = self.open_jobs();
        for job in open {
            if job.phase == WorkPhase::Held || (job.inherited && blocked.contains(&job.pool)) {
                continue;
            }
            let queue = self.terms.queue(&job.queue);
            for (&number, occurrence) in &job.occurrences {
                let mut ranked = None;
                for (step, state) in occurrence.steps.iter().enumerate() {
                    let busy = (state.done + state.placed) as usize >= state.tasks.len();
                    if busy || !occurrence.is_ready(&job.plan, step) {
                        continue;
                    }
                    let rank = || rank(job, occurrence.due, queue, now.boot);
                    let plan = &job.plan.steps[step];
                    let advised = queue.is_some_and(|queue| queue.advice.is_some());
                    steps.push(WaitingStep {
                        rank: *ranked.get_or_insert_with(rank),
                        job: job.id.clone(),
                        occurrence: number,
                        step: u32::try_from(step).unwrap_or(u32::MAX),
                        pool: job.pool.clone(),
                        need: plan.footprint(),
                        needs_room: !plan.long_running && !advised,
                    });
                }
            }
        }
        steps
    }

    /// Starts tasks of a step as far as there is room; returns how many.
    fn start_step(
        &mut self,
        waiting: &WaitingStep,
        doubt: &BTreeMap<WorkspaceId, HostRoom>,
        now: DeskTime,
    ) -> usize {
        // Another of its steps may have failed it in the same plan.
        let job = self.board.jobs.get(&waiting.job);
        let Some(job) = job.filter(|job| job.phase == WorkPhase::Open) else {
            return 0;
        };
        let Some(plan) = job.plan.steps.get(waiting.step as usize).cloned() else {
            return 0;
        };
        if self.is_hopeless(waiting, &plan) {
            self.fail_job(&waiting.job, now);
            return 0;
        }
        if self.wants_advice(waiting, now) {
            return 0;
        }
        let Some(state) = self.step_state(waiting) else {
            return 0;
        };
        let free = |task: &super::TaskState| !task.done && task.place.is_none();
        let indices: Vec<u32> = (0..)
            .zip(&state.tasks)
            .filter(|(_, task)| free(task))
            .map(|(index, _)| index)
            .collect();
        if plan.gang && indices.len() != state.tasks.len() {
            // A gang starts whole: its members that are still about have to end first.
            return 0;
        }
        let placed = self.place_tasks(waiting, &plan, &indices, doubt, now);
        if plan.gang && placed.len() < indices.len() {
            for (id, run) in placed {
                self.unclaim(&id, &run);
                self.vacate_place(&id, &run);
            }
            return 0;
        }
        if plan.long_running {
            self.note_starved(waiting, placed.len() < indices.len(), now);
        }
        for (id, run) in &placed {
            self.send_start(id, run, waiting.rank.class, now);
        }
        placed.len()
    }

    /// True if a task of the step has failed as often as it may. The owner that heard of its last
    /// failure fails the job at once, but may die before all of that is recorded.
    fn is_hopeless(&self, waiting: &WaitingStep, plan: &model::work::StepPlan) -> bool {
        let job = self.board.jobs.get(&waiting.job);
        let queue = job.and_then(|job| self.terms.queue(&job.queue));
        let most = queue.map_or(usize::MAX, |queue| queue.max_attempts.max(1) as usize);
        let tasks = self.step_state(waiting).map(|state| state.tasks.as_slice());
        let mut left = tasks.unwrap_or_default().iter().filter(|task| !task.done);
        !plan.long_running && left.any(|task| task.failed_attempts.len() >= most)
    }

    fn note_starved(&mut self, waiting: &WaitingStep, starved: bool, now: DeskTime) {
        let key = waiting.key();
        if starved {
            self.starved.entry(key).or_insert(now.boot);
        } else {
            self.starved.remove(&key);
        }
    }

    /// Gives tasks their targets, without an order yet.
    fn place_tasks(
        &mut self,
        waiting: &WaitingStep,
        plan: &model::work::StepPlan,
        indices: &[u32],
        doubt: &BTreeMap<WorkspaceId, HostRoom>,
        now: DeskTime,
    ) -> Vec<(HostId, RunKey)> {
        let mut placed = Vec::new();
        let Some(job) = self.board.jobs.get(&waiting.job) else {
            return placed;
        };
        let (pool, workspace) = (job.pool.clone(), job.workspace.clone());
        let attempt = self.next_attempt(waiting);
        let limit = self
            .terms
            .workspace(&workspace)
            .map(|space| space.limit)
            .unwrap_or_default();
        for &index in indices {
            let usage = self.usage.get(&workspace).copied().unwrap_or_default();
            let usage = usage.plus(doubt.get(&workspace).copied().unwrap_or_default());
            if !usage.plus(plan.need).within_limit(limit) {
                break;
            }
            let Some(id) = self.pick(waiting, plan, index, &pool, now) else {
                break;
            };
            let key = TaskKey {
                job: waiting.job.clone(),
                occurrence: waiting.occurrence,
                step: waiting.step,
                index,
            };
            let number = match (plan.gang, self.task_attempt(&key)) {
                (true, _) => attempt,
                (false, last) => self.attempt_after(last),
            };
            let run = (key, number);
            self.claim(&id, run.clone());
            self.put(&id, &run, now);
            placed.push((id, run));
        }
        placed
    }

    fn pick(
        &self,
        waiting: &WaitingStep,
        plan: &model::work::StepPlan,
        index: u32,
        pool: &model::PoolId,
        now: DeskTime,
    ) -> Option<HostId> {
        let state = self.step_state(waiting)?;
        let task = state.tasks.get(index as usize)?;
        let of_pool = self
            .targets
            .values()
            .filter(|target| target.entry.pool == *pool);
        if let Some(best) = pick_target(plan, state, task, of_pool.clone(), now.boot) {
            return Some(best.entry.target.clone());
        }
        // A service that lacks a task for long is worse off than a host that is emptied later,
        // or than a task on a target that has refused one.
        let since = self.starved.get(&waiting.key())?;
        if now.boot.saturating_sub(*since) < STARVED {
            return None;
        }
        let best = pick_any(plan, state, task, of_pool, now.boot)?;
        Some(best.entry.target.clone())
    }

    fn put(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        let (key, attempt) = run;
        let Some(step) = self.board.step_mut(key) else {
            return;
        };
        step.place(key.index, TaskPlace::new(id, *attempt, now.boot));
    }

    fn send_start(&mut self, id: &HostId, run: &RunKey, class: RankClass, now: DeskTime) {
        let (key, attempt) = run;
        let Some(job) = self.board.jobs.get(&key.job) else {
            return;
        };
        let payload = job.plan.payload.clone();
        let task = job.task(key.occurrence, key.step, key.index);
        let checkpoint = task.map(|task| task.checkpoint.clone()).unwrap_or_default();
        let ticket = job
            .occurrences
            .get(&key.occurrence)
            .and_then(|occurrence| occurrence.steps.get(key.step as usize))
            .and_then(|step| step.tickets.get(id))
            .map(|(ticket, _)| ticket.clone())
            .unwrap_or_default();
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.granted = now.boot;
        let clock = target.clock_at(now.boot).unwrap_or_default();
        let order = StartOrder {
            task: key.clone(),
            attempt: *attempt,
            payload,
            until: clock + self.tuning.grant,
            token: self.token,
            checkpoint,
            ticket,
        };
        let inputs = PlaceInputs {
            class,
            heard_ago: now.boot.saturating_sub(target.heard),
            free_cpu: target.free().cpu,
        };
        let placed = DeskEvent::Placed(key.clone(), *attempt, id.clone(), inputs);
        self.note(placed);
        self.orders.push(DeskOrder::Start(id.clone(), order));
    }

    pub(super) fn step_by(
        &self,
        job: &str,
        occurrence: u32,
        step: u32,
    ) -> Option<&super::StepState> {
        let occurrence = self.board.jobs.get(job)?.occurrences.get(&occurrence)?;
        occurrence.steps.get(step as usize)
    }

    pub(super) fn step_state(&self, waiting: &WaitingStep) -> Option<&super::StepState> {
        self.step_by(&waiting.job, waiting.occurrence, waiting.step)
    }

    fn task_attempt(&self, key: &TaskKey) -> u64 {
        let job = self.board.jobs.get(&key.job);
        let task = job.and_then(|job| job.task(key.occurrence, key.step, key.index));
        task.map_or(0, |task| task.last_attempt)
    }

    /// A number for a start that is above all that any owner has given to the task: the token
    /// of the term makes the high part, so that none has to be recorded.
    fn attempt_after(&self, last: u64) -> u64 {
        (self.token * STARTS_A_TERM).max(last) + 1
    }

    fn next_attempt(&self, waiting: &WaitingStep) -> u64 {
        let state = self.step_state(waiting);
        let tasks = state.iter().flat_map(|state| &state.tasks);
        let last = tasks.map(|task| task.last_attempt).max();
        self.attempt_after(last.unwrap_or_default())
    }
}
