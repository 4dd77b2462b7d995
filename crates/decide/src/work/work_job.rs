use std::{collections::BTreeSet, sync::Arc, time::Duration};

use compact_str::CompactString;
use model::{
    BootTime, HostId, JobId, PoolId, WorkspaceId,
    work::{AttemptNumber, FleetPolicy, JobPlan, ResourceVector, StepPlan},
};

use super::{JobTerms, OccurrenceMap, PastRun, StepState, step_key::StepKey};

/// Maximum number of tasks in open occurrences of a job without a started task, unless a single
/// occurrence has more. It is about what one planning pass starts.
const MAX_UNSTARTED_TASKS: u32 = 256;

/// State of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkPhase {
    /// Not ended.
    #[default]
    Open,
    /// Cancellation was requested and is not stored yet; no further task is started.
    CancelPending,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
    /// Its caller cancelled it before its submission arrived, which may still happen.
    Unsubmitted,
}

/// A job with the state of all its tasks.
#[derive(Clone, Debug, Default)]
pub struct WorkJob {
    /// Its id.
    pub id: JobId,
    /// Plan as submitted.
    pub plan: Arc<JobPlan>,
    /// Queue that it was submitted to.
    pub queue: CompactString,
    /// Terms of its queue, as last known; `None` if neither the policy nor the log has any.
    pub terms: Option<JobTerms>,
    /// Pool in which its tasks are started.
    pub pool: PoolId,
    /// Pools in which its tasks may have been started, as the log records them.
    pub recorded_pools: BTreeSet<PoolId>,
    /// Workspace whose limit it counts against.
    pub workspace: WorkspaceId,
    /// Limit of its workspace, as last known; zero for none.
    pub workspace_limit: ResourceVector,
    /// When it was accepted, since the Unix epoch.
    pub accepted: Duration,
    /// Time of acceptance on the boot clock of this process's host.
    pub arrived: BootTime,
    /// State of the job.
    pub phase: WorkPhase,
    /// When it ended; zero while it is open.
    pub ended: BootTime,
    /// Whether any task has started.
    pub started: bool,
    /// Number of its log entries that are not stored yet; the job is shown as ended only at zero.
    pub unstored_entries: u32,
    /// Whether it was submitted beyond its workspace's share.
    pub beyond_share: bool,
    /// Maximum resources of its tasks, component by component, if the log no longer holds the
    /// steps.
    pub closed_resources: ResourceVector,
    /// Whether an earlier owner accepted it and may have started tasks.
    pub inherited: bool,
    /// Occurrences that are due and not done.
    pub occurrences: OccurrenceMap,
    /// Number of occurrences that have been opened. Later ones may be due as well.
    pub opened: u32,
    /// Number of occurrences that were due when this process became the owner. Predecessors may have
    /// started tasks of them.
    pub inherited_due: u32,
    /// Number of occurrences that are done.
    pub finished: u32,
}

/// State of one occurrence of a job.
#[derive(Clone, Debug, Default)]
pub struct OccurrenceState {
    /// When it became due.
    pub due: BootTime,
    /// The steps.
    pub steps: Vec<StepState>,
}

/// State of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Whether the task is done.
    pub done: bool,
    /// Numbers of the starts whose runs failed.
    pub failed_attempts: Vec<AttemptNumber>,
    /// Targets that it failed on.
    pub failed_on: Vec<HostId>,
    /// Time of the last failure; zero for never.
    pub failed_at: BootTime,
    /// Latest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Number of its last start by this owner; 0 for none.
    pub last_attempt: AttemptNumber,
    /// Placement of the task; `None` while it waits or when it is done.
    pub placement: Option<TaskPlacement>,
    /// The last run that counts as over without the task being done; only for the log.
    pub past_run: Option<Box<PastRun>>,
}

/// Placement of a task on a target.
#[derive(Clone, Debug, Default)]
pub struct TaskPlacement {
    /// The target.
    pub target: HostId,
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// State of the run.
    pub phase: PlacementPhase,
    /// Time of the last change of `phase`.
    pub since: BootTime,
    /// Last time at which a stop that may be carried out late was in progress; zero for none.
    pub stop_sent: BootTime,
    /// Whether a poll of the target's current incarnation has reported it.
    pub confirmed: bool,
    /// Whether the placement is only known from a predecessor's record of an unreachable target.
    pub from_record: bool,
    /// Progress in percent; for a serving task 100 while it is at work.
    pub percent: u8,
    /// Tail latency in milliseconds or processor use, as reported by the target.
    pub load: u64,
    /// When `percent` last changed.
    pub last_progress: BootTime,
}

/// State of a run of a task on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPhase {
    /// The start order is in progress.
    #[default]
    Starting,
    /// The start was not answered. The task may be running, or may start later.
    Unconfirmed,
    /// The task is running.
    Running,
    /// A stop is in progress; `true` once it was answered.
    Stopping(bool),
}

impl TaskPlacement {
    /// Creates the placement of a task whose start order is in progress.
    pub fn new(target: &HostId, attempt: AttemptNumber, now: BootTime) -> Self {
        Self {
            target: target.clone(),
            attempt,
            since: now,
            last_progress: now,
            ..Self::default()
        }
    }
}

impl OccurrenceState {
    /// Creates an occurrence of a plan that became due at `due`.
    pub fn new(plan: &JobPlan, due: BootTime) -> Self {
        Self {
            due,
            steps: plan
                .steps
                .iter()
                .map(|step| StepState::new(step.count))
                .collect(),
        }
    }

    /// Returns true if any task is placed or done.
    pub(super) fn is_started(&self) -> bool {
        let mut steps = self.steps.iter();
        steps.any(|step| step.done > 0 || step.placed > 0)
    }

