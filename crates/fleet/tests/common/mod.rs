//! In-process fakes for tests of the fleet crate: store, host list and hosts.
#![allow(dead_code, unused_imports, clippy::expect_used)]

mod fake_fleet;
mod fleet_scene;
mod job_scene;
mod memory_store;

pub use fake_fleet::{AuditLog, FakeFleet, FixedConfig, FixedMembers, FreeQuota, wait_for};
pub use fleet_scene::{FleetScene, eight_hosts, serving_hosts, short_limits, window_manifest};
pub use job_scene::{JobScene, job_request, short_policy, short_timing, submit, wait_phase};
pub use memory_store::MemoryStore;
