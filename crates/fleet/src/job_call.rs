use std::{sync::Arc, time::Duration};

use crossbeam_channel::{Receiver, Sender};
use decide::{
    job::{AttemptStatus, JobState},
    placement::{JobSize, WorkerUsage},
};
use model::{BootTime, HostId};
use store::Clock;

use crate::{WorkerPort, WorkerReport};

/// A request to a worker, sent by a thread of the caller pool.
pub(crate) struct WorkerCall {
    pub(crate) worker: HostId,
    pub(crate) address: String,
    pub(crate) kind: CallKind,
    /// Channel for the reply.
    pub(crate) reply: Sender<CallReply>,
}

pub(crate) enum CallKind {
    Start { job: Box<JobState>, first: bool },
    Renew { tasks: Vec<String> },
    Poll { tasks: Vec<String> },
    Stop { task: String },
    Usage,
}

/// The reply to a call.
pub(crate) struct CallReply {
    pub(crate) worker: HostId,
    pub(crate) asked_at: BootTime,
    pub(crate) kind: ReplyKind,
}

pub(crate) enum ReplyKind {
    /// Response to a start or a stop.
    Task {
        task: String,
        attempt_report: AttemptStatus,
    },
    /// Response to a renewal or a poll of these tasks; `None` if the worker did not respond.
    Renewed {
        tasks: Vec<String>,
        report: Option<WorkerReport>,
    },
    Usage(Option<WorkerUsage>),
}

/// Sends the calls from `queue` until the queue is closed.
pub(crate) fn run_caller(
    port: &Arc<dyn WorkerPort>,
    clock: &Arc<dyn Clock>,
    lease: Duration,
    queue: &Receiver<WorkerCall>,
) {
    while let Ok(call) = queue.recv() {
        let asked_at = clock.boot_now();
        let kind = make_call(port.as_ref(), &call, lease, asked_at);
        let reply = CallReply {
            worker: call.worker,
            asked_at,
            kind,
        };
        // Sending fails only if the job holder has stopped; the reply is not needed then.
        let _ = call.reply.send(reply);
    }
}

fn make_call(
    port: &dyn WorkerPort,
    call: &WorkerCall,
    lease: Duration,
    asked_at: BootTime,
) -> ReplyKind {
    match &call.kind {
        CallKind::Start { job, first } => ReplyKind::Task {
            task: job.task_id(),
            attempt_report: port.start(&call.address, job, lease, *first),
        },
        CallKind::Renew { tasks } => ReplyKind::Renewed {
            tasks: tasks.clone(),
            report: port.renew(&call.address, tasks, lease).ok(),
        },
        CallKind::Poll { tasks } => ReplyKind::Renewed {
            tasks: tasks.clone(),
            report: port.poll(&call.address, tasks).ok(),
        },
        CallKind::Stop { task } => ReplyKind::Task {
            task: task.clone(),
            attempt_report: port
                .stop(&call.address, task)
                .unwrap_or(AttemptStatus::Unresponsive),
        },
        CallKind::Usage => {
            let usage = port.usage(&call.address).ok();
            ReplyKind::Usage(usage.map(|(boot, used)| usage_of(boot, used, asked_at)))
        }
    }
}

fn usage_of(boot: String, used: JobSize, asked: BootTime) -> WorkerUsage {
    WorkerUsage { boot, used, asked }
}
