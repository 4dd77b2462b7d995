use std::time::Duration;

use compact_str::CompactString;

use crate::HostId;

use super::TaskKey;

/// Number of a start of a task; it only grows.
pub type AttemptNumber = u64;
/// Orders with a smaller token than a target has seen are refused by it.
pub type FencingToken = u64;

/// Which life of a target an order is meant for, and where it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetAddress {
    /// Id of the target.
    pub target: HostId,
    /// Where it listens.
    pub address: CompactString,
}

/// Starts one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of this start.
    pub attempt: AttemptNumber,
    /// What the task is handed.
    pub payload: CompactString,
    /// Time on the target's clock until which it may run without a further renewal.
    pub lease_until: Duration,
    /// Token of the owner.
    pub token: FencingToken,
    /// Checkpoint to go on from; empty for none.
    pub checkpoint: CompactString,
    /// Ticket of the advice service; empty for none.
    pub ticket: CompactString,
}

/// What a target said to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs, or ran already.
    Started {
        /// The target's clock.
        clock: Duration,
    },
    /// It was not started and this order won't start it.
    Refused(StartRefusal),
    /// The order can't have reached the target.
    NotSent(String),
    /// The order may have been carried out, and may still be later.
    Unanswered(String),
}

/// Why a target refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// A newer owner has given orders.
    Fenced,
    /// As new a start of the task was there already.
    OldAttempt,
    /// The time to run until has passed.
    Late,
    /// No room.
    NoRoom,
    /// No valid ticket.
    NoTicket,
    /// The target is unhealthy or overloaded.
    Unhealthy,
    /// The target lives another life than the order was meant for.
    OtherLife,
    /// The order can't be read.
    Malformed,
}

/// Stops one run of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StopOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of the start that is stopped.
    pub attempt: AttemptNumber,
    /// Token of the owner.
    pub token: FencingToken,
}

/// Sets the share of time at which a task may work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ThrottleOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of its start.
    pub attempt: AttemptNumber,
    /// Share in percent.
    pub percent: u8,
    /// Token of the owner.
    pub token: FencingToken,
}

/// What a target said to an order other than a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Carried out.
    Done,
    /// Refused because a newer owner has given orders.
    Fenced,
    /// Refused for another reason.
    Refused(u16),
    /// The target lives another life.
    OtherLife,
    /// It can't have reached the target.
    NotSent(String),
    /// It may have been carried out, and may still be later.
    Unanswered(String),
}

/// Renews the time that everything on a target may run, and asks what runs and what ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollOrder {
    /// Token of the owner.
    pub token: FencingToken,
    /// Ends up to this number are known and recorded; the target forgets them.
    pub acked_end: u64,
    /// Time on the target's clock until which its tasks may run; `None` renews nothing.
    pub lease_until: Option<Duration>,
    /// How long the target waits with its answer for an end; zero to answer at once.
    pub wait: Duration,
}
