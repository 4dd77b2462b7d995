use std::{collections::BTreeMap, sync::Arc, time::Duration};

use compact_str::CompactString;
use model::{
    BootTime, HostId, JobId, PoolId, WorkspaceId,
    work::{AttemptNumber, JobPlan, ResourceVector, StepPlan, TaskKey},
};

/// How far a job is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkPhase {
    /// Something is left to do.
    #[default]
    Open,
    /// Its cancellation is known and not stored yet, so that nothing more of it is started.
    CancelPending,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
    /// Its caller cancelled it before it was handed in: the submission may still be under way.
    Unsubmitted,
}

/// A job and all its tasks.
#[derive(Clone, Debug, Default)]
pub struct WorkJob {
    /// Its id.
    pub id: JobId,
    /// What was handed in.
    pub plan: Arc<JobPlan>,
    /// Queue that it was handed in to.
    pub queue: CompactString,
    /// Pool that runs it.
    pub pool: PoolId,
    /// Workspace that it is accounted to.
    pub workspace: WorkspaceId,
    /// When it was accepted, since the Unix epoch.
    pub accepted: Duration,
    /// The same on the boot clock of this host.
    pub arrived: BootTime,
    /// How far it is.
    pub phase: WorkPhase,
    /// When it ended; zero before.
    pub ended: BootTime,
    /// Whether a task has ever started.
    pub started: bool,
    /// Entries of the log that are not stored yet; its end is shown only when there are none.
    pub unstored_entries: u32,
    /// Whether it was handed in beyond its workspace's share.
    pub beyond_share: bool,
    /// The most that a task of it takes, where the log does not tell its steps any more.
    pub closed_resources: ResourceVector,
    /// Whether an earlier owner accepted it, who may have started tasks.
    pub inherited: bool,
    /// Occurrences that are due and not done.
    pub occurrences: BTreeMap<u32, OccurrenceState>,
    /// Occurrences from 0 that have become due.
    pub opened: u32,
    /// Occurrences that are done.
    pub finished: u32,
}

/// One run through the steps of a job.
#[derive(Clone, Debug, Default)]
pub struct OccurrenceState {
    /// When it became due.
    pub due: BootTime,
    /// The steps.
    pub steps: Vec<StepState>,
}

/// The tasks of one step.
#[derive(Clone, Debug, Default)]
pub struct StepState {
    /// The tasks.
    pub tasks: Vec<TaskState>,
    /// How many are done.
    pub done: u32,
    /// How many are on a target.
    pub placed: u32,
    /// Targets that advice allows, with the tickets and until when they count.
    pub tickets: BTreeMap<HostId, (CompactString, BootTime)>,
    /// When advice was asked for last; zero for never.
    pub advice_requested_at: BootTime,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Whether its work is done.
    pub done: bool,
    /// Runs that failed.
    pub failed_attempts: Vec<AttemptNumber>,
    /// Targets that it failed on.
    pub failed_on: Vec<HostId>,
    /// When it failed last; zero for never.
    pub failed_at: BootTime,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Number of its last start by this owner; 0 for none.
    pub last_attempt: AttemptNumber,
    /// Where it is; `None` while it waits or when it is done.
    pub placement: Option<TaskPlacement>,
}

/// A task on a target.
#[derive(Clone, Debug, Default)]
pub struct TaskPlacement {
    /// The target.
    pub target: HostId,
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// What is known of it.
    pub phase: PlacementPhase,
    /// When that became known.
    pub since: BootTime,
    /// When a stop that may be carried out late was last under way; zero for none.
    pub stop_sent: BootTime,
    /// Whether a look at the target's present life has shown it.
    pub confirmed: bool,
    /// Whether all that is known of it is what a predecessor recorded when it missed the target.
    pub from_record: bool,
    /// How far it is, in percent; for a serving task 100 while it is at work.
    pub percent: u8,
    /// Response times' tail in milliseconds or processors in use, as the target says.
    pub load: u64,
    /// When `percent` last changed.
    pub last_progress: BootTime,
}

/// What is known of a task on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPhase {
    /// The start is under way.
    #[default]
    Starting,
    /// The start was not answered: it may be there, or come later.
    Unconfirmed,
    /// It runs.
    Running,
    /// A stop is under way; `true` once it was answered.
    Stopping(bool),
}

