//! Data types of the work scheduler: jobs of steps and tasks, resources of targets, and the policy
//! that operators set for queues, pools and workspaces.
//!
//! Start with [`JobPlan`], what a caller submits, and [`FleetPolicy`], what operators configure.
//! [`StartOrder`] and similar types are the orders to targets; [`TargetReport`] is a target's
//! answer to a poll.

mod fleet_host;
mod fleet_policy;
mod job_plan;
mod maintenance_wave;
mod resource_vector;
mod sharing_modes;
mod target_entry;
mod target_order;
mod target_report;
mod task_key;

pub use fleet_host::{FleetHost, HostCondition, HostOrderAnswer, OrderSender};
pub use fleet_policy::{AdvicePolicy, FleetPolicy, PoolPolicy, QueuePolicy, WorkspacePolicy};
pub use job_plan::{JobPlan, PlanError, RepeatPlan, StepPlan};
pub use maintenance_wave::{MaintenanceWave, WaveId};
pub use resource_vector::ResourceVector;
pub use sharing_modes::SharingModes;
pub use target_entry::{TargetEntry, TargetMode};
pub use target_order::{
    AttemptNumber, FencingToken, OrderAnswer, PollOrder, StartAnswer, StartOrder, StartRefusal,
    StopOrder, TargetAddress, ThrottleOrder,
};
pub use target_report::{EndKind, EndReport, PollAnswer, RunReport, TargetReport};
pub use task_key::TaskKey;
