use std::{sync::Arc, time::Duration};

use model::{HostId, JobId, PoolId, RequestId, ServiceId, TeamId};
use wire::fleet::{JobPhase, JobRecord};

/// The submission of a job; immutable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobSpec {
    /// Id of the job.
    pub job: JobId,
    /// Id that makes repeated submissions idempotent.
    pub request: RequestId,
    /// Team that submitted it.
    pub team: TeamId,
    /// Service that it was submitted to.
    pub service: ServiceId,
    /// Pool whose workers run it.
    pub pool: PoolId,
    /// Payload passed to the worker.
    pub payload: Vec<u8>,
    /// Declared processors.
    pub cores: u32,
    /// Declared memory, in MB.
    pub memory_mb: u64,
    /// Declared accelerators.
    pub accelerators: u32,
    /// Declared run time.
    pub run_time: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// When it was accepted, since the Unix epoch.
    pub accepted: Duration,
}

/// A job and its progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobState {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Current phase.
    pub phase: JobPhase,
    /// Number of attempts, the current one included.
    pub attempt: u32,
    /// Attempts that failed, or were interrupted and may have run.
    pub failures: u32,
    /// Worker of the current attempt; empty while no worker has it.
    pub worker: HostId,
    /// Boot id of the worker for which the attempt was recorded.
    pub worker_boot: String,
    /// Distinct healthy workers that it failed on.
    pub failed_on: Vec<HostId>,
    /// Why it failed or was parked.
    pub reason: String,
    /// When it ended, since the Unix epoch; zero before.
    pub ended: Duration,
    /// Earliest time of the next attempt, since the Unix epoch.
    pub next_try: Duration,
    /// True once its cancellation was recorded.
    pub cancelling: bool,
}

/// Groups of phases that are treated alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseKind {
    /// No worker has the job.
    Waiting,
    /// A worker has the job or may have it.
    Placed,
    /// The job has ended.
    Ended,
}

impl JobState {
    /// Creates a job that waits for its first attempt.
    pub fn queued(spec: JobSpec) -> Self {
        Self {
            spec: Arc::new(spec),
            phase: JobPhase::Queued,
            ..Self::default()
        }
    }

    /// The group of the current phase.
    pub fn kind(&self) -> PhaseKind {
        match self.phase {
            JobPhase::Queued | JobPhase::Unspecified => PhaseKind::Waiting,
            JobPhase::Starting | JobPhase::Running => PhaseKind::Placed,
            _ => PhaseKind::Ended,
        }
    }

    /// Id of the task of the current attempt.
    pub fn task_id(&self) -> String {
        format!("{}.{}", self.spec.job, self.attempt)
    }

    /// The next attempt, to be recorded before it is sent to `worker`.
    pub fn next_attempt(&self, worker: &HostId, worker_boot: &str) -> Self {
        Self {
            phase: JobPhase::Starting,
            attempt: self.attempt + 1,
            worker: worker.clone(),
            worker_boot: worker_boot.to_owned(),
            ..self.clone()
        }
    }

    /// The job after an operator or caller cancelled it.
    ///
    /// If a worker has the job, it is stopped there first: only the worker's response proves that
    /// the task no longer runs.
    pub fn cancelled(&self, now: Duration) -> Self {
        match self.kind() {
            PhaseKind::Waiting => self.ended_as(JobPhase::Cancelled, "cancelled", now),
            PhaseKind::Placed => Self {
                cancelling: true,
                ..self.clone()
            },
            PhaseKind::Ended => self.clone(),
        }
    }

    /// The job after it ended in `phase`.
    pub fn ended_as(&self, phase: JobPhase, reason: &str, now: Duration) -> Self {
        Self {
            phase,
            reason: reason.to_owned(),
            ended: now,
            ..self.clone()
        }
    }
}

impl JobState {
    /// Reads a stored record.
    pub fn from_record(record: JobRecord) -> Self {
        let phase = record.phase();
        let spec = JobSpec {
            job: record.job.into(),
            request: record.request.into(),
            team: record.team.into(),
            service: record.service.into(),
            pool: record.pool.into(),
            payload: record.payload,
            cores: record.cores,
            memory_mb: record.memory_mb,
            accelerators: record.accelerators,
            run_time: Duration::from_millis(record.run_ms),
            idempotent: record.idempotent,
            accepted: Duration::from_millis(record.accepted_unix_ms),
        };
        Self {
            spec: Arc::new(spec),
            phase,
            attempt: record.attempt,
            failures: record.failures,
            worker: record.worker.into(),
            worker_boot: record.worker_boot,
            failed_on: record.failed_on.into_iter().map(HostId::from).collect(),
            reason: record.reason,
            ended: Duration::from_millis(record.ended_unix_ms),
            next_try: Duration::ZERO,
            cancelling: record.cancelling,
        }
    }

    /// The record to store for this job.
    ///
    /// The payload of an ended job is no longer needed and is left out.
    pub fn to_record(&self) -> JobRecord {
        let spec = &self.spec;
        let ended = self.kind() == PhaseKind::Ended;
        JobRecord {
            job: spec.job.to_string(),
            team: spec.team.to_string(),
            pool: spec.pool.to_string(),
            phase: self.phase.into(),
            attempt: self.attempt,
            worker: self.worker.to_string(),
            payload: if ended {
                Vec::new()
            } else {
                spec.payload.clone()
            },
            cores: spec.cores,
            memory_mb: spec.memory_mb,
            accelerators: spec.accelerators,
            run_ms: whole_millis(spec.run_time),
            idempotent: spec.idempotent,
            reason: self.reason.clone(),
            accepted_unix_ms: whole_millis(spec.accepted),
            checkpoint: Vec::new(),
            failed_on: self.failed_on.iter().map(ToString::to_string).collect(),
            request: spec.request.to_string(),
            worker_boot: self.worker_boot.clone(),
            ended_unix_ms: whole_millis(self.ended),
            service: spec.service.to_string(),
            cancelling: self.cancelling,
            failures: self.failures,
        }
    }
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
