use std::time::Duration;

use model::{
    HostId, JobId,
    work::{AttemptNumber, StartOrder, StopOrder, TaskKey, ThrottleOrder},
};
use wire::work::LogEntry;

use super::RankClass;

/// Something the desk wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Start a task on a target.
    Start(HostId, StartOrder),
    /// Stop a run on a target.
    Stop(HostId, StopOrder),
    /// Set a run's share of time.
    Throttle(HostId, ThrottleOrder),
    /// Look at a target now, beside the look that may be waiting there.
    Poll(HostId),
    /// Write to the job log.
    AppendLog(LogAppend),
    /// A target refused an order because a newer owner has given some: stop deciding.
    StepDown(HostId),
    /// Ask which targets may run a step.
    RequestAdvice(TaskKey, Vec<HostId>),
}

/// An entry for the job log, and the end on a target that it settles.
#[derive(Clone, Debug, PartialEq)]
pub struct LogAppend {
    /// The entry.
    pub entry: LogEntry,
    /// The end that may be observed once the entry is stored.
    pub origin: Option<EndOrigin>,
    /// Job whose state is shown only once the entry is stored.
    pub job: Option<JobId>,
    /// Whether somebody waits for it; others may be stored together a little later.
    pub urgent: bool,
}

/// One end of one life of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndOrigin {
    /// The target.
    pub target: HostId,
    /// Counts the lives of the target that this desk has seen.
    pub incarnation: u64,
    /// Number of the end.
    pub number: u64,
}

/// What a task's place was decided by, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementInputs {
    /// How urgent its job was.
    pub class: RankClass,
    /// Age of the last answer of the target.
    pub last_response_age: Duration,
    /// Room that was left there with this task, in thousandths of a core.
    pub free_cpu: u64,
}

/// A change of belief or a decision, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A task was placed.
    Placed(TaskKey, AttemptNumber, HostId, PlacementInputs),
    /// A run was found that the desk did not start; it is taken over.
    Adopted(TaskKey, AttemptNumber, HostId),
    /// A run that nobody wants was found; it is stopped.
    Unwanted(TaskKey, AttemptNumber, HostId),
    /// A run ended.
    Ended(TaskKey, AttemptNumber, HostId, &'static str),
    /// A start or a stop was not answered; what became of it is asked.
    Unconfirmed(TaskKey, AttemptNumber, HostId),
    /// A start was refused.
    StartRefused(TaskKey, AttemptNumber, HostId, &'static str),
    /// A run has stood still for long; it is stopped, to start elsewhere.
    Stalled(TaskKey, AttemptNumber, HostId),
    /// A run that should be there is not.
    Vanished(TaskKey, AttemptNumber, HostId),
    /// A job ended.
    JobEnded(JobId, &'static str),
    /// A target may be used.
    TargetUsable(HostId),
    /// A target's life ended; everything on it is over.
    TargetLost(HostId, &'static str, usize),
    /// A target was not heard; what may run there, so many runs, is recorded.
    TargetUnreachable(HostId, usize),
    /// A target stopped answering.
    TargetUnresponsive(HostId),
    /// Of so many listed targets so many are not heard at once that none is given up for now.
    MassUnresponsive(usize),
}
