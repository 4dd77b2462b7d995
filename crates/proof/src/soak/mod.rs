mod bounds_plan;
mod caller_jobs;
mod fault_drive;
mod fault_plan;
mod page_view;
mod partition_drive;
mod soak_check;
mod soak_fleet;
mod soak_run;
mod soak_trace;

pub use bounds_plan::{PartitionPeriod, PlannedPartition, SoakSchedule};
pub use caller_jobs::CallerJob;
pub use fault_plan::{FAULT_KINDS, FaultKind, PlannedFault, plan_faults};
pub use soak_check::{DrainPeriod, HeldUp, SoakHistory, SoakTally, check_soak};
pub use soak_run::{SoakPlan, SoakReport, run_soak};
pub use soak_trace::trace_task;
