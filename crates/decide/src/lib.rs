//! Pure decision logic for leases, quotas, shares, placement and maintenance.
//!
//! Time, state and messages are passed in as values, and actions are returned as values. Nothing
//! here reads a clock, starts a thread or opens a socket; `scripts/check` enforces that. The design
//! notes in `docs/design/` explain each mechanism.

pub mod budget;
pub mod call_budget;
pub mod claim;
pub mod config;
pub mod eject;
mod float;
pub mod job;
pub mod lease;
pub mod link_bounds;
pub mod max_min;
pub mod member;
pub mod moves;
pub mod order_timeout;
pub mod placement;
pub mod quota;
pub mod refused_queues;
pub mod rendezvous;
pub mod retry;
pub mod share;
pub mod watch_bounds;
pub mod wave;
pub mod work;