impl TaskPlacement {
    /// A task whose start on a target is under way.
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

impl StepState {
    /// A step of `count` tasks of which nothing has run.
    pub fn new(count: u32) -> Self {
        Self {
            tasks: vec![TaskState::default(); count as usize],
            ..Self::default()
        }
    }

    /// True if all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Takes a task to be on a target.
    pub fn set_placement(&mut self, index: u32, set_placement: TaskPlacement) {
        if let Some(task) = self.tasks.get_mut(index as usize) {
            task.last_attempt = task.last_attempt.max(set_placement.attempt);
            task.placement = Some(set_placement);
            self.placed += 1;
        }
    }

    /// How many tasks are neither done nor on a target.
    pub fn waiting_tasks(&self) -> u32 {
        let waiting = |task: &&TaskState| !task.done && task.placement.is_none();
        u32::try_from(self.tasks.iter().filter(waiting).count()).unwrap_or(u32::MAX)
    }
}

impl OccurrenceState {
    /// The occurrence of a plan that became due at a time.
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

    /// True if all steps before `step` are done.
    pub fn is_step_ready(&self, plan: &JobPlan, step: usize) -> bool {
        let before = &plan.steps[step].after;
        before.iter().all(|&earlier| {
            self.steps
                .get(earlier as usize)
                .is_some_and(StepState::is_done)
        })
    }

    /// True if all tasks are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

impl WorkJob {
    /// A task of the job; `None` if there is none of that name that matters still.
    pub fn task(&self, occurrence: u32, step: u32, index: u32) -> Option<&TaskState> {
        let step = self
            .occurrences
            .get(&occurrence)?
            .steps
            .get(step as usize)?;
        step.tasks.get(index as usize)
    }

    /// The same, to change it.
    pub fn task_mut(&mut self, occurrence: u32, step: u32, index: u32) -> Option<&mut TaskState> {
        let occurrence = self.occurrences.get_mut(&occurrence)?;
        let step = occurrence.steps.get_mut(step as usize)?;
        step.tasks.get_mut(index as usize)
    }

    /// All tasks of its open occurrences, each with its name and its step.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskKey, &StepPlan, &TaskState)> {
        self.occurrences
            .iter()
            .flat_map(move |(&occurrence, state)| {
                let steps = (0..).zip(state.steps.iter().zip(&self.plan.steps));
                steps.flat_map(move |(step, (tasks, plan))| {
                    (0..).zip(&tasks.tasks).map(move |(index, task)| {
                        let key = TaskKey {
                            job: self.id.clone(),
                            occurrence,
                            step,
                            index,
                        };
                        (key, plan, task)
                    })
                })
            })
    }

    /// True while something is left to do.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, WorkPhase::Open | WorkPhase::CancelPending)
    }

    /// True if its caller cancelled it and that is stored.
    pub fn is_cancelled(&self) -> bool {
        matches!(self.phase, WorkPhase::Cancelled | WorkPhase::Unsubmitted)
    }

    /// Opens the occurrences that are due at a time of the Unix epoch.
    pub fn open_due_occurrences(&mut self, unix: Duration, boot: BootTime, early: Duration) {
        while self.opened < self.plan.occurrences() && self.is_open() {
            if let Some(repeat) = self.plan.repeat {
                let due = repeat.first + repeat.period * self.opened;
                if unix + early < due {
                    return;
                }
            }
            let occurrence = OccurrenceState::new(&self.plan, boot);
            self.occurrences.insert(self.opened, occurrence);
            self.opened += 1;
        }
    }

    /// Opens the occurrences up to one that the log or a target tells of.
    pub(super) fn open_occurrences_until(&mut self, occurrence: u32, boot: BootTime) {
        while self.opened <= occurrence && self.opened < self.plan.occurrences() {
            let state = OccurrenceState::new(&self.plan, boot);
            self.occurrences.insert(self.opened, state);
            self.opened += 1;
        }
    }

    /// True if all its occurrences are done.
    pub fn is_done(&self) -> bool {
        self.finished == self.plan.occurrences()
    }
}
