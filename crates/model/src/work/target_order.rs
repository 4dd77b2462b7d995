use std::time::Duration;

use compact_str::CompactString;

use crate::HostId;

use super::TaskKey;

/// Number of a start of a task. Numbers only grow.
pub type AttemptNumber = u64;
/// Fencing token of an owner. A target refuses orders with a smaller token than it has seen.
pub type FencingToken = u64;

/// Addressee of an order: one incarnation of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetAddress {
    /// Id of the target.
    pub target: HostId,
    /// Network address that the target listens on.
    pub address: CompactString,
}

/// Order to start one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of this start.
    pub attempt: AttemptNumber,
    /// Payload that is passed to the task.
    pub payload: CompactString,
    /// Time on the target's clock until which the task may run without a renewal.
    pub lease_until: Duration,
    /// Token of the owner.
    pub token: FencingToken,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: CompactString,
    /// Ticket of the advice service; empty for none.
    pub ticket: CompactString,
}

/// Answer of a target to a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The task runs, or was running already.
    Started {
        /// Current time on the target's clock.
        clock: Duration,
    },
    /// The task was not started, and this order will not start it later.
    Refused(StartRefusal),
    /// The order can't have reached the target; with the reason.
    NotSent(String),
    /// No answer, with the reason. The order may have been carried out, or may still be.
    Unanswered(String),
}

/// Reason why a target refused a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The target has seen the token of a newer owner.
    Fenced,
    /// The target has already seen a start of the task with this number or a larger one.
    OldAttempt,
    /// The order arrived after the time until which the task may run.
    Late,
    /// Not enough free resources.
    NoRoom,
    /// No valid ticket of the advice service.
    NoTicket,
    /// The target is unhealthy or overloaded.
    Unhealthy,
    /// The order was meant for another incarnation of the target.
    OtherLife,
    /// The target could not parse the order.
    Malformed,
}

/// Order to stop one run of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StopOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of the start that is to be stopped.
    pub attempt: AttemptNumber,
    /// Token of the owner.
    pub token: FencingToken,
}

/// Order to limit the share of time during which a best-effort task may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ThrottleOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// Share of time in percent.
    pub percent: u8,
    /// Token of the owner.
    pub token: FencingToken,
}

/// Answer of a target to an order other than a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Carried out.
    Done,
    /// Refused because the target has seen the token of a newer owner.
    Fenced,
    /// Refused for another reason, with the HTTP status.
    Refused(u16),
    /// The order was meant for another incarnation of the target.
    OtherLife,
    /// The order can't have reached the target; with the reason.
    NotSent(String),
    /// No answer, with the reason. The order may have been carried out, or may still be.
    Unanswered(String),
}

/// Poll of a target: renews the leases of all its tasks and requests what runs and what has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollOrder {
    /// Token of the owner.
    pub token: FencingToken,
    /// Ends up to this number are recorded; the target may forget them.
    pub acked_end: u64,
    /// Time on the target's clock until which its tasks may run; `None` renews nothing.
    pub lease_until: Option<Duration>,
    /// How long the target may delay its answer until a run ends; zero to answer immediately.
    pub wait: Duration,
}
