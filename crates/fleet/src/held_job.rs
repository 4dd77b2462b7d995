use std::{collections::BTreeMap, sync::Arc};

use decide::job::{JobPhase, JobState};
use model::{BootTime, JobId};
use parking_lot::Mutex;
use ports::{JobView, QuotaPermit};

/// A job that a holder of this entry host manages.
pub(crate) struct HeldJob {
    pub(crate) state: JobState,
    /// Quota permit of the team, kept while the job runs or may run on a worker.
    pub(crate) permit: Option<QuotaPermit>,
    /// Attempt that is recorded as starting and may be sent.
    pub(crate) recorded_attempt: u32,
    /// Last attempt sent to a worker, 0 for none. For an adopted job, the recorded attempt.
    pub(crate) sent_attempt: u32,
    /// True for a job taken over: the former holder may have sent its start.
    pub(crate) adopted: bool,
    /// When the worker stopped responding; `None` while it responds.
    pub(crate) unresponsive_since: Option<BootTime>,
    /// When the start of the current attempt was queued.
    pub(crate) asked_at: BootTime,
}

impl HeldJob {
    pub(crate) fn new(state: JobState) -> Self {
        Self {
            state,
            permit: None,
            recorded_attempt: 0,
            sent_attempt: 0,
            adopted: false,
            unresponsive_since: None,
            asked_at: BootTime::ZERO,
        }
    }

    pub(crate) fn adopted(state: JobState) -> Self {
        Self {
            recorded_attempt: state.attempt,
            sent_attempt: state.attempt,
            adopted: true,
            ..Self::new(state)
        }
    }
}

/// Recorded states of the jobs that this entry host holds, for lookups by callers.
pub(crate) type JobStates = Arc<Mutex<BTreeMap<JobId, JobState>>>;

/// Returns the view of a job that callers get.
pub(crate) fn view_of(state: &JobState) -> JobView {
    JobView {
        job: state.spec.job.clone(),
        team: state.spec.team.clone(),
        pool: state.spec.pool.clone(),
        phase: phase_name(state.phase).to_owned(),
        attempt: state.attempt,
        reason: state.reason.clone(),
    }
}

fn phase_name(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Queued | JobPhase::Unspecified => "queued",
        JobPhase::Starting => "starting",
        JobPhase::Running => "running",
        JobPhase::Done => "done",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
        JobPhase::Parked => "parked",
        JobPhase::Unknown => "unknown",
    }
}
