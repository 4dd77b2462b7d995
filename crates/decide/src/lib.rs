//! Pure decisions on leases, quotas, shares, placement and maintenance.
//!
//! Time, state and messages come in as values, and what to do comes out as values: nothing
//! here reads a clock, starts a thread or opens a socket. `scripts/check` holds the crate
//! to that. The design notes in `docs/design/` argue each mechanism.

pub mod budget;
pub mod call_budget;
pub mod claim;
pub mod config;
pub mod eject;
pub mod job;
pub mod lease;
pub mod link_bounds;
pub mod member;
pub mod moves;
pub mod placement;
pub mod quota;
pub mod rendezvous;
pub mod retry;
pub mod share;
pub mod wave;
pub mod work;
