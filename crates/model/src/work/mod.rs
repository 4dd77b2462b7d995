//! What the job core works on: jobs of steps and tasks, rooms of targets, and the terms that
//! operators set for queues, pools and workspaces.
//!
//! Start with [`JobPlan`], what a caller hands in, and [`FleetConfig`], what operators ask for.
//! Orders to targets are in [`StartOrder`] and its like, what they say in [`TargetReport`].

mod fleet_config;
mod fleet_host;
mod job_plan;
mod maintenance_wave;
mod resources;
mod target_entry;
mod target_order;
mod target_report;
mod task_key;

pub use fleet_config::{AdviceConfig, FleetConfig, PoolConfig, QueueConfig, WorkspaceConfig};
pub use fleet_host::{FleetHost, HostCondition, HostOrderResponse, OrderSender};
pub use job_plan::{JobPlan, PlanError, RepeatPlan, StepPlan};
pub use maintenance_wave::{MaintenanceWave, WaveId};
pub use resources::Resources;
pub use target_entry::{TargetEntry, TargetMode};
pub use target_order::{
    AttemptNumber, FencingToken, OrderResponse, PollRequest, StartOrder, StartRefusal,
    StartResponse, StopOrder, TargetAddress, ThrottleOrder,
};
pub use target_report::{EndKind, EndReport, PollResponse, RunReport, TargetReport};
pub use task_key::TaskKey;
