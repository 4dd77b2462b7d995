use std::time::Duration;

use model::{JobId, PoolId, RequestId, ServiceId, TeamId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// A job that a caller submits.
#[derive(Clone, Debug, Default)]
pub struct JobRequest {
    /// Makes repeating the submission idempotent.
    pub request: RequestId,
    /// Team whose key came with the job.
    pub team: TeamId,
    /// Service that the job belongs to; its worker pool runs it.
    pub service: ServiceId,
    /// Workspace that the job is accounted to; empty for none.
    pub workspace: WorkspaceId,
    /// What the worker is handed.
    pub payload: Vec<u8>,
    /// Declared processors.
    pub cores: u32,
    /// Declared memory, in MB.
    pub memory_mb: u64,
    /// Declared accelerators.
    pub accelerators: u32,
    /// Declared run time.
    pub run_time: Duration,
    /// Whether running the job twice does no harm.
    pub idempotent: bool,
}

/// What a caller sees of a job.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct JobView {
    /// Its id.
    pub job: JobId,
    /// Team that it belongs to.
    pub team: TeamId,
    /// Pool that it runs in.
    pub pool: PoolId,
    /// Phase, in kebab case: queued, starting, running, done, failed, cancelled, parked, unknown.
    pub phase: String,
    /// Attempts so far.
    pub attempt: u32,
    /// Why it failed or was parked; empty otherwise.
    pub reason: String,
}

/// Why a job operation failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// Not recorded and not run.
    #[error("store down: {0}")]
    StoreDown(String),
    /// The answer of the store was lost; submitting again with the same request id is harmless.
    #[error("unknown: {0}")]
    Unknown(String),
    /// The job can't be accepted as it is.
    #[error("invalid: {0}")]
    Invalid(String),
    /// Too many jobs wait already.
    #[error("queue full")]
    QueueFull,
    /// No such job of this team.
    #[error("no such job")]
    NotFound,
}

/// Accepts jobs durably.
pub trait JobSink: Send + Sync {
    /// Returns once the job is recorded in the store.
    ///
    /// # Errors
    /// See [`JobError`].
    fn submit(&self, request: JobRequest) -> Result<JobView, JobError>;
    /// The job that this entry host accepted under `request`, if it still holds it.
    fn find(&self, _team: &TeamId, _request: &RequestId) -> Option<JobView> {
        None
    }
    /// Looks a job of `team` up.
    ///
    /// # Errors
    /// `NotFound` for a job of another team too.
    fn view(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError>;
    /// Cancels a job; harmless if it has ended.
    ///
    /// # Errors
    /// See [`JobError`].
    fn cancel(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError>;
}
