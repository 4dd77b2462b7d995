use std::{fmt::Write, io::ErrorKind, time::Duration};

use decide::{
    job::{AttemptStatus, JobState},
    placement::JobSize,
};
use model::StepError;
use serde::{Deserialize, Serialize};

/// Timeout of a request to a worker.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);

/// Report of a worker on several tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Identifies the incarnation of the worker that responded.
    pub boot: String,
    /// State of each task.
    pub tasks: Vec<(String, AttemptStatus)>,
}

/// Requests to workers about tasks.
pub trait WorkerPort: Send + Sync {
    /// Sends the task of the current attempt. `first` is true if it was not sent before;
    /// only then does a refused connection prove that the worker does not have the task.
    fn start(&self, address: &str, job: &JobState, lease: Duration, first: bool) -> AttemptStatus;
    /// Renews the leases of tasks and returns their states.
    ///
    /// # Errors
    /// If the worker does not respond in time.
    fn renew(
        &self,
        address: &str,
        tasks: &[String],
        lease: Duration,
    ) -> Result<WorkerReport, StepError>;
    /// Returns the states of tasks without renewing their leases.
    ///
    /// # Errors
    /// As for [`WorkerPort::renew`].
    fn poll(&self, address: &str, tasks: &[String]) -> Result<WorkerReport, StepError>;
    /// Stops a task and prevents a later start of it.
    ///
    /// # Errors
    /// As for [`WorkerPort::renew`].
    fn stop(&self, address: &str, task: &str) -> Result<AttemptStatus, StepError>;
    /// Returns the worker's incarnation and the resources that its tasks use.
    ///
    /// # Errors
    /// As for [`WorkerPort::renew`].
    fn usage(&self, address: &str) -> Result<(String, JobSize), StepError>;
}

/// Client of the HTTP interface of workers, see `docs/PLATFORM.md`.
pub struct HttpWorker {
    agent: ureq::Agent,
}

#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    boot: &'a str,
    team: &'a str,
    cores: u32,
    memory_mb: u64,
    accelerators: u32,
    lease_ms: u128,
    idempotent: bool,
    payload: String,
}

#[derive(Serialize)]
struct RenewBody<'a> {
    tasks: &'a [String],
    lease_ms: u128,
}

#[derive(Serialize)]
struct TaskBody<'a> {
    task: &'a str,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct TaskAnswer {
    task: String,
    state: String,
    reason: String,
}

#[derive(Deserialize)]
struct RenewAnswer {
    boot: String,
    tasks: Vec<TaskAnswer>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct UsageAnswer {
    boot: String,
    cores: u32,
    memory_mb: u64,
    accelerators: u32,
}

impl HttpWorker {
    /// Creates a port with its own connections.
    pub fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(WORKER_TIMEOUT))
            .http_status_as_error(false)
            .max_idle_connections_per_host(1)
            .build();
        Self {
            agent: config.into(),
        }
    }

    fn post<B: Serialize>(
        &self,
        address: &str,
        path: &str,
        body: &B,
    ) -> Result<(u16, bool, String), CallError> {
        let text = serde_json::to_string(body).map_err(|e| CallError::NoAnswer(e.to_string()))?;
        let answer = self
            .agent
            .post(format!("http://{address}{path}"))
            .content_type("application/json")
            .send(text);
        let mut answer = answer.map_err(CallError::from)?;
        let not_run = answer.headers().get("Not-Run").is_some_and(|v| v == "true");
        let text = answer
            .body_mut()
            .read_to_string()
            .map_err(CallError::from)?;
        Ok((answer.status().as_u16(), not_run, text))
    }

    fn post_json<B: Serialize, A: for<'a> Deserialize<'a>>(
        &self,
        step: &'static str,
        address: &str,
        path: &str,
        body: &B,
    ) -> Result<A, StepError> {
        let (status, _, text) = self
            .post(address, path, body)
            .map_err(|fault| StepError::new(step, address, fault.text()))?;
        if status != 200 {
            return Err(StepError::new(step, address, format!("status {status}")));
        }
        serde_json::from_str(&text).map_err(|e| StepError::new(step, address, e))
    }
}

impl Default for HttpWorker {
    fn default() -> Self {
        Self::new()
    }
}

