//! Queues of admitted requests and the choice of which request starts next, and on which
//! target.
//!
//! Start with [`AdmissionLoop`]: a single thread owns all queues, the usage of each target
//! and the retries, so this state needs no locks. [`PoolQueue`] orders the requests of one
//! pool, [`TargetTable`] tracks the requests in flight on each target.

mod admission_loop;
mod demand_meter;
mod finish_attempt;
mod pool_queue;
mod pool_state;
mod resource_hold;
mod start_requests;
mod target_table;

pub(crate) use admission_loop::{AdmissionConfig, AdmissionInbox, AdmissionLoop, LoopCommand};
pub(crate) use target_table::{RunningCounts, TargetTable};
