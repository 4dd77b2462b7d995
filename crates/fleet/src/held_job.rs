use std::{collections::BTreeMap, sync::Arc};

use decide::job::{JobPhase, JobState};
use model::{BootTime, JobId};
use parking_lot::Mutex;
use ports::{JobView, QuotaPermit};

/// A job that this entry host holds.
pub(crate) struct HeldJob {
    pub(crate) state: JobState,
    /// Unit of the team's limit, held while a worker has or may have the job.
    pub(crate) permit: Option<QuotaPermit>,
    /// Attempt that is recorded as starting, and may be sent.
    pub(crate) recorded_attempt: u32,
    /// Attempt that was sent by this holder, 0 for none.
    pub(crate) sent_attempt: u32,
    /// True for one taken over: its start may have been sent by the holder before.
    pub(crate) adopted: bool,
    /// Since when its worker has not answered.
    pub(crate) unresponsive_since: Option<BootTime>,
    /// When its worker was last asked.
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

/// The recorded states of the jobs that this entry host holds, for looking them up.
pub(crate) type JobTable = Arc<Mutex<BTreeMap<JobId, JobState>>>;

/// What a caller sees of a job.
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
