//! A desk with orders that the test answers by hand, hosts that do what they are told, and a seeded model of owners, targets and
//! the log.
#![allow(dead_code, unused_imports)]

mod fleet;
mod scene;
pub mod turn;
mod world;
mod world_ask;
mod world_call;
mod world_cancel;
mod world_check;
mod world_faults;
mod world_list;
mod world_log;
mod world_target;

pub use fleet::{FleetScene, STANDBY};
pub use scene::{
    DeskScene, LATER, POOL, QUEUE, SPACE, ended, lasting_pair, plan, reborn, running, step, target,
    terms_with_limit,
};
pub use world::DeskWorld;
pub use world_faults::WorldFaults;
pub use world_target::WorldTarget;
