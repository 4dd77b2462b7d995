use std::time::Duration;

use compact_str::CompactString;

use crate::RackId;

use super::ResourceVector;

/// Longest payload of a job, in bytes, as the callers' interface promises.
const MAX_PAYLOAD: usize = 4_000;
/// Most steps of a job; more than any real chain, and a job record stays small.
const MAX_STEPS: usize = 256;
/// Most tasks of one occurrence; a job of this many takes about a megabyte of memory.
const MAX_TASKS: u64 = 10_000;

/// A job as its caller hands it in: steps of equal tasks, run once or at set times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobPlan {
    /// What each task is handed.
    pub payload: CompactString,
    /// The steps; a step names earlier ones that come before it.
    pub steps: Vec<StepPlan>,
    /// When the steps run again and again; `None` to run them once, at once.
    pub repeat: Option<RepeatPlan>,
}

/// Occurrences of a job at set times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RepeatPlan {
    /// How often the steps run.
    pub count: u32,
    /// When the first is due, since the Unix epoch.
    pub first: Duration,
    /// Time from one to the next.
    pub period: Duration,
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepPlan {
    /// Number of tasks.
    pub count: u32,
    /// What each task asks of a target.
    pub resources: ResourceVector,
    /// Rough estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps, all of whose tasks must be done first.
    pub after: Vec<u32>,
    /// Whether tasks write checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks only work together.
    pub gang: bool,
    /// Whether the tasks slow down on more than one rack.
    pub same_rack: bool,
    /// Label that a target must have; empty for none.
    pub required_label: CompactString,
    /// Rack with the data; tasks run slower elsewhere. Empty for none.
    pub affinity: RackId,
    /// Most tasks of the step on one target; 0 for no limit.
    pub anti_affinity: u32,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: CompactString,
    /// Response time that a serving task must stay below; zero if it serves nobody.
    pub tail_latency_target: Duration,
    /// Whether the tasks live on processor time that others leave.
    pub best_effort: bool,
    /// How many tasks of a long-running step may be away at once by our doing.
    pub max_unavailable: u32,
}

/// Why a plan can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The payload is longer than allowed.
    #[error("the payload has {0} bytes, {MAX_PAYLOAD} are allowed")]
    LongPayload(usize),
    /// The job has no steps or too many.
    #[error("a job has 1 to {MAX_STEPS} steps, not {0}")]
    StepCount(usize),
    /// A step has no tasks, or the job too many.
    #[error("step {0} has no tasks, or the job has more than {MAX_TASKS}")]
    TaskCount(usize),
    /// A step waits for itself or a later one.
    #[error("step {0} may only come after earlier steps")]
    StepOrder(usize),
}

impl StepPlan {
    /// What a task takes from its target's room: tasks that fill take no processors.
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

    /// True if its tasks serve users of their own, whose response times count.
    pub fn serves_requests(&self) -> bool {
        self.long_running && !self.tail_latency_target.is_zero()
    }
}

impl JobPlan {
    /// Checks what every job must keep to.
    ///
    /// # Errors
    /// The first fault that is found.
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

    /// Longest chain of estimated run times through the steps.
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

    /// Estimated work of one occurrence in core-seconds, without steps that last.
    pub fn core_seconds(&self) -> f64 {
        let ending = self
            .steps
            .iter()
            .filter(|step| !step.long_running && !step.best_effort);
        let work = |step: &StepPlan| {
            let cores = f64::from(u32::try_from(step.resources.cpu).unwrap_or(u32::MAX)) / 1000.0;
            f64::from(step.count) * cores * step.estimate.as_secs_f64()
        };
        ending.map(work).sum()
    }

    /// True if some step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// How many occurrences the job has.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }
}
