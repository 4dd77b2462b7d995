use std::time::Duration;

use compact_str::CompactString;
use model::{JobId, work::JobPlan};

use crate::PortFuture;

/// How far a job is, as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JobProgress {
    /// No task has started.
    #[default]
    Queued,
    /// Some task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerRequest {
    /// Hand a job in.
    Submit(JobId, JobPlan),
    /// See how far a job is.
    Status(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Count the jobs of the queue of which no task has started.
    Pending,
}

/// One call of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerCall {
    /// Host name that was addressed.
    pub host: CompactString,
    /// Path that was addressed.
    pub path: CompactString,
    /// Key that was presented; empty for none.
    pub key: CompactString,
    /// How long the caller waits.
    pub timeout: Duration,
    /// What it wants.
    pub request: CallerRequest,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The job is recorded.
    Accepted,
    /// The job's state.
    Found(JobProgress),
    /// How many jobs wait.
    Counted(u64),
    /// The key is missing or unknown.
    KeyRefused,
    /// No such queue.
    NoQueue,
    /// No such job.
    NoJob,
    /// The call can't be taken as it is.
    Invalid(String),
    /// Nothing was recorded and nothing will run; come back after this time.
    Refused(Duration),
    /// It may have been recorded; repeating it is harmless.
    Unknown,
}

/// Answers callers.
pub trait CallerService {
    /// Splits a path into its queue's prefix and the job's id.
    ///
    /// Returns the length of the longest prefix that a queue of this host has, if any.
    fn queue_prefix_len(&self, host: &str, path: &str) -> Option<usize>;
    /// Answers one call.
    fn answer(&self, call: CallerCall) -> PortFuture<CallerAnswer>;
    /// Largest job that operators let callers hand in, in bytes of its text; 0 for no limit.
    fn max_body_bytes(&self) -> usize;
    /// True while new connections are welcome.
    fn ready(&self) -> bool;
}
