//! Placement of jobs on workers, and detection of workers that fail their jobs.
//!
//! Start with [`WorkerTable`]. It holds what one entry host knows about the workers: the jobs that
//! it placed, the usage that the workers reported some seconds ago, and which jobs failed where.
//! See `docs/design/09-jobs.md`.

mod size_estimates;
mod worker_table;

pub use size_estimates::SizeEstimates;
pub use worker_table::{JobSize, PlacementRefusal, WorkerTable, WorkerUsage};
