//! Pools, hosts, maintenance waves, moves and jobs on workers.
//!
//! Start with [`FleetService::start`]. It keeps the pool map current, tells the other
//! areas which targets a pool has, and on one entry host at a time plans outages and
//! carries them out. The decisions are in `decide::budget` and `decide::wave`; here they
//! meet the store, the host list and the hosts. See `docs/design/07-fleet.md`.

pub mod event;

mod duty_owner;
mod fleet_audit;
mod fleet_service;
mod fleet_shared;
mod host_port;
mod host_watch;
mod map_store;
mod planner;
mod probe_pool;
mod target_view;

pub use fleet_service::{FleetOptions, FleetService};
pub use fleet_shared::FleetTiming;
pub use host_port::{HealthReport, HostPort, HttpPort};
pub use map_store::{CommitOutcome, MapSnapshot, MapStore};
