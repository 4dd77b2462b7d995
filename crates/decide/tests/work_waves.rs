//! Maintenance waves over hosts with long-running tasks: they complete in time, and no task is
//! stopped without another host to move to.

mod harness;

use std::time::Duration;

use harness::{FleetFixture, plan, step};
use model::work::StepPlan;

const DEADLINE: Duration = Duration::from_secs(25);

fn long_running_step(count: u32, cpu: u64) -> StepPlan {
    StepPlan {
        long_running: true,
        max_unavailable: 1,
        ..step(count, cpu)
    }
}

/// Submits jobs of one step each, and waits until their tasks run.
fn submit_and_start(fleet: &mut FleetFixture, steps: Vec<StepPlan>) {
    fleet.start_targets();
    for (number, step) in (0..).zip(steps) {
        fleet
            .fixture
            .submit(&format!("job{number}"), &plan(vec![step]));
    }
    fleet.advance(Duration::from_secs(3));
    fleet.stops = 0;
    fleet.max_tasks_missing = 0;
}

/// Three hosts of a wave were not drained for 20 s: all hosts of their pool were draining at once,
/// so the tasks could not move, and each stopped task returned to the same host, second after
/// second.
#[test]
fn wave_over_whole_pool_adds_hosts() {
    let mut fleet = FleetFixture::new(3, 4, 32_000);
    submit_and_start(
        &mut fleet,
        vec![long_running_step(6, 3600), long_running_step(5, 3850)],
    );
    fleet.request_maintenance(0..3, 9, DEADLINE);
    let took = fleet.run_until_done(DEADLINE);
    assert!(took < DEADLINE, "the wave is late");
    assert_eq!((fleet.restarts_in_place, fleet.killed_runs), (0, 0));
    assert_eq!((fleet.stops, fleet.max_tasks_missing), (11, 1));
}

/// As above, but no host can be added: the tasks fit on the pool's own hosts as long as not all of
/// them drain at once.
#[test]
fn wave_over_whole_pool_keeps_one_open() {
    let mut fleet = FleetFixture::new(3, 0, 32_000);
    submit_and_start(
        &mut fleet,
        vec![long_running_step(6, 3600), long_running_step(5, 3850)],
    );
    fleet.request_maintenance(0..3, 9, DEADLINE);
    let took = fleet.run_until_done(DEADLINE);
    assert!(took < DEADLINE, "the wave is late");
    assert_eq!((fleet.restarts_in_place, fleet.killed_runs), (0, 0));
    assert_eq!(fleet.max_tasks_missing, 1);
    assert!(fleet.longest_restart < Duration::from_millis(1500));
}

/// As above, but at most two tasks may share a host. They are spread over one host more than they
/// need, so no host is empty and one task has to move twice.
#[test]
fn wave_over_anti_affinity_moves_few() {
    let mut fleet = FleetFixture::new(5, 0, 32_000);
    let with_anti_affinity = StepPlan {
        anti_affinity: 2,
        ..long_running_step(8, 3600)
    };
    submit_and_start(&mut fleet, vec![with_anti_affinity]);
    fleet.request_maintenance(0..5, 5, DEADLINE);
    let took = fleet.run_until_done(DEADLINE);
    assert!(took < DEADLINE, "the wave is late");
    assert_eq!((fleet.restarts_in_place, fleet.killed_runs), (0, 0));
    assert_eq!((fleet.stops, fleet.max_tasks_missing), (9, 1));
    assert!(fleet.longest_restart < Duration::from_millis(1500));
}

