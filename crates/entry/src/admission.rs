//! Queues of admitted requests, and the choice of what starts next and where.
//!
//! Start with [`AdmissionLoop`]: one thread owns every queue, the use of every target and
//! the retries, so that none of it needs a lock. [`PoolQueue`] orders the requests of one
//! pool, [`TargetTable`] knows what runs where.

mod admission_loop;
mod demand_meter;
mod held_work;
mod pool_desk;
mod pool_queue;
mod settle_work;
mod start_work;
mod target_table;

pub(crate) use admission_loop::{AdmissionConfig, AdmissionInbox, AdmissionLoop, LoopCommand};
pub(crate) use target_table::{RunningCounts, TargetTable};
