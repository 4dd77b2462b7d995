use crossbeam_channel::Sender;
use model::{JobId, PoolId, TeamId};
use ports::{JobError, JobRequest, JobView};

/// Channel for the result of one submission or cancellation.
pub(crate) type ReplySender = Sender<Result<JobView, JobError>>;

/// A request to a job holder.
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
