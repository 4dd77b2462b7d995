//! The state machine of a job: attempts, retries, parking, and its result after a failure.
//!
//! Start with [`JobState::after_report`], which takes a worker's report on an attempt. A start is
//! recorded before it is sent. So a successor that reads the record knows which worker may have the
//! task, and polls that worker before anything else. See `docs/design/09-jobs.md`.

mod attempt_report;
mod job_state;

pub use attempt_report::{AttemptAction, AttemptStatus, JobPolicy, ReportContext};
pub use job_state::{JobSpec, JobState, PhaseKind};
pub use wire::fleet::JobPhase;
