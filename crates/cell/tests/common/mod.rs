//! A cell on ports in memory: a store with leases and faults, targets that do their work at
//! once, a host list of two targets.
#![allow(dead_code)]

mod memory_ports;
mod memory_store;

pub use memory_ports::{MemoryTargets, free_address, ports_on, terms_text};
pub use memory_store::{MemoryStore, StoreSwitch};
