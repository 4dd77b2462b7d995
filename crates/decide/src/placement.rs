//! Which worker a job goes to, and which workers are not to be trusted.
//!
//! Start with [`WorkerBook`]. It holds what one entry host knows of the workers: what it
//! has placed, what usage they reported some seconds ago, and which jobs failed where.
//! See `docs/design/09-jobs.md`.

mod size_book;
mod worker_book;

pub use size_book::SizeBook;
pub use worker_book::{JobSize, PlaceRefusal, WorkerBook, WorkerUsage};
