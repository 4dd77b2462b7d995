//! A cell on in-memory ports: a store with leases and faults, targets that complete tasks at once,
//! and a host list of two targets.
#![allow(dead_code, unused_imports)]

mod caller_calls;
mod log_capture;
mod memory_ports;
mod memory_store;
mod stub_owner;
mod successors;
mod test_cell;

pub use caller_calls::{KEY, call, plan, submit};
pub use log_capture::LogCapture;
pub use memory_ports::{
    ADVISED, EmptyHostControl, MemoryAdvice, MemoryTargets, free_address, policy_text, ports_on,
};
pub use memory_store::{MemoryStore, StoreMode};
pub use stub_owner::StubOwner;
pub use successors::{
    LOG, OWNER, large_job, narrow_limits, new_store, owner_name, put_entry, put_long_log, put_page,
    start_host, start_host_with_ports, start_host_with_targets, start_owner_with_long_log,
    strong_limits, wait_for_owner, wait_for_page, weak_limits,
};
pub use test_cell::{
    LIMIT, TestCell, start_cell, store_with_policy, submit_until_accepted, wait_for_answer,
    wait_for_progress,
};

use tokio::task::LocalSet;

/// Runs a test on its own event loop.
pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.unwrap_or_else(|error| panic!("no runtime: {error}"));
    LocalSet::new().block_on(&runtime, test);
}
