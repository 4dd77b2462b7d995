//! Randomized models of maintenance with losses, store outages and two concurrent planners. A
//! failing case prints its seed.
#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{FleetSimulation, GuardFault, SimulationOptions};
use rstest::rstest;

const SEEDS: u64 = 16;
const RUN: Duration = Duration::from_secs(1200);

fn first_violation(fault: GuardFault) -> Option<(u64, u32, String)> {
    let runs = (0..SEEDS).flat_map(|seed| [(seed, 5), (seed, 7)]);
    runs.into_iter().find_map(|(seed, budget)| {
        let options = SimulationOptions {
            fault,
            budget,
            ..SimulationOptions::default()
        };
        let mut world = FleetSimulation::new(options, seed);
        world.run(RUN);
        let violation = world.violations.first()?;
        Some((seed, budget, violation.clone()))
    })
}

#[test]
fn plan_keeps_budgets() {
    // Guards against a pool below its budget, which shows as refused or late work. Hosts fail while
    // others are out for maintenance, the store becomes unreachable, and two entry hosts plan at
    // once from maps of different age.
    assert_eq!(first_violation(GuardFault::None), None);
}

#[rstest]
#[case::write_unguarded(GuardFault::WriteUnguarded)]
#[case::losses_ignored(GuardFault::LossesIgnored)]
#[case::old_health(GuardFault::OldHealth)]
#[case::reboot_undrained(GuardFault::RebootUndrained)]
#[case::one_domain(GuardFault::OneDomain)]
#[case::health_of_other_phase(GuardFault::HealthOfOtherPhase)]
fn checks_catch_missing_guard(#[case] fault: GuardFault) {
    let caught = first_violation(fault);
    assert!(caught.is_some(), "no seed of {SEEDS} shows {fault:?}");
}

#[test]
fn plan_maintains_every_host() {
    let options = SimulationOptions {
        losses_per_hour: 0.0,
        store_outages: false,
        ..SimulationOptions::default()
    };
    let mut world = FleetSimulation::new(options, 7);
    world.run(RUN);
    let reboots = world.reboots();
    assert!(reboots.iter().all(|count| *count >= 1), "{reboots:?}");
    assert!(world.conflicts > 0, "two planners never conflicted");
}

#[test]
fn plan_halts_when_hosts_fail_to_return() {
    // Guards against a bad image that takes down all pools: every rebooted host stays down, and
    // only the first two hosts of the fleet may be lost to it.
    let options = SimulationOptions {
        pools: 12,
        losses_per_hour: 0.0,
        store_outages: false,
        never_returns: 1.0,
        at_once: 1,
        ..SimulationOptions::default()
    };
    let mut world = FleetSimulation::new(options, 3);
    world.run(RUN * 4);
    let rebooted: u32 = world.reboots().iter().sum();
    assert_eq!(rebooted, 2, "more hosts than the first were rebooted");
}
