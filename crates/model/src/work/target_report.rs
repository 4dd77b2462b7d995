use std::time::Duration;

use compact_str::CompactString;

use super::{AttemptNumber, TaskKey};

/// Answer of a target to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollAnswer {
    /// The report of the target.
    Seen(TargetReport),
    /// Refused because the target has seen the token of a newer owner.
    Fenced,
    /// Refused for another reason, with the HTTP status.
    Refused(u16),
    /// The poll was meant for another incarnation of the target.
    OtherLife,
    /// No answer, with the reason.
    Unanswered(String),
}

/// Running and ended tasks of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Current time on the target's clock.
    pub clock: Duration,
    /// Start of the target's incarnation since the Unix epoch; zero if unknown.
    pub started_at: Duration,
    /// Running tasks.
    pub running: Vec<RunReport>,
    /// Ended runs that have not been acknowledged, oldest first; only a part of them if there are
    /// many.
    pub ended: Vec<EndReport>,
}

/// A run of a task on a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// Latest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Progress in percent; 100 for a serving task that is at work.
    pub percent: u8,
    /// Tail latency in milliseconds for a serving task; processor use in thousandths of a core for
    /// any other. Zero if unknown.
    pub load: u64,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// Sequence number of the end, counted from 1 for each incarnation of the target.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// How the run ended.
    pub kind: EndKind,
    /// Last checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The task failed, through its own error or the target's.
    Failed,
    /// The task was stopped.
    Stopped,
    /// The lease of the task was not renewed in time.
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}
