use std::{sync::Arc, thread, time::Duration};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use model::{JobId, ProblemKind, StepError, TeamId};
use ports::{JobError, JobRequest, JobSink, JobView};
use tokio::sync::oneshot;

use crate::CallerProblem;

/// Job operations that wait for a thread.
const WAITING_JOBS: usize = 256;
/// Stack of a job thread, in bytes.
const JOB_STACK: usize = 256 * 1024;

/// One operation on a job.
#[derive(Debug)]
pub(crate) enum JobCall {
    /// Record a job.
    Submit(Box<JobRequest>),
    /// Look a job up.
    View(TeamId, JobId),
    /// Cancel a job.
    Cancel(TeamId, JobId),
}

struct JobTicket {
    call: JobCall,
    reply: oneshot::Sender<Result<JobView, JobError>>,
}

/// Hands job operations to threads, because recording a job waits for the store.
///
/// The threads are many enough that the store's batches fill, and bounded, so that a
/// store outage holds a known number of operations and refuses the rest at once.
#[derive(Clone, Debug)]
pub(crate) struct JobDesk {
    tickets: Sender<JobTicket>,
}

impl JobDesk {
    /// Starts the threads; they end once every clone of the desk is dropped.
    pub fn start(sink: &Arc<dyn JobSink>, threads: usize) -> Result<Self, StepError> {
        let (sender, receiver) = bounded(WAITING_JOBS);
        for index in 0..threads.max(1) {
            let sink = Arc::clone(sink);
            let receiver: Receiver<JobTicket> = receiver.clone();
            thread::Builder::new()
                .name(format!("entry-job-{index}"))
                .stack_size(JOB_STACK)
                .spawn(move || run_tickets(&sink, &receiver))
                .map_err(|cause| StepError::new("start job thread", "", cause))?;
        }
        Ok(Self { tickets: sender })
    }

    /// Runs one operation and waits for its outcome.
    pub async fn run(&self, call: JobCall) -> Result<JobView, CallerProblem> {
        let (reply, outcome) = oneshot::channel();
        match self.tickets.try_send(JobTicket { call, reply }) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                return Err(explain(&JobError::QueueFull));
            }
        }
        match outcome.await {
            Ok(Ok(view)) => Ok(view),
            Ok(Err(cause)) => Err(explain(&cause)),
            Err(_) => Err(explain(&JobError::Unknown(
                "the operation was dropped".to_owned(),
            ))),
        }
    }
}

fn run_tickets(sink: &Arc<dyn JobSink>, receiver: &Receiver<JobTicket>) {
    for ticket in receiver {
        let outcome = match ticket.call {
            JobCall::Submit(request) => sink.submit(*request),
            JobCall::View(team, job) => sink.view(&team, &job),
            JobCall::Cancel(team, job) => sink.cancel(&team, &job),
        };
        // The caller may have gone away; the job stands or not all the same.
        let _ = ticket.reply.send(outcome);
    }
}

fn explain(cause: &JobError) -> CallerProblem {
    let text = cause.to_string();
    match cause {
        JobError::StoreDown(_) => CallerProblem::not_run(ProblemKind::StoreDown, text)
            .with_retry_after(Duration::from_secs(5)),
        JobError::Unknown(_) => CallerProblem::may_have_run(
            ProblemKind::StoreDown,
            format!("{text}; submit again with the same Request-Id"),
        )
        .with_retry_after(Duration::from_secs(1)),
        JobError::Invalid(_) => CallerProblem::not_run(ProblemKind::BadRequest, text),
        JobError::QueueFull => CallerProblem::not_run(ProblemKind::QueueFull, text)
            .with_retry_after(Duration::from_secs(2)),
        JobError::NotFound => CallerProblem::not_run(ProblemKind::NotFound, text),
    }
}
