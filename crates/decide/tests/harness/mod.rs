//! A desk with orders that the test answers by hand, hosts that do what they are told, and a seeded model of owners, targets and
//! the log.
#![allow(dead_code, unused_imports)]

mod fleet_fixture;
pub mod queue_load;
mod scheduler_fixture;
mod sim_calls;
mod sim_check_cancels;
mod sim_checks;
mod sim_faults;
mod sim_host_list;
mod sim_log;
mod sim_requests;
mod sim_target;
mod simulation;

pub use fleet_fixture::{FleetFixture, STANDBY};
pub use scheduler_fixture::{
    POOL, QUEUE, RESTARTED_AT, SchedulerFixture, WORKSPACE, end_report, long_running_pair, plan,
    policy_with_limit, restarted_target, run_report, step, target,
};
pub use sim_faults::WorldFaults;
pub use sim_target::SimTarget;
pub use simulation::Simulation;
