//! Which worker a job goes to, and which workers are not to be trusted.
//!
//! Start with [`WorkerTable`]. It holds what one entry host knows of the workers: what it
//! has placed, what usage they reported some seconds ago, and which jobs failed where.
//! See `docs/design/09-jobs.md`.

mod size_estimates;
mod worker_table;

pub use size_estimates::SizeEstimates;
pub use worker_table::{JobSize, PlacementRefusal, WorkerTable, WorkerUsage};
