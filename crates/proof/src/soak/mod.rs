mod caller_jobs;
mod fault_drive;
mod fault_plan;
mod soak_check;
mod soak_fleet;
mod soak_run;

pub use caller_jobs::CallerJob;
pub use fault_plan::{FAULT_KINDS, FaultKind, PlannedFault, plan_faults};
pub use soak_check::{DrainPeriod, HeldUp, SoakHistory, SoakTally, check_soak};
pub use soak_run::{SoakPlan, SoakReport, run_soak};
