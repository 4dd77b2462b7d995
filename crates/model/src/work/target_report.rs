use std::time::Duration;

use compact_str::CompactString;

use super::{AttemptNumber, TaskKey};

/// What a target said to a look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollAnswer {
    /// What runs and what ended there.
    Seen(TargetReport),
    /// A newer owner has given orders.
    Fenced,
    /// Another refusal.
    Refused(u16),
    /// The target lives another life.
    OtherLife,
    /// No answer: the reason.
    Unanswered(String),
}

/// What runs and what ended on a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// The target's clock.
    pub clock: Duration,
    /// When the target's life began, since the Unix epoch; zero if it does not say.
    pub started_at: Duration,
    /// What runs.
    pub running: Vec<RunReport>,
    /// Ends that have not been observed, oldest first; a part if there are many.
    pub ended: Vec<EndReport>,
}

/// One run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// Number of its start.
    pub attempt: AttemptNumber,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// How far it is; 100 for a serving task at work.
    pub percent: u8,
    /// For a serving task its response times' tail in milliseconds, for any other the
    /// thousandths of a core that it uses. Zero if unknown.
    pub load: u64,
}

/// One end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// Counts the ends of one life of the target from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of its start.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Its last checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the target's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its time was not renewed.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// It waited in vain for the others of its gang.
    GangIncomplete,
}
