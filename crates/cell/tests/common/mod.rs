//! A cell on ports in memory: a store with leases and faults, targets that do their work at
//! once, a host list of two targets.
#![allow(dead_code, unused_imports)]

mod caller_calls;
mod cell_bench;
mod memory_ports;
mod memory_store;
mod successors;

pub use caller_calls::{KEY, call, plan, submit};
pub use cell_bench::{
    CellBench, LIMIT, accepted, start_cell, store_with_terms, until, until_shown,
};
pub use memory_ports::{MemoryTargets, NoControl, free_address, ports_on, terms_text};
pub use memory_store::{MemoryStore, StoreSwitch};
pub use successors::{
    LOG, OWNER, large_job, narrow, new_store, owner, put_entry, put_long_log, put_page, start_host,
    start_on, start_with, strong, until_owner, until_page, weak,
};

use tokio::task::LocalSet;

/// Runs a test on an event loop of its own.
pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.unwrap_or_else(|error| panic!("no runtime: {error}"));
    LocalSet::new().block_on(&runtime, test);
}
