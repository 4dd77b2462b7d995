//! What the job core works on: jobs of steps and tasks, rooms of targets, and the terms that
//! operators set for queues, pools and workspaces.
//!
//! Start with [`JobPlan`], what a caller hands in, and [`FleetTerms`], what operators ask for.
//! Orders to targets are in [`StartOrder`] and its like, what they say in [`TargetSight`].

mod fleet_host;
mod fleet_terms;
mod host_room;
mod job_plan;
mod maintenance_wave;
mod target_entry;
mod target_order;
mod target_sight;
mod task_key;

pub use fleet_host::{FleetHost, HostCondition, HostOrderAnswer, OrderSender};
pub use fleet_terms::{AdviceTerms, FleetTerms, PoolTerms, QueueTerms, WorkspaceTerms};
pub use host_room::HostRoom;
pub use job_plan::{JobPlan, PlanFault, RepeatPlan, StepPlan};
pub use maintenance_wave::{MaintenanceWave, WaveId};
pub use target_entry::{TargetEntry, TargetMode};
pub use target_order::{
    AttemptNumber, FencingToken, LookOrder, OrderAnswer, PaceOrder, StartAnswer, StartOrder,
    StartRefusal, StopOrder, TargetAddress,
};
pub use target_sight::{EndKind, EndSight, LookAnswer, RunSight, TargetSight};
pub use task_key::TaskKey;
