use model::{JobId, work::TaskKey};

/// Identifies one step of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepKey {
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u32,
}

impl StepKey {
    /// Returns the step that a task belongs to.
    pub(super) fn of(task: &TaskKey) -> Self {
        Self {
            job: task.job.clone(),
            occurrence: task.occurrence,
            step: task.step,
        }
    }

    /// Returns the first task of the step.
    pub(super) fn first_task(&self) -> TaskKey {
        self.task(0)
    }

    /// Returns a task of the step.
    pub(super) fn task(&self, index: u32) -> TaskKey {
        TaskKey {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}
