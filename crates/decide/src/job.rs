//! What becomes of a job: attempts, retries, parking, and what is settled after a failure.
//!
//! Start with [`JobState::after_report`], which takes what a worker said of an attempt. A
//! start is recorded before it is sent, so whoever finds the record knows which worker
//! may have the task, and asks that worker before anything else. See
//! `docs/design/09-jobs.md`.

mod attempt_report;
mod job_state;

pub use attempt_report::{AttemptAction, AttemptReport, JobPolicy, ReportContext};
pub use job_state::{JobSpec, JobState, PhaseKind};
pub use wire::fleet::JobPhase;
