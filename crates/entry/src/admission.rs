//! Queues of admitted requests, and the choice of what starts next and where.
//!
//! Start with [`AdmissionLoop`]: one thread owns every queue, the use of every target and
//! the retries, so that none of it needs a lock. [`PoolQueue`] orders the requests of one
//! pool, [`TargetTable`] knows what runs where.

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
