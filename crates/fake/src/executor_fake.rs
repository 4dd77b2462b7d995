use std::sync::Arc;

use anyhow::Result;
use parking_lot::Mutex;
use serde::Serialize;

use crate::{
    CallHandler, ExecutorCounts, ExecutorFaults, ExecutorSettings, FakeReply, FakeServer, HttpCall,
    ReplyFuture, RunRecord,
    executor_state::{ExecutorState, RunPlan},
    expected_answer,
};

/// A stand-in of an executor: slots, connections, drain and reboot as in `docs/PLATFORM.md`.
///
/// A body may say how long it takes and how large its answer is, see [`crate::WorkOrder`]; the
/// answer is [`expected_answer`]. `GET /fake/runs` tells each run, `GET /fake/drains` each
/// drain, `GET /fake/counts` what was refused, `POST /fake/faults` sets faults. A run goes on when its caller goes away,
/// as on a real executor.
#[derive(Debug)]
pub struct ExecutorFake {
    server: FakeServer,
    handler: Arc<ExecutorHandler>,
}

impl ExecutorFake {
    /// Answers at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// If the address can't be listened on.
    pub fn start(address: &str, settings: ExecutorSettings) -> Result<Self> {
        let handler = Arc::new(ExecutorHandler {
            state: Mutex::new(ExecutorState::new(settings)),
        });
        let server = FakeServer::start(address, Arc::<ExecutorHandler>::clone(&handler))?;
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
    pub fn set_faults(&self, faults: ExecutorFaults) {
        self.handler.state.lock().set_faults(faults);
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.handler.state.lock().runs.clone()
    }

    /// What was refused so far.
    pub fn counts(&self) -> ExecutorCounts {
        self.handler.state.lock().counts
    }
}

#[derive(Debug)]
struct ExecutorHandler {
    state: Mutex<ExecutorState>,
}

/// Answer to a health call.
#[derive(Debug, Serialize)]
struct HealthAnswer {
    state: &'static str,
    running: usize,
}

impl CallHandler for ExecutorHandler {
    fn handle(self: Arc<Self>, call: HttpCall) -> ReplyFuture {
        if call.method == "POST" && call.path == "/v1/run" {
            return Box::pin(self.run(call));
        }
        let reply = self.control(&call);
        Box::pin(async move { reply })
    }

    fn max_connections(&self) -> usize {
        self.state.lock().settings.connections
    }

    fn note_over_connections(&self) {
        self.state.lock().counts.over_connections += 1;
    }

    fn accepts(&self) -> bool {
        self.state.lock().is_up()
    }
}

impl ExecutorHandler {
    fn control(&self, call: &HttpCall) -> FakeReply {
        let mut state = self.state.lock();
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/health") if state.faults().fail_health => FakeReply::status(500),
            ("GET", "/v1/health") => FakeReply::json(&HealthAnswer {
                state: state.phase_name(),
                running: state.running,
            }),
            ("POST", "/v1/drain") => {
                state.set_draining(true);
                FakeReply::status(200)
            }
            ("POST", "/v1/undrain") => {
                state.set_draining(false);
                FakeReply::status(200)
            }
            ("POST", "/v1/reboot") => {
                state.reboot();
                FakeReply::status(200)
            }
            ("POST", "/fake/faults") => match call.json::<ExecutorFaults>() {
                Some(faults) => {
                    state.set_faults(faults);
                    FakeReply::status(200)
                }
                None => FakeReply::status(400),
            },
            ("GET", "/fake/runs") => FakeReply::json(&state.runs),
            ("GET", "/fake/drains") => FakeReply::json(&state.drains),
            ("GET", "/fake/counts") => FakeReply::json(&state.counts),
            _ => FakeReply::status(404),
        }
    }

    async fn run(self: Arc<Self>, call: HttpCall) -> FakeReply {
        if !call.whole {
            return FakeReply::status(400);
        }
        let plan = self.state.lock().begin(&call);
        let Some(plan) = plan else {
            return FakeReply::status(503).with_header("Not-Run", "true");
        };
        let task = tokio::task::spawn_local(self.finish(call, plan));
        task.await.unwrap_or_else(|_| FakeReply::lost())
    }

    async fn finish(self: Arc<Self>, call: HttpCall, plan: RunPlan) -> FakeReply {
        tokio::time::sleep(plan.service).await;
        if !self.state.lock().end(&plan) {
            return FakeReply::lost();
        }
        tokio::time::sleep(plan.late).await;
        if plan.lose {
            return FakeReply::lost();
        }
        if plan.fail {
            return FakeReply::status(500).with_body(b"the service failed".to_vec());
        }
        let answer = expected_answer(&call.body);
        let half = answer.len() / 2;
        let echo = if plan.cross {
            format!("{}-crossed", plan.request)
        } else {
            plan.request
        };
        let reply = FakeReply::status(200)
            .with_header("Request-Id", &echo)
            .with_header("Content-Type", "application/octet-stream")
            .with_body(if plan.cross {
                b"foreign".to_vec()
            } else {
                answer
            });
        if plan.truncate {
            return reply.with_cut(half);
        }
        reply
    }
}
