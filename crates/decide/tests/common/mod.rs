//! A seeded simulation of hosts, their list and two planners, for property tests.
#![allow(dead_code)]

mod fleet_simulation;

pub use fleet_simulation::{FleetSimulation, GuardFault, SimulationOptions};
