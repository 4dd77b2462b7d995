//! Small in-process stand-ins for tests of the fleet: store, host list, hosts.
#![allow(dead_code, clippy::expect_used)]

mod fake_fleet;
mod memory_store;

pub use fake_fleet::{FakeFleet, FixedConfig, FixedMembers, FreeQuota, wait_for};
pub use memory_store::MemoryStore;
