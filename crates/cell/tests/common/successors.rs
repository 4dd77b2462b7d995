use std::{rc::Rc, time::Duration};

use cell::{CellHost, CellOptions, CellPorts, HostLimits};
use prost::Message;
use rand::{Rng, SeedableRng, distr::Alphanumeric, rngs::StdRng};
use tokio::time::{Instant, sleep};
use wire::work::{JobRecord, LogEntry, LogPage, OwnerRecord, StepRecord, log_entry::Event};

use super::{
    LIMIT, MemoryStore, MemoryTargets, free_address, ports_on, start_cell, store_with_policy,
};

pub const OWNER: &str = "cell/owner";
pub const LOG: &str = "cell/log/";

pub fn strong_limits() -> HostLimits {
    HostLimits::default()
}

pub fn weak_limits() -> HostLimits {
    HostLimits {
        link_mbps: 10.0,
        ..strong_limits()
    }
}

/// The narrow link of a fleet whose lists and logs fill it.
pub fn narrow_limits() -> HostLimits {
    HostLimits {
        link_mbps: 2.0,
        ..strong_limits()
    }
}

pub fn start_host(name: &str, store: &MemoryStore, limits: HostLimits) -> Rc<CellHost> {
    start_host_with_targets(name, store, limits, &MemoryTargets::default())
}

pub fn start_host_with_targets(
    name: &str,
    store: &MemoryStore,
    limits: HostLimits,
    targets: &MemoryTargets,
) -> Rc<CellHost> {
    let options = CellOptions {
        limits,
        ..CellOptions::new(name.into(), free_address(), free_address())
    };
    start_host_with_ports(options, ports_on(store, targets))
}

pub fn start_host_with_ports(options: CellOptions, ports: CellPorts) -> Rc<CellHost> {
    Rc::new(start_cell(options, ports))
}

pub fn new_store() -> MemoryStore {
    let store = store_with_policy();
    store.put("targets/t1", b"ready");
    store
}

pub fn owner_name(store: &MemoryStore) -> Option<String> {
    let record = OwnerRecord::decode(store.value(OWNER)?.as_slice());
    record.ok().map(|record| record.member)
}

pub async fn wait_for_owner(store: &MemoryStore, wanted: &str) {
    let end = Instant::now() + LIMIT;
    while owner_name(store).as_deref() != Some(wanted) {
        assert!(Instant::now() < end, "still {:?}", owner_name(store));
        sleep(Duration::from_millis(5)).await;
    }
}

/// Writes a page of the log as an owner with this token.
pub fn put_page(store: &MemoryStore, page: usize, token: u64) {
    put_entry(store, page, Event::HandedOver(token));
}

pub fn put_entry(store: &MemoryStore, page: usize, event: Event) {
    let entry = LogEntry { event: Some(event) };
    let value = LogPage {
        entries: vec![entry],
        ..LogPage::default()
    };
    store.put(&format!("{LOG}{page:012}"), &value.encode_to_vec());
}

/// Text that compression does not make shorter.
fn incompressible_text(length: usize, seed: u64) -> String {
    let mut dice = StdRng::seed_from_u64(seed);
    let letters = (0..length).map(|_| char::from(dice.sample(Alphanumeric)));
    letters.collect()
}

/// A job whose record is not compressible.
pub fn large_job(number: u64) -> JobRecord {
    JobRecord {
        job: format!("job{number}"),
        queue: "queue".to_owned(),
        pool: "another".to_owned(),
        payload: incompressible_text(3000, number),
        steps: vec![StepRecord {
            count: 1,
            ..StepRecord::default()
        }],
        ..JobRecord::default()
    }
}

/// Starts an owner behind a narrow link with a log so long that it refuses jobs.
pub async fn start_owner_with_long_log(
    store: &MemoryStore,
    targets: &MemoryTargets,
) -> Rc<CellHost> {
    put_long_log(store);
    targets.set_blocked(true);
    let host = start_host_with_targets("a", store, narrow_limits(), targets);
    wait_for_owner(store, "a").await;
    sleep(Duration::from_millis(500)).await;
    host
}

/// Writes a log of a hundred pages, of jobs whose entries are not compressible.
pub fn put_long_log(store: &MemoryStore) {
    for number in 0..100 {
        put_entry(store, number as usize, Event::Accepted(large_job(number)));
    }
}

/// Waits until a page of the log exists. The first page of an owner shows that it has read the ones
/// before.
pub async fn wait_for_page(store: &MemoryStore, page: usize) {
    let end = Instant::now() + LIMIT;
    while store.value(&format!("{LOG}{page:012}")).is_none() {
        assert!(Instant::now() < end, "the log was not read");
        sleep(Duration::from_millis(20)).await;
    }
}
