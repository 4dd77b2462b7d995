use std::time::Duration;

use model::{JobId, PoolId, RequestId, ServiceId, TeamId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// A job submitted by a caller.
#[derive(Clone, Debug, Default)]
pub struct JobRequest {
    /// Makes repeating the submission idempotent.
    pub request: RequestId,
    /// Team of the key that the job was submitted with.
    pub team: TeamId,
    /// Service of the job. The service's worker pool runs it.
    pub service: ServiceId,
    /// Workspace that the job's usage counts for; empty for none.
    pub workspace: WorkspaceId,
    /// Payload for the worker.
    pub payload: Vec<u8>,
    /// Requested processor cores.
    pub cores: u32,
    /// Requested memory, in MB.
    pub memory_mb: u64,
    /// Requested accelerators.
    pub accelerators: u32,
    /// Expected run time.
    pub run_time: Duration,
    /// Whether the job can safely run more than once.
    pub idempotent: bool,
}

/// State of a job as reported to callers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub job: JobId,
    /// Team of the job.
    pub team: TeamId,
    /// Pool that runs the job.
    pub pool: PoolId,
    /// Phase, in kebab case: queued, starting, running, done, failed, cancelled, parked, unknown.
    pub phase: String,
    /// Number of attempts so far.
    pub attempt: u32,
    /// Why the job failed or was parked; empty otherwise.
    pub reason: String,
}

/// Why a job operation failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// The store is down. The job was not recorded and will not run.
    #[error("store down: {0}")]
    StoreDown(String),
    /// The response of the store was lost. The submission can be repeated safely with the same
    /// request id.
    #[error("unknown: {0}")]
    Unknown(String),
    /// The job is invalid.
    #[error("invalid: {0}")]
    Invalid(String),
    /// Too many jobs are waiting.
    #[error("queue full")]
    QueueFull,
    /// The team has no such job.
    #[error("no such job")]
    NotFound,
}

/// Accepts jobs and stores them durably.
pub trait JobSink: Send + Sync {
    /// Submits a job. Returns once it is recorded in the store.
    ///
    /// # Errors
    /// See [`JobError`].
    fn submit(&self, request: JobRequest) -> Result<JobView, JobError>;
    /// The job accepted by this entry host under `request`, if the host still has it in memory.
    fn find(&self, _team: &TeamId, _request: &RequestId) -> Option<JobView> {
        None
    }
    /// Reads the state of a job of `team`.
    ///
    /// # Errors
    /// See [`JobError`]. A job of another team is `NotFound`.
    fn view(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError>;
    /// Cancels a job. Does nothing if the job has ended.
    ///
    /// # Errors
    /// See [`JobError`].
    fn cancel(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError>;
}
