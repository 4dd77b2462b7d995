use model::{HostId, work::AttemptNumber};

/// A run that counts as over although its task is not done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PastRun {
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// Target that it was on.
    pub target: HostId,
    /// Why it counts as over.
    pub cause: &'static str,
}

/// What an owner knows of the earlier runs of a task that it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EarlierRun {
    /// The task was never started.
    Never,
    /// An earlier owner may have started it. No target that was polled has shown a run.
    Unseen,
    /// The last run.
    Last(PastRun),
}
