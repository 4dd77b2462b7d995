use crossbeam_channel::Sender;
use model::{JobId, PoolId, TeamId};
use ports::{JobError, JobRequest, JobView};

/// Answers one submission or cancellation.
pub(crate) type ReplySender = Sender<Result<JobView, JobError>>;

/// An order to the holder.
pub(crate) enum JobOrder {
    Submit {
        request: Box<JobRequest>,
        pool: PoolId,
        reply: ReplySender,
    },
    Cancel {
        team: TeamId,
        job: JobId,
        reply: ReplySender,
    },
}
