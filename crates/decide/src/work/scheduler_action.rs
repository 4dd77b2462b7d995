use std::{collections::BTreeSet, time::Duration};

use compact_str::CompactString;
use model::{
    HostId, JobId, PoolId,
    work::{AttemptNumber, StartOrder, StopOrder, TaskKey, ThrottleOrder},
};
use wire::work::LogEntry;

use super::RankClass;

/// An action for the caller of the scheduler to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Start a task on a target.
    Start(HostId, StartOrder),
    /// Stop a run on a target.
    Stop(HostId, StopOrder),
    /// Set a run's CPU time share.
    Throttle(HostId, ThrottleOrder),
    /// Poll a target now, even if a long poll is already waiting there.
    Poll(HostId),
    /// Append an entry to the job log.
    AppendLog(LogAppend),
    /// Step down: a target refused an order because a newer owner has sent some.
    StepDown(HostId),
    /// Request advice on which targets may run a step.
    RequestAdvice(TaskKey, Vec<HostId>),
}

/// An entry to append to the job log, and the end on a target that may be acknowledged then.
#[derive(Clone, Debug, PartialEq)]
pub struct LogAppend {
    /// The entry.
    pub entry: LogEntry,
    /// The end that the target may forget once the entry is stored.
    pub origin: Option<EndOrigin>,
    /// Job whose new phase is reported only once the entry is stored.
    pub job: Option<JobId>,
    /// Whether a caller waits for the entry. Others may be batched and stored a little later.
    pub urgent: bool,
}

/// Identifies a reported end: the target, its incarnation and the end's number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndOrigin {
    /// The target.
    pub target: HostId,
    /// Number of the target's incarnation, counted by this scheduler.
    pub incarnation: u64,
    /// Number of the end within the incarnation.
    pub number: u64,
}

/// Inputs of a placement decision, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementInputs {
    /// Rank class of the job.
    pub class: RankClass,
    /// Age of the target's last response.
    pub last_response_age: Duration,
    /// CPU left on the target with this task placed, in thousandths of a core.
    pub free_cpu: u64,
}

/// A decision, or a change of the known state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A task was placed.
    Placed(TaskKey, AttemptNumber, HostId, PlacementInputs),
    /// A run that this scheduler did not start was found and is adopted.
    Adopted(TaskKey, AttemptNumber, HostId),
    /// A run without a matching task was found and is stopped.
    Unwanted(TaskKey, AttemptNumber, HostId),
    /// A run ended.
    Ended(TaskKey, AttemptNumber, HostId, &'static str),
    /// A start was not answered, so its outcome is polled.
    Unconfirmed(TaskKey, AttemptNumber, HostId),
    /// A start was refused.
    StartRefused(TaskKey, AttemptNumber, HostId, &'static str),
    /// A run made no progress for too long. It is stopped, to be started elsewhere.
    Stalled(TaskKey, AttemptNumber, HostId),
    /// A run is missing from the report of its target.
    Vanished(TaskKey, AttemptNumber, HostId),
    /// A job ended.
    JobEnded(JobId, &'static str),
    /// A target has become usable.
    TargetUsable(HostId),
    /// A target's incarnation ended with all of its runs.
    TargetLost(HostId, &'static str, usize),
    /// A target is unreachable; its possible runs, with this count, are recorded.
    TargetUnreachable(HostId, usize),
    /// A target has become unresponsive.
    TargetUnresponsive(HostId),
    /// A queue with open jobs was moved to another pool.
    QueueMoved(CompactString, PoolId),
    /// Jobs of predecessors that may have tasks in these pools wait until all targets there have been
    /// polled. Empty once no job waits for that.
    UnpolledPools(BTreeSet<PoolId>),
    /// Many of this number of listed targets are unresponsive at once, so none is given up for now.
    MassUnresponsive(usize),
}
