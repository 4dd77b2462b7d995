/// Processor demand of open jobs.
///
/// Cores are in thousandths, work in microseconds of one core: thousandths of a core times
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CoreDemand {
    /// Cores of tasks that run or could start now.
    pub(super) present: u64,
    /// Cores of long-running tasks.
    pub(super) long_running: u64,
    /// Unstarted tasks of jobs that can still count towards their objective.
    pub(super) countable: WaitingDemand,
    /// Unstarted tasks of jobs that are too late to count.
    pub(super) overdue: WaitingDemand,
    /// Number of steps for which the advice service still has to be asked.
    pub(super) unadvised_steps: u64,
}

/// Demand of unstarted tasks; long-running tasks are not included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct WaitingDemand {
    /// Cores of tasks that could start now.
    pub(super) ready: u64,
    /// Estimated work of all tasks, including those of steps that wait for other steps.
    pub(super) work: u64,
    /// Number of these tasks.
    pub(super) tasks: u64,
}

impl CoreDemand {
    /// Adds unstarted tasks of one job.
    pub(super) fn add_waiting(&mut self, waiting: WaitingDemand, is_overdue: bool) {
        let sum = match is_overdue {
            true => &mut self.overdue,
            false => &mut self.countable,
        };
        *sum = sum.plus(waiting);
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            present: self.present + other.present,
            long_running: self.long_running + other.long_running,
            countable: self.countable.plus(other.countable),
            overdue: self.overdue.plus(other.overdue),
            unadvised_steps: self.unadvised_steps + other.unadvised_steps,
        }
    }

    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            present: self.present - other.present,
            long_running: self.long_running - other.long_running,
            countable: self.countable.minus(other.countable),
            overdue: self.overdue.minus(other.overdue),
            unadvised_steps: self.unadvised_steps - other.unadvised_steps,
        }
    }
}

impl WaitingDemand {
    /// Returns the estimated work in core-seconds.
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub(super) fn core_seconds(self) -> f64 {
        self.work as f64 / 1_000_000.0
    }

    fn plus(self, other: Self) -> Self {
        Self {
            ready: self.ready + other.ready,
            work: self.work + other.work,
            tasks: self.tasks + other.tasks,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            ready: self.ready - other.ready,
            work: self.work - other.work,
            tasks: self.tasks - other.tasks,
        }
    }
}
