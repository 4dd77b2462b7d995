//! Pools, hosts, maintenance waves, moves and jobs on workers.
//!
//! Start with [`FleetService::start`]. It keeps the pool map current, provides the targets
//! of each pool, and plans and executes outages on one entry host at a time. The decisions
//! are in `decide::budget` and `decide::wave`; this crate connects them to the store, the
//! host list and the hosts. See `docs/design/07-fleet.md`.

pub mod event;

mod duty_owner;
mod fleet_audit;
mod fleet_service;
mod fleet_shared;
mod held_job;
mod holder_order;
mod host_port;
mod host_watch;
mod job_call;
mod job_flush;
mod job_holder;
mod job_keeper;
mod job_log;
mod job_order;
mod job_service;
mod job_settle;
mod job_start;
mod list_view;
mod map_store;
mod pending_flush;
mod planner;
mod probe_pool;
mod target_view;
mod worker_port;

pub use fleet_service::{FleetOptions, FleetService};
pub use fleet_shared::FleetTiming;
pub use host_port::{HealthReport, HostPort, HttpPort};
pub use job_holder::JobTiming;
pub use job_log::{AppendOutcome, JobLog};
pub use map_store::{CommitOutcome, MapSnapshot, MapStore};
pub use worker_port::{HttpWorker, WorkerPort, WorkerReport};
