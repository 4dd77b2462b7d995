use std::sync::Arc;

use anyhow::Result;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    CallHandler, FakeReply, FakeServer, HttpCall, ReplyFuture, StartRecord, TaskOrder, TaskReport,
    WorkerFaults, WorkerSettings,
    worker_state::{WorkerState, WorkerUse},
};

/// A stand-in of a worker: tasks under leases, drain and reboot as in `docs/PLATFORM.md`.
///
/// A payload that begins with `work` may say how long the task takes, see
/// [`crate::WorkOrder`]; one that begins with `fail` fails on every worker.
/// `GET /fake/starts` tells each start of a task, `POST /fake/faults` sets faults.
#[derive(Debug)]
pub struct WorkerFake {
    server: FakeServer,
    handler: Arc<WorkerHandler>,
}

impl WorkerFake {
    /// Answers at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// If the address can't be listened on.
    pub fn start(address: &str, settings: WorkerSettings) -> Result<Self> {
        let handler = Arc::new(WorkerHandler {
            state: Mutex::new(WorkerState::new(settings)),
        });
        let server = FakeServer::start(address, Arc::<WorkerHandler>::clone(&handler))?;
        Ok(Self { server, handler })
    }

    /// The server that answers.
    pub fn server(&self) -> &FakeServer {
        &self.server
    }

    /// Where it listens, as `ip:port`.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.handler.state.lock().set_faults(faults);
    }

    /// Restarts the worker: what runs is cut, and it forgets its tasks.
    pub fn reboot(&self) {
        self.handler.state.lock().reboot();
    }

    /// Every start of a task so far, also from before reboots.
    pub fn starts(&self) -> Vec<StartRecord> {
        let mut state = self.handler.state.lock();
        state.advance();
        state.starts.clone()
    }
}

#[derive(Debug)]
struct WorkerHandler {
    state: Mutex<WorkerState>,
}

#[derive(Debug, Serialize)]
struct HealthAnswer {
    state: &'static str,
    running: usize,
    boot: String,
}

#[derive(Debug, Serialize)]
struct TasksAnswer {
    boot: String,
    tasks: Vec<TaskReport>,
}

#[derive(Debug, Serialize)]
struct UsageAnswer {
    boot: String,
    #[serde(flatten)]
    used: WorkerUse,
}

#[derive(Debug, Deserialize)]
struct RenewCall {
    tasks: Vec<String>,
    lease_ms: u64,
}

#[derive(Debug, Deserialize)]
struct TaskCall {
    task: String,
}

impl CallHandler for WorkerHandler {
    fn handle(self: Arc<Self>, call: HttpCall) -> ReplyFuture {
        let reply = self.answer(&call);
        Box::pin(async move { reply })
    }

    fn accepts(&self) -> bool {
        self.state.lock().is_up()
    }
}

impl WorkerHandler {
    fn answer(&self, call: &HttpCall) -> FakeReply {
        let mut state = self.state.lock();
        state.advance();
        if !call.whole {
            return FakeReply::status(400);
        }
        match call.method.as_str() {
            "GET" => read(&state, &call.path),
            "POST" => change(&mut state, call),
            _ => FakeReply::status(405),
        }
    }
}

fn read(state: &WorkerState, path: &str) -> FakeReply {
    match path {
        "/v1/health" if state.faults().fail_health => FakeReply::status(500),
        "/v1/health" => FakeReply::json(&HealthAnswer {
            state: if state.draining {
                "draining"
            } else {
                "serving"
            },
            running: state.running(),
            boot: state.boot(),
        }),
        "/v1/tasks" => FakeReply::json(&TasksAnswer {
            boot: state.boot(),
            tasks: state.reports(),
        }),
        "/v1/usage" => FakeReply::json(&UsageAnswer {
            boot: state.boot(),
            used: state.usage(),
        }),
        "/fake/starts" => FakeReply::json(&state.starts),
        _ => FakeReply::status(404),
    }
}

fn change(state: &mut WorkerState, call: &HttpCall) -> FakeReply {
    match call.path.as_str() {
        "/v1/tasks" => start_task(state, call),
        "/v1/renew" => {
            let Some(renew) = call.json::<RenewCall>() else {
                return FakeReply::status(400);
            };
            FakeReply::json(&TasksAnswer {
                tasks: state.renew(&renew.tasks, renew.lease_ms),
                boot: state.boot(),
            })
        }
        "/v1/stop" => with_task(call, |task| Some(state.stop(task))),
        "/v1/throttle" => with_task(call, |task| state.throttle(task)),
        "/v1/checkpoint" => with_task(call, |task| state.checkpoint(task)),
        "/v1/drain" | "/v1/undrain" => {
            state.draining = call.path == "/v1/drain";
            FakeReply::status(200)
        }
        "/v1/reboot" => {
            state.reboot();
            FakeReply::status(200)
        }
        "/fake/faults" => match call.json::<WorkerFaults>() {
            Some(faults) => {
                state.set_faults(faults);
                FakeReply::status(200)
            }
            None => FakeReply::status(400),
        },
        _ => FakeReply::status(404),
    }
}

fn start_task(state: &mut WorkerState, call: &HttpCall) -> FakeReply {
    let Some(order) = call.json::<TaskOrder>() else {
        return FakeReply::status(400);
    };
    if state.is_for_other_life(&order) {
        return FakeReply::status(409);
    }
    let outcome = state.start(order);
    if state.loses_start() {
        return FakeReply::lost();
    }
    match outcome {
        Ok(report) => FakeReply::json(&report),
        Err(reason) => FakeReply::status(503)
            .with_header("Not-Run", "true")
            .with_body(reason.as_bytes().to_vec()),
    }
}

fn with_task(call: &HttpCall, f: impl FnOnce(&str) -> Option<TaskReport>) -> FakeReply {
    let Some(task) = call.json::<TaskCall>() else {
        return FakeReply::status(400);
    };
    match f(&task.task) {
        Some(report) => FakeReply::json(&report),
        None => FakeReply::status(404),
    }
}
