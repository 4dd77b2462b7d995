use std::time::Duration;

use compact_str::CompactString;
use model::{JobId, work::JobPlan};

use crate::PortFuture;

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JobProgress {
    /// No task has started yet.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task used up its attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Operation that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAction {
    /// Submit a job.
    Submit(JobId, JobPlan),
    /// Read the state of a job.
    Status(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Count the jobs of the queue that have started no task.
    Pending,
}

/// One call from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerCall {
    /// Host name of the request, without the port.
    pub host: CompactString,
    /// Path of the request.
    pub path: CompactString,
    /// API key of the request; empty if there was none.
    pub key: CompactString,
    /// How long the caller waits for the answer; zero if it did not say.
    pub timeout: Duration,
    /// Requested operation.
    pub request: CallerAction,
}

/// Result of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The job is recorded in the job log.
    Accepted,
    /// State of the job.
    Found(JobProgress),
    /// Number of jobs that wait.
    Counted(u64),
    /// The API key is missing or unknown.
    KeyRefused,
    /// No queue has this host name and path.
    NoQueue,
    /// The job does not exist.
    NoJob,
    /// The request is invalid; holds the reason.
    Invalid(String),
    /// Nothing was recorded and nothing will run. Retry after this time.
    Refused(Duration),
    /// The request may have been recorded. It can be repeated safely.
    Unknown,
}

/// Serves the requests of callers.
pub trait CallerService {
    /// Returns the length of the longest path prefix of a queue of this host that matches `path`.
    ///
    /// The rest of the path is the job's id.
    fn queue_prefix_len(&self, host: &str, path: &str) -> Option<usize>;
    /// Handles one call.
    fn answer(&self, call: CallerCall) -> PortFuture<CallerAnswer>;
    /// Largest request body that operators allow for a job, in bytes; 0 for no limit.
    fn max_body_bytes(&self) -> usize;
    /// Readiness for load balancers: true while new connections may be sent here.
    fn ready(&self) -> bool;
}