    /// Returns true if all steps that `step` depends on are done.
    pub fn is_step_ready(&self, plan: &JobPlan, step: usize) -> bool {
        let before = &plan.steps[step].after;
        before.iter().all(|&earlier| {
            self.steps
                .get(earlier as usize)
                .is_some_and(StepState::is_done)
        })
    }

    /// Returns true if all tasks are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

impl WorkJob {
    /// Returns a task of the job; `None` if the task is unknown or its occurrence is not open.
    pub fn task(&self, occurrence: u32, step: u32, index: u32) -> Option<&TaskState> {
        let step = self
            .occurrences
            .get(&occurrence)?
            .steps
            .get(step as usize)?;
        step.tasks.get(index as usize)
    }

    /// Returns a task of the job for changes.
    pub fn task_mut(&mut self, occurrence: u32, step: u32, index: u32) -> Option<&mut TaskState> {
        let step = self.step_mut(occurrence, step)?;
        step.tasks.get_mut(index as usize)
    }

    /// Returns a step of the job for changes.
    pub(super) fn step_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut StepState> {
        let occurrence = self.occurrences.get_mut(occurrence)?;
        occurrence.steps.get_mut(step as usize)
    }

    /// Returns all steps of its open occurrences, each with its key and its plan.
    pub(super) fn steps(&self) -> impl Iterator<Item = (StepKey, &StepPlan, &StepState)> {
        self.occurrences
            .iter()
            .flat_map(move |(&occurrence, state)| {
                let steps = (0..).zip(self.plan.steps.iter().zip(&state.steps));
                steps.map(move |(step, (plan, state))| {
                    let key = StepKey {
                        job: self.id.clone(),
                        occurrence,
                        step,
                    };
                    (key, plan, state)
                })
            })
    }

    /// Sets the pool and the terms to those of the job's queue, if the policy has the queue, and the
    /// same for the limit of its workspace.
    pub(super) fn follow_policy(&mut self, policy: &FleetPolicy) {
        if let Some(queue) = policy.queue(&self.queue) {
            self.pool.clone_from(&queue.pool);
            self.terms = Some(JobTerms::of_queue(queue));
        }
        if let Some(workspace) = policy.workspace(&self.workspace) {
            self.workspace_limit = workspace.limit;
        }
    }

    /// Returns the terms on which its tasks run.
    pub fn terms(&self) -> JobTerms {
        self.terms.unwrap_or(JobTerms::UNRECORDED)
    }

    /// Returns true if the log records that its tasks may be started in its pool.
    ///
    /// Until then no task is started there: a successor would not look for it in that pool.
    pub fn is_pool_recorded(&self) -> bool {
        self.recorded_pools.contains(&self.pool)
    }

    /// Returns true if tasks that predecessors started may run on targets that have not been polled
    /// yet; `unpolled_pools` are the pools of these targets.
    pub(super) fn may_run_unseen(&self, unpolled_pools: &BTreeSet<PoolId>) -> bool {
        self.inherited && !self.recorded_pools.is_disjoint(unpolled_pools)
    }

    /// Returns true until the job has ended.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, WorkPhase::Open | WorkPhase::CancelPending)
    }

    /// Returns true if its caller cancelled it and the cancellation is stored.
    pub fn is_cancelled(&self) -> bool {
        matches!(self.phase, WorkPhase::Cancelled | WorkPhase::Unsubmitted)
    }

    /// Returns the number of occurrences that are due at `unix`.
    pub(super) fn due_count(&self, unix: Duration) -> u32 {
        let repeat = self.plan.repeat;
        repeat.map_or(self.plan.occurrences(), |repeat| repeat.due_count(unix))
    }

    /// Opens the occurrences that are due at `unix`, up to `early` ahead of time, in order; `room` of
    /// them at most.
    pub(super) fn open_due_occurrences(
        &mut self,
        unix: Duration,
        boot: BootTime,
        early: Duration,
        room: u32,
    ) {
        if !self.is_open() {
            return;
        }
        let until = self.opened.saturating_add(room);
        for number in self.opened..self.due_count(unix + early).min(until) {
            let due = self.due_at(number, unix, boot);
            let occurrence = OccurrenceState::new(&self.plan, due);
            self.occurrences.insert(number, occurrence);
            self.opened = number + 1;
        }
    }

    /// Returns the number of occurrences that may be open without a started task, or the number of
    /// those that have `tasks` tasks, if that is less; at least one.
    ///
    /// Of a schedule that is behind, no more are opened than can be started soon. So what a job
    /// occupies, and what a change of ownership costs, does not depend on how far it is behind.
    pub(super) fn max_unstarted(&self, tasks: u32) -> u32 {
        let each = u32::try_from(self.plan.task_count()).unwrap_or(u32::MAX);
        (MAX_UNSTARTED_TASKS.min(tasks) / each.max(1)).max(1)
    }

    /// Returns when an occurrence became due, but no time before the job arrived.
    fn due_at(&self, number: u32, unix: Duration, boot: BootTime) -> BootTime {
        let due = self
            .plan
            .repeat
            .map(|repeat| repeat.first + repeat.period * number);
        let late = due.map_or(Duration::ZERO, |due| unix.saturating_sub(due));
        boot.saturating_sub(late).max(self.arrived).min(boot)
    }

    /// Opens all occurrences up to one that the log or a target reports.
    pub(super) fn open_occurrences_until(&mut self, occurrence: u32, boot: BootTime) {
        while self.opened <= occurrence && self.opened < self.plan.occurrences() {
            let state = OccurrenceState::new(&self.plan, boot);
            self.occurrences.insert(self.opened, state);
            self.opened += 1;
        }
    }

    /// Returns true if all occurrences are done.
    pub fn is_done(&self) -> bool {
        self.finished == self.plan.occurrences()
    }
}
