use std::{sync::Arc, thread, time::Duration};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use model::{JobId, ProblemKind, StepError, TeamId};
use ports::{ClaimSource as _, ClaimVerdict, JobError, JobRequest, JobSink, JobView};
use tokio::sync::oneshot;

use crate::{CallerProblem, ClaimService};

/// Maximum number of job operations waiting for a thread.
const JOB_QUEUE_LIMIT: usize = 256;
/// Stack size of a job thread, in bytes.
const JOB_STACK: usize = 256 * 1024;

/// An operation on a job.
#[derive(Debug)]
pub(crate) enum JobCall {
    /// Record a job. If the flag is true, its request id must be claimed first.
    Submit(Box<JobRequest>, bool),
    /// Return the state of a job.
    View(TeamId, JobId),
    /// Cancel a job.
    Cancel(TeamId, JobId),
}

struct JobOperation {
    call: JobCall,
    reply: oneshot::Sender<Result<JobView, CallerProblem>>,
}

/// Runs job operations on threads, because recording a job blocks on the store.
///
/// There are enough threads to fill the store's batches. Their number and the queue are
/// bounded, so that during a store outage a fixed number of operations wait and the rest
/// are refused immediately.
#[derive(Clone, Debug)]
pub(crate) struct JobThreadPool {
    operations: Sender<JobOperation>,
}

impl JobThreadPool {
    /// Starts the threads. They exit once every clone of the pool is dropped.
    pub fn start(runner: &JobRunner, threads: usize) -> Result<Self, StepError> {
        let (sender, receiver) = bounded(JOB_QUEUE_LIMIT);
        for index in 0..threads.max(1) {
            let runner = runner.clone();
            let receiver: Receiver<JobOperation> = receiver.clone();
            thread::Builder::new()
                .name(format!("entry-job-{index}"))
                .stack_size(JOB_STACK)
                .spawn(move || runner.run_loop(&receiver))
                .map_err(|cause| StepError::new("start job thread", "", cause))?;
        }
        Ok(Self { operations: sender })
    }

    /// Runs one operation and waits for its result.
    pub async fn run(&self, call: JobCall) -> Result<JobView, CallerProblem> {
        let (reply, outcome) = oneshot::channel();
        match self.operations.try_send(JobOperation { call, reply }) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                return Err(job_problem(&JobError::QueueFull));
            }
        }
        match outcome.await {
            Ok(outcome) => outcome,
            Err(_) => Err(job_problem(&JobError::Unknown(
                "the operation was dropped".to_owned(),
            ))),
        }
    }
}

/// Dependencies of the job threads.
#[derive(Clone)]
pub(crate) struct JobRunner {
    /// Where jobs are recorded.
    pub sink: Arc<dyn JobSink>,
    /// Claims request ids.
    pub claims: Arc<ClaimService>,
    /// Maximum wait for the home of a request id to answer a claim.
    pub claim_timeout: Duration,
}

impl JobRunner {
    fn run_loop(&self, receiver: &Receiver<JobOperation>) {
        for operation in receiver {
            let outcome = match operation.call {
                JobCall::Submit(request, claim) => self.submit(*request, claim),
                JobCall::View(team, job) => {
                    self.sink.view(&team, &job).map_err(|e| job_problem(&e))
                }
                JobCall::Cancel(team, job) => {
                    self.sink.cancel(&team, &job).map_err(|e| job_problem(&e))
                }
            };
            // The caller may have disconnected; the operation has run regardless.
            let _ = operation.reply.send(outcome);
        }
    }

    /// Records a job. If `claim` is true, the id given by the caller must be claimed first.
    ///
    /// A caller whose response was lost submits again, and the load balancer may send that
    /// to another entry host, whose log does not contain the job. Without the claim it
    /// would be recorded a second time. If the job is known here, it is returned.
    fn submit(&self, request: JobRequest, claim: bool) -> Result<JobView, CallerProblem> {
        if claim {
            let (id, team) = (&request.request, &request.team);
            let verdict = self.claims.claim(id, team, self.claim_timeout);
            if verdict != ClaimVerdict::First {
                return self.sink.find(team, id).ok_or_else(|| {
                    CallerProblem::may_have_run(
                        ProblemKind::Duplicate,
                        "the Request-Id was used before, or its home can't be asked: \
                         the job may have been accepted through another entry host",
                    )
                });
            }
        }
        self.sink.submit(request).map_err(|cause| CallerProblem {
            claimed: claim,
            ..job_problem(&cause)
        })
    }
}

fn job_problem(cause: &JobError) -> CallerProblem {
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
