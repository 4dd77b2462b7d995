use std::time::Duration;

use model::{
    HostId, JobId,
    work::{StartOrder, StopOrder, TaskKey, ThrottleOrder},
};
use wire::work::LogEntry;

use super::advice_calls::AdviceCaller;

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
    RequestAdvice(AdviceRequest),
}

/// A request for advice on which targets may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The first task of the step.
    pub step: TaskKey,
    /// The targets that it names.
    pub targets: Vec<HostId>,
    /// The process that is to call the service.
    pub caller: AdviceCaller,
    /// How long its answer is waited for.
    pub timeout: Duration,
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
