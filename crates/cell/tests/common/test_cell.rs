use std::{rc::Rc, time::Duration};

use cell::{CellHost, CellOptions, CellPorts};
use link::CallClient;
use metrics_exporter_prometheus::PrometheusBuilder;
use ports::{CallerAction, CallerAnswer, CallerService, JobProgress};
use tokio::time::sleep;

use super::{KEY, MemoryStore, MemoryTargets, call, free_address, policy_text, ports_on, submit};

/// Longest wait for something that takes milliseconds; only a failing test reaches it.
pub const LIMIT: Duration = Duration::from_secs(10);

/// A store and targets that the processes of a test share.
pub struct TestCell {
    pub store: MemoryStore,
    pub targets: MemoryTargets,
}

impl TestCell {
    pub fn new() -> Self {
        let cell = Self::without_targets();
        cell.add_target();
        cell
    }

    /// A cell without a target that accepts tasks.
    pub fn without_targets() -> Self {
        let cell = Self {
            store: store_with_policy(),
            targets: MemoryTargets::default(),
        };
        cell.store.put("targets/t2", b"unreadable");
        cell
    }

    /// Adds a target that accepts tasks.
    pub fn add_target(&self) {
        self.store.put("targets/t1", b"ready");
    }

    pub fn start_host(&self, name: &str) -> CellHost {
        self.start_host_on(name, &self.store)
    }

    pub fn start_host_on(&self, name: &str, store: &MemoryStore) -> CellHost {
        let options = CellOptions {
            drain_period: Duration::from_millis(10),
            ..CellOptions::new(name.into(), free_address(), free_address())
        };
        start_cell(options, ports_on(store, &self.targets))
    }
}

/// A store that contains only the policy.
pub fn store_with_policy() -> MemoryStore {
    let store = MemoryStore::default();
    store.put("op/terms", policy_text(1, KEY).as_bytes());
    store
}

/// Starts a process of the cell.
pub fn start_cell(options: CellOptions, ports: CellPorts) -> CellHost {
    let host = CellHost::new(options, ports, CallClient::default());
    host.start(PrometheusBuilder::new().build_recorder().handle());
    host
}

/// Waits until a status call returns this progress of a job.
pub async fn wait_for_progress(service: &Rc<dyn CallerService>, job: &str, progress: JobProgress) {
    let request = CallerAction::Status(job.into());
    wait_for_answer(service, request, CallerAnswer::Found(progress)).await;
}

pub async fn wait_for_answer(
    service: &Rc<dyn CallerService>,
    request: CallerAction,
    wanted: CallerAnswer,
) {
    let end = tokio::time::Instant::now() + LIMIT;
    let mut answer = service.answer(call(request.clone())).await;
    while answer != wanted {
        assert!(tokio::time::Instant::now() < end, "still {answer:?}");
        sleep(Duration::from_millis(20)).await;
        answer = service.answer(call(request.clone())).await;
    }
}

pub async fn submit_until_accepted(service: &Rc<dyn CallerService>, job: &str) {
    let end = tokio::time::Instant::now() + LIMIT;
    while service.answer(submit(job)).await != CallerAnswer::Accepted {
        assert!(tokio::time::Instant::now() < end);
        sleep(Duration::from_millis(20)).await;
    }
}
