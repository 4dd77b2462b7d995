//! The stand-in worker keeps the rules of `docs/PLATFORM.md` that jobs rely on.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use fake::{TaskOrder, WorkerFake, WorkerFaults, WorkerSettings};
use serde_json::{Value, json};

struct Caller {
    worker: WorkerFake,
    agent: ureq::Agent,
}

impl Caller {
    fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build();
        Self {
            worker: WorkerFake::start("127.0.0.1:0", WorkerSettings::default()).unwrap(),
            agent: config.into(),
        }
    }

    fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        let url = format!("http://{}{path}", self.worker.address());
        let mut answer = self.agent.post(url).send(body.to_string()).unwrap();
        let text = answer.body_mut().read_to_string().unwrap();
        let value = serde_json::from_str(&text).unwrap_or(Value::Null);
        (answer.status().as_u16(), value)
    }

    fn get(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.worker.address());
        let mut answer = self.agent.get(url).call().unwrap();
        serde_json::from_str(&answer.body_mut().read_to_string().unwrap()).unwrap()
    }

    fn start(&self, task: &str, boot: &str, lease_ms: u64) -> (u16, Value) {
        let order = TaskOrder {
            task: task.to_owned(),
            boot: boot.to_owned(),
            cores: 4,
            memory_mb: 1024,
            lease_ms,
            ..TaskOrder::default()
        };
        self.post("/v1/tasks", &json!(order))
    }
}

#[test]
fn start_repeated_runs_once() {
    let caller = Caller::new();
    assert_eq!(caller.start("j.1", "", 10_000).0, 200);
    assert_eq!(caller.start("j.1", "", 10_000).0, 200);
    assert_eq!(caller.worker.starts().len(), 1);
}

#[test]
fn start_other_boot_is_neither_run_nor_remembered() {
    // A call meant for the life before a restart comes late. If it ran, a job that was
    // told to have ended as unknown would run a second time. If it were remembered as
    // refused, a job that had run in that life would pass for not run, and run again.
    let caller = Caller::new();
    assert_eq!(caller.start("j.1", "another", 10_000).0, 409);
    assert_eq!(caller.start("j.1", "another", 10_000).0, 409);
    assert!(caller.worker.starts().is_empty());
    assert_eq!(caller.get("/v1/tasks")["tasks"], json!([]));
}

#[test]
fn start_no_room_is_refused() {
    let caller = Caller::new();
    for task in 0..4 {
        assert_eq!(caller.start(&format!("j{task}.1"), "", 10_000).0, 200);
    }
    assert_eq!(caller.start("j4.1", "", 10_000).0, 503);
    // The job goes elsewhere now; a late copy of the call must not run here.
    caller.post("/v1/stop", &json!({"task": "j0.1"}));
    assert_eq!(caller.start("j4.1", "", 10_000).0, 503);
}

#[test]
fn lease_lapsed_stops_task() {
    let caller = Caller::new();
    caller.start("j.1", "", 20);
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let (_, renewed) = caller.post("/v1/renew", &json!({"tasks": [], "lease_ms": 1}));
        assert!(renewed["boot"].is_string());
        if caller.worker.starts()[0].outcome == "lease" {
            break;
        }
        assert!(Instant::now() < until, "the task runs on without a lease");
    }
}

#[test]
fn stop_before_arrival_keeps_task_out() {
    let caller = Caller::new();
    assert_eq!(
        caller.post("/v1/stop", &json!({"task": "j.1"})).1["state"],
        "stopped"
    );
    assert_eq!(caller.start("j.1", "", 10_000).1["state"], "stopped");
    assert!(caller.worker.starts().is_empty());
}

#[test]
fn reboot_changes_boot_and_keeps_record() {
    let caller = Caller::new();
    caller.start("j.1", "", 10_000);
    let before = caller.get("/v1/health")["boot"].clone();
    caller.worker.reboot();
    let boot = || {
        let url = format!("http://{}/v1/health", caller.worker.address());
        let text = ureq::get(url)
            .call()
            .ok()?
            .body_mut()
            .read_to_string()
            .ok()?;
        serde_json::from_str::<Value>(&text).ok()
    };
    let until = Instant::now() + Duration::from_secs(10);
    while boot().is_none_or(|health| health["boot"] == before) {
        assert!(Instant::now() < until, "the worker never came back");
    }
    assert_eq!(caller.worker.starts()[0].outcome, "cut");
}

#[test]
fn faulty_worker_fails_everything() {
    let caller = Caller::new();
    caller.worker.set_faults(WorkerFaults {
        fail_all: true,
        ..WorkerFaults::default()
    });
    caller.start("j.1", "", 10_000);
    let until = Instant::now() + Duration::from_secs(10);
    while caller.get("/v1/tasks")["tasks"][0]["state"] != "failed" {
        assert!(Instant::now() < until, "the task never failed");
    }
}