/// As above, but no two tasks may share a host: each is stopped only once another host can run it.
#[test]
fn wave_over_exclusive_tasks_keeps_them_running() {
    let mut fleet = FleetFixture::new(5, 4, 32_000);
    let with_anti_affinity = StepPlan {
        anti_affinity: 1,
        ..long_running_step(4, 3600)
    };
    submit_and_start(&mut fleet, vec![with_anti_affinity]);
    fleet.request_maintenance(0..5, 5, DEADLINE);
    let took = fleet.run_until_done(DEADLINE);
    assert!(took < DEADLINE, "the wave is late");
    assert_eq!((fleet.restarts_in_place, fleet.killed_runs), (0, 0));
    assert_eq!((fleet.stops, fleet.max_tasks_missing), (4, 1));
    assert!(fleet.longest_restart < Duration::from_millis(1500));
}

/// As above, but the pool has other hosts, without the label that the tasks require: a switched-off
/// host with the label must be added.
#[test]
fn wave_over_labelled_hosts_adds_labelled_host() {
    let mut fleet = FleetFixture::new(5, 4, 32_000);
    for number in [0, 1, 7] {
        fleet.add_label(number, "large");
    }
    let labelled = StepPlan {
        required_label: "large".into(),
        ..long_running_step(6, 3600)
    };
    submit_and_start(&mut fleet, vec![labelled]);
    fleet.request_maintenance(0..2, 2, DEADLINE);
    let took = fleet.run_until_done(DEADLINE);
    assert!(took < DEADLINE, "the wave is late");
    assert_eq!((fleet.restarts_in_place, fleet.killed_runs), (0, 0));
}

/// As above, but the other hosts of the pool are full: each task needs half a host, which no host
/// has free.
#[test]
fn wave_over_full_hosts_adds_host() {
    let mut fleet = FleetFixture::new(4, 4, 32_000);
    submit_and_start(&mut fleet, vec![long_running_step(8, 15_000)]);
    fleet.request_maintenance(0..2, 2, DEADLINE);
    let took = fleet.run_until_done(DEADLINE);
    assert!(took < DEADLINE, "the wave is late");
    assert_eq!((fleet.restarts_in_place, fleet.killed_runs), (0, 0));
    assert_eq!(fleet.max_tasks_missing, 1);
}

/// If no host can be added, a task that may be unavailable stays away while its host is maintained.
/// The wave must not wait for a replacement that never comes.
#[test]
fn wave_without_replacement_completes() {
    let mut fleet = FleetFixture::new(3, 0, 32_000);
    let with_anti_affinity = StepPlan {
        anti_affinity: 1,
        ..long_running_step(3, 3600)
    };
    submit_and_start(&mut fleet, vec![with_anti_affinity]);
    fleet.request_maintenance(0..3, 3, DEADLINE);
    let took = fleet.run_until_done(DEADLINE);
    assert!(took < DEADLINE, "the wave is late");
    assert_eq!((fleet.killed_runs, fleet.max_tasks_missing), (0, 1));
}

/// If no host can be added and a host has more tasks of a step than may be unavailable, the tasks
/// keep running: stopping one of them would not empty the host.
#[test]
fn wave_without_capacity_stops_no_task() {
    let mut fleet = FleetFixture::new(3, 0, 32_000);
    submit_and_start(&mut fleet, vec![long_running_step(6, 15_000)]);
    fleet.request_maintenance(0..3, 3, DEADLINE);
    fleet.run_until_done(DEADLINE);
    assert_eq!(
        (fleet.stops, fleet.killed_runs, fleet.max_tasks_missing),
        (0, 0, 0)
    );
}

/// A wave with `max_down` of two over a pool that is being drained keeps to two hosts at once.
#[test]
fn wave_with_moves_respects_max_down() {
    let mut fleet = FleetFixture::new(4, 4, 32_000);
    submit_and_start(
        &mut fleet,
        vec![long_running_step(8, 3600), long_running_step(8, 3600)],
    );
    fleet.request_maintenance(0..4, 2, DEADLINE);
    let took = fleet.run_until_done(DEADLINE);
    assert!(took < DEADLINE, "the wave is late");
    assert_eq!((fleet.restarts_in_place, fleet.killed_runs), (0, 0));
    assert!(fleet.max_hosts_down <= 2);
}
