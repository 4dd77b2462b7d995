//! A scheduler with orders that the test answers by hand, hosts that carry out every order, and a
//! seeded simulation of owners, targets and the log.
#![allow(dead_code, unused_imports)]

mod advice_fixture;
mod busy_owner;
mod fleet_fixture;
pub mod queue_load;
mod scheduler_fixture;
mod timed_owner;
mod world;
mod world_call;
mod world_cancel;
mod world_check;
mod world_drain;
mod world_faults;
mod world_list;
mod world_log;
mod world_moves;
mod world_partition;
mod world_requests;
mod world_target;

pub use advice_fixture::{AdviceFixture, QUICK_ADVICE, SLOW_ADVICE, ServiceMode};
pub use busy_owner::{BusyOwner, ServedJobs};
pub use fleet_fixture::{FleetFixture, STANDBY};
pub use scheduler_fixture::{
    OTHER_POOL, POOL, QUEUE, RESTARTED_AT, SchedulerFixture, WORKSPACE, end_report, job_record,
    long_running_pair, plan, policy_with_limit, restarted_target, run_report, step, target,
};
pub use timed_owner::TimedOwner;
pub use world::Simulation;
pub use world_faults::WorldFaults;
pub use world_target::SimTarget;
