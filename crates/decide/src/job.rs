//! What becomes of a job: attempts, retries, parking, and what is settled after a failure.
//!
//! Start with [`JobState::after_sight`], which takes what a worker said of an attempt. A
//! start is recorded before it is sent, so whoever finds the record knows which worker
//! may have the task, and asks that worker before anything else. See
//! `docs/design/09-jobs.md`.

mod job_state;
mod task_sight;

pub use job_state::{JobSpec, JobState, PhaseKind};
pub use task_sight::{JobPolicy, SightFacts, StepAction, TaskSight};
pub use wire::fleet::JobPhase;
