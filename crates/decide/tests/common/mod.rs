//! A seeded model of hosts, their list and two planners, for property tests.
#![allow(dead_code)]

mod fleet_world;

pub use fleet_world::{FleetWorld, GuardFault, WorldOptions};
