use std::{sync::Arc, thread, time::Duration};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use model::{JobId, ProblemKind, StepError, TeamId};
use ports::{ClaimSource as _, ClaimVerdict, JobError, JobRequest, JobSink, JobView};
use tokio::sync::oneshot;

use crate::{CallerProblem, ClaimService};

/// Job operations that wait for a thread.
const JOB_QUEUE_LIMIT: usize = 256;
/// Stack of a job thread, in bytes.
const JOB_STACK: usize = 256 * 1024;

/// One operation on a job.
#[derive(Debug)]
pub(crate) enum JobCall {
    /// Record a job; with `true` only if its request id can be claimed.
    Submit(Box<JobRequest>, bool),
    /// Look a job up.
    View(TeamId, JobId),
    /// Cancel a job.
    Cancel(TeamId, JobId),
}

struct JobOperation {
    call: JobCall,
    reply: oneshot::Sender<Result<JobView, CallerProblem>>,
}

/// Hands job operations to threads, because recording a job waits for the store.
///
/// The threads are many enough that the store's batches fill, and bounded, so that a
/// store outage holds a known number of operations and refuses the rest at once.
#[derive(Clone, Debug)]
pub(crate) struct JobThreadPool {
    operations: Sender<JobOperation>,
}

impl JobThreadPool {
    /// Starts the threads; they end once every clone of the desk is dropped.
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

    /// Runs one operation and waits for its outcome.
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

/// What the job threads work with.
#[derive(Clone)]
pub(crate) struct JobRunner {
    /// Where jobs are recorded.
    pub sink: Arc<dyn JobSink>,
    /// Settles whether a request id may be used.
    pub claims: Arc<ClaimService>,
    /// Longest wait for the home of a request id.
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
            // The caller may have gone away; the job stands or not all the same.
            let _ = operation.reply.send(outcome);
        }
    }

    /// Records a job under an id that its caller gave only if the id can be claimed.
    ///
    /// A caller whose answer was lost submits again, and the balancer sends that to another
    /// entry host, whose log does not have the job. Without the claim it would be a second
    /// job. Where the job is known, it is the answer.
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
