use std::{
    sync::Arc,
    thread::{self, JoinHandle},
};

use crossbeam_channel::{Sender, bounded};
use model::StepError;
use tokio::sync::oneshot;

use super::{AdminCall, AdminReply};
use crate::{AdminProblem, ProblemCode};

/// Threads of a lane.
const WORKERS: usize = 2;
/// Calls that may wait for a thread of a lane.
const QUEUE: usize = 32;
const STACK_BYTES: usize = 512 * 1024;

type AnswerCall = dyn Fn(&AdminCall) -> AdminReply + Send + Sync;

/// Threads that answer one kind of call.
///
/// Changes wait for other entry hosts and for the store. They have a lane of their own, so
/// that operators still see the status while changes hang.
pub(crate) struct WorkLane {
    calls: Sender<(AdminCall, oneshot::Sender<AdminReply>)>,
    threads: Vec<JoinHandle<()>>,
}

impl WorkLane {
    pub(crate) fn start(name: &str, answer: &Arc<AnswerCall>) -> Result<Self, StepError> {
        let (calls, receiver) = bounded::<(AdminCall, oneshot::Sender<AdminReply>)>(QUEUE);
        let mut threads = Vec::with_capacity(WORKERS);
        for index in 0..WORKERS {
            let receiver = receiver.clone();
            let answer = Arc::clone(answer);
            let thread = thread::Builder::new()
                .name(format!("admin-{name}-{index}"))
                .stack_size(STACK_BYTES)
                .spawn(move || {
                    for (call, reply) in receiver {
                        // The operator may have hung up; the answer is then of no use.
                        if reply.send(answer(&call)).is_err() {
                            log::debug!("an operator hung up before its answer");
                        }
                    }
                })
                .map_err(|error| StepError::new("start admin worker", "", error))?;
            threads.push(thread);
        }
        Ok(Self { calls, threads })
    }

    /// Queues a call.
    ///
    /// # Errors
    /// If too many wait already.
    pub(crate) fn submit(
        &self,
        call: AdminCall,
    ) -> Result<oneshot::Receiver<AdminReply>, AdminProblem> {
        let (sender, receiver) = oneshot::channel();
        match self.calls.try_send((call, sender)) {
            Ok(()) => Ok(receiver),
            Err(_) => Err(AdminProblem::new(
                ProblemCode::Busy,
                "too many calls at once; nothing was done",
            )),
        }
    }

    /// Answers what waits and ends the threads.
    pub(crate) fn stop(self) {
        drop(self.calls);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}
