use std::time::Duration;

use compact_str::CompactString;

use crate::RackId;

use super::ResourceVector;

/// Maximum payload size of a job in bytes, as documented for callers.
const MAX_PAYLOAD: usize = 4_000;
/// Maximum number of steps of a job: more than any real chain needs, and few enough to keep a job
/// record small.
const MAX_STEPS: usize = 256;
/// Maximum number of tasks of one occurrence; a job of this many tasks takes about a megabyte of
/// memory.
const MAX_TASKS: u64 = 10_000;

/// A job as submitted by its caller: steps of equal tasks, run once or on a schedule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobPlan {
    /// Payload that is passed to each task.
    pub payload: CompactString,
    /// Steps of the job. A step may depend only on earlier steps.
    pub steps: Vec<StepPlan>,
    /// Schedule of a repeating job; `None` to run the steps once, immediately.
    pub repeat: Option<RepeatPlan>,
}

/// Schedule of a repeating job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RepeatPlan {
    /// Number of occurrences.
    pub count: u32,
    /// Due time of the first occurrence, since the Unix epoch.
    pub first: Duration,
    /// Interval between two occurrences.
    pub period: Duration,
}

impl RepeatPlan {
    /// Returns the number of occurrences that are due at a time since the Unix epoch.
    pub fn due_count(&self, unix: Duration) -> u32 {
        let Some(elapsed) = unix.checked_sub(self.first) else {
            return 0;
        };
        match elapsed.as_nanos().checked_div(self.period.as_nanos()) {
            Some(periods) => u32::try_from(periods + 1)
                .unwrap_or(u32::MAX)
                .min(self.count),
            None => self.count,
        }
    }
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepPlan {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requests.
    pub resources: ResourceVector,
    /// Rough estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps that must be completed first.
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks are a gang: they only run together.
    pub gang: bool,
    /// Whether the tasks should share a rack, since they run slower across racks.
    pub same_rack: bool,
    /// Label that a target must have; empty for none.
    pub required_label: CompactString,
    /// Rack that holds the input data; tasks run slower on other racks. Empty for none.
    pub affinity: RackId,
    /// Maximum number of tasks of the step on one target; 0 for no limit.
    pub anti_affinity: u32,
    /// Whether speculative copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image have similar load.
    pub image: CompactString,
    /// Tail latency that a serving task must stay below; zero if the task serves no requests.
    pub tail_latency_target: Duration,
    /// Whether the tasks are best-effort: they only use processor time that other tasks leave idle.
    pub best_effort: bool,
    /// Maximum number of tasks of a long-running step that the scheduler may make unavailable at
    /// once.
    pub max_unavailable: u32,
}

/// Reason why a job plan is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The payload exceeds the limit.
    #[error("the payload has {0} bytes, {MAX_PAYLOAD} are allowed")]
    LongPayload(usize),
    /// The job has no steps or more than the limit.
    #[error("a job has 1 to {MAX_STEPS} steps, not {0}")]
    StepCount(usize),
    /// A step has no tasks, or the job has more tasks than the limit.
    #[error("step {0} has no tasks, or the job has more than {MAX_TASKS}")]
    TaskCount(usize),
    /// A step depends on itself or on a later step.
    #[error("step {0} may only come after earlier steps")]
    StepOrder(usize),
}

impl StepPlan {
    /// Returns the resources that a task reserves on its target. Best-effort tasks reserve no
    /// processor time.
    pub fn footprint(&self) -> ResourceVector {
        ResourceVector {
            cpu: if self.best_effort {
                0
            } else {
                self.resources.cpu
            },
            ..self.resources
        }
    }

    /// Returns the estimated work of one task in core-seconds.
    pub fn task_core_seconds(&self) -> f64 {
        let cores = f64::from(u32::try_from(self.resources.cpu).unwrap_or(u32::MAX)) / 1000.0;
        cores * self.estimate.as_secs_f64()
    }

    /// Returns true if the tasks serve requests, so that their response times matter.
    pub fn serves_requests(&self) -> bool {
        self.long_running && !self.tail_latency_target.is_zero()
    }
}

impl JobPlan {
    /// Checks the limits that apply to every job.
    ///
    /// # Errors
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.payload.len() > MAX_PAYLOAD {
            return Err(PlanError::LongPayload(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(PlanError::StepCount(self.steps.len()));
        }
        let mut tasks = 0;
        for (number, step) in self.steps.iter().enumerate() {
            tasks += u64::from(step.count);
            if step.count == 0 || tasks > MAX_TASKS {
                return Err(PlanError::TaskCount(number));
            }
            if step.after.iter().any(|&before| before as usize >= number) {
                return Err(PlanError::StepOrder(number));
            }
        }
        Ok(())
    }

    /// Returns the estimated run time of the longest chain of dependent steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step
                .after
                .iter()
                .filter_map(|&before| ends.get(before as usize));
            let start = before.max().copied().unwrap_or_default();
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the estimated work of one occurrence in core-seconds, without long-running and
    /// best-effort steps.
    pub fn core_seconds(&self) -> f64 {
        let ending = self
            .steps
            .iter()
            .filter(|step| !step.long_running && !step.best_effort);
        let work = |step: &StepPlan| f64::from(step.count) * step.task_core_seconds();
        ending.map(work).sum()
    }

    /// Returns true if any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }
}
