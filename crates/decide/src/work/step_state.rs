use std::collections::BTreeMap;

use compact_str::CompactString;
use model::{HostId, work::AttemptNumber};

use super::{StepAdvice, TaskPlacement, TaskState};

/// State of one step.
///
/// What decisions ask for each task of a step is counted here, because a step may have thousands of
/// tasks: a decision that visited all of them for each would hold up the event loop.
#[derive(Clone, Debug, Default)]
pub struct StepState {
    /// The tasks.
    pub tasks: Vec<TaskState>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are placed on a target.
    pub placed: u32,
    /// Number of these on each target that has any.
    placed_on: BTreeMap<HostId, u32>,
    /// Maximum number of failed runs of one of the tasks.
    most_failures: usize,
    /// Latest checkpoint of a gang, which counts for all its members; empty for none.
    pub(super) gang_checkpoint: CompactString,
    /// What the advice service has answered; `None` before its first answer.
    pub advice: Option<Box<StepAdvice>>,
}

impl StepState {
    /// Creates a step of `count` tasks, none of which has run.
    pub fn new(count: u32) -> Self {
        Self {
            tasks: vec![TaskState::default(); count as usize],
            ..Self::default()
        }
    }

    /// Returns true if all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns the number of tasks.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of tasks that are or may be on a target.
    pub(super) fn placed_on(&self, target: &HostId) -> u32 {
        self.placed_on.get(target).copied().unwrap_or_default()
    }

    /// Returns true if tasks are placed, and none of them on this target.
    pub(super) fn has_tasks_only_elsewhere(&self, target: &HostId) -> bool {
        !self.placed_on.is_empty() && !self.placed_on.contains_key(target)
    }

    /// Records the placement of a task.
    pub fn set_placement(&mut self, index: u32, placement: TaskPlacement) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        task.last_attempt = task.last_attempt.max(placement.attempt);
        let target = placement.target.clone();
        let replaced = task.placement.replace(placement);
        if let Some(replaced) = replaced {
            self.remove_placed(&replaced.target);
        }
        self.placed += 1;
        *self.placed_on.entry(target).or_default() += 1;
    }

    /// Removes the placement of a task, and returns the task; `None` if it was not placed.
    pub(super) fn clear_placement(&mut self, index: u32) -> Option<&mut TaskState> {
        let placement = self.tasks.get_mut(index as usize)?.placement.take()?;
        self.remove_placed(&placement.target);
        self.tasks.get_mut(index as usize)
    }

    /// Records a failed run of a task. Returns how many of its runs have failed; `None` if the run
    /// was recorded before.
    pub(super) fn record_failure(&mut self, index: u32, attempt: AttemptNumber) -> Option<usize> {
        let task = self.tasks.get_mut(index as usize)?;
        if task.failed_attempts.contains(&attempt) {
            return None;
        }
        task.failed_attempts.push(attempt);
        let failures = task.failed_attempts.len();
        self.most_failures = self.most_failures.max(failures);
        Some(failures)
    }

    /// Returns true if a task that is not done has used up its attempts.
    pub(super) fn has_exhausted_attempts(&self, max_attempts: usize) -> bool {
        let mut unfinished = self.tasks.iter().filter(|task| !task.done);
        self.most_failures >= max_attempts
            && unfinished.any(|task| task.failed_attempts.len() >= max_attempts)
    }

    /// Returns the number of tasks that are neither done nor placed.
    pub fn waiting_tasks(&self) -> u32 {
        let waiting = |task: &&TaskState| !task.done && task.placement.is_none();
        u32::try_from(self.tasks.iter().filter(waiting).count()).unwrap_or(u32::MAX)
    }

    /// Returns true if some tasks are placed while others wait.
    pub(super) fn is_partly_placed(&self) -> bool {
        self.placed > 0 && self.done + self.placed < self.count()
    }

    fn remove_placed(&mut self, target: &HostId) {
        self.placed = self.placed.saturating_sub(1);
        let Some(count) = self.placed_on.get_mut(target) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.placed_on.remove(target);
        }
    }
}