impl WorkerPort for HttpWorker {
    fn start(&self, address: &str, job: &JobState, lease: Duration, first: bool) -> AttemptStatus {
        let body = StartBody {
            task: job.task_id(),
            boot: &job.worker_boot,
            team: &job.spec.team,
            cores: job.spec.cores,
            memory_mb: job.spec.memory_mb,
            accelerators: job.spec.accelerators,
            lease_ms: lease.as_millis(),
            idempotent: job.spec.idempotent,
            payload: encode_hex(&job.spec.payload),
        };
        match self.post(address, "/v1/tasks", &body) {
            Ok((200, _, text)) => serde_json::from_str::<TaskAnswer>(&text)
                .map_or(AttemptStatus::Unresponsive, |answer| {
                    answer.attempt_report()
                }),
            Ok((_, true, reason)) => AttemptStatus::NotRun(reason),
            // Another incarnation responded. Only if the task was never sent before is it
            // certain that the intended incarnation did not run it either.
            Ok((409, ..)) if first => AttemptStatus::NotRun("its worker restarted".to_owned()),
            Ok((409, ..)) => AttemptStatus::Unknown,
            Err(CallError::Refused) if first => {
                AttemptStatus::NotRun("connection refused".to_owned())
            }
            _ => AttemptStatus::Unresponsive,
        }
    }

    fn renew(
        &self,
        address: &str,
        tasks: &[String],
        lease: Duration,
    ) -> Result<WorkerReport, StepError> {
        let body = RenewBody {
            tasks,
            lease_ms: lease.as_millis(),
        };
        let answer: RenewAnswer = self.post_json("renew tasks", address, "/v1/renew", &body)?;
        let tasks = answer.tasks.into_iter();
        Ok(WorkerReport {
            boot: answer.boot,
            tasks: tasks
                .map(|task| (task.task.clone(), task.attempt_report()))
                .collect(),
        })
    }

    fn poll(&self, address: &str, tasks: &[String]) -> Result<WorkerReport, StepError> {
        let wrap = |e: ureq::Error| StepError::new("read tasks", address, e);
        let url = format!("http://{address}/v1/tasks");
        let mut answer = self.agent.get(url).call().map_err(wrap)?;
        let text = answer.body_mut().read_to_string().map_err(wrap)?;
        let known: RenewAnswer =
            serde_json::from_str(&text).map_err(|e| StepError::new("read tasks", address, e))?;
        let attempt_report = |task: &String| {
            let found = known.tasks.iter().find(|known| known.task == *task);
            let attempt_report = found.map_or(AttemptStatus::Unknown, TaskAnswer::attempt_report);
            (task.clone(), attempt_report)
        };
        Ok(WorkerReport {
            tasks: tasks.iter().map(attempt_report).collect(),
            boot: known.boot,
        })
    }

    fn stop(&self, address: &str, task: &str) -> Result<AttemptStatus, StepError> {
        let body = TaskBody { task };
        let answer: TaskAnswer = self.post_json("stop task", address, "/v1/stop", &body)?;
        Ok(answer.attempt_report())
    }

    fn usage(&self, address: &str) -> Result<(String, JobSize), StepError> {
        let wrap = |e: ureq::Error| StepError::new("read usage", address, e);
        let url = format!("http://{address}/v1/usage");
        let mut answer = self.agent.get(url).call().map_err(wrap)?;
        let text = answer.body_mut().read_to_string().map_err(wrap)?;
        let usage: UsageAnswer =
            serde_json::from_str(&text).map_err(|e| StepError::new("read usage", address, e))?;
        let size = JobSize {
            cores: usage.cores,
            memory_mb: usage.memory_mb,
            accelerators: usage.accelerators,
        };
        Ok((usage.boot, size))
    }
}

impl TaskAnswer {
    fn attempt_report(&self) -> AttemptStatus {
        match self.state.as_str() {
            "running" => AttemptStatus::Running,
            "done" => AttemptStatus::Done,
            "failed" => AttemptStatus::Failed(self.reason.clone()),
            "stopped" => AttemptStatus::Stopped,
            "unknown" => AttemptStatus::Unknown,
            "refused" => AttemptStatus::NotRun(self.reason.clone()),
            _ => AttemptStatus::Unresponsive,
        }
    }
}

/// Why a call got no response.
enum CallError {
    /// The connection was refused.
    Refused,
    /// Any other failure: the worker may have handled the call.
    NoAnswer(String),
}

impl CallError {
    fn text(self) -> String {
        match self {
            Self::Refused => "connection refused".to_owned(),
            Self::NoAnswer(text) => text,
        }
    }
}

impl From<ureq::Error> for CallError {
    fn from(error: ureq::Error) -> Self {
        match &error {
            ureq::Error::Io(e) if e.kind() == ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::NoAnswer(error.to_string()),
        }
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
