//! Limits, at-most-once runs, graceful shutdown and maintenance under combined faults.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

mod proof_common;

use std::{thread, time::Duration};

use fake::{ExecutorFaults, FaultRate};
use proof::{CrewPlan, FleetPlan};
use proof_common::{EVENT_TIMEOUT, ProofFixture, TeamLimits, manifest};
use rand::{Rng, SeedableRng, rngs::StdRng};

const TIGHT_LIMITS: TeamLimits = [("weights", 5), ("coding", 3)];

#[test]
fn limit_under_kills_and_pauses() {
    // Both teams request far more than their limits, from all entry hosts at once. Hosts are
    // killed, or paused beyond their leases, at random. The limit is exceeded if another host
    // takes over the quota of a lost host before the work that it started has ended.
    let seed = 31;
    let mut fixture = ProofFixture::with_limits(seed, &FleetPlan::default(), &TIGHT_LIMITS);
    let plan = CrewPlan {
        callers: 30,
        service_time: Duration::from_millis(300),
        pause: Duration::from_millis(5),
        deadline: Duration::from_secs(3),
        ..fixture.crew_plan()
    };
    let crew = fixture.crew_with(plan);
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..4 {
        let index = rng.random_range(0..3);
        if rng.random_bool(0.5) {
            fixture.replace(index, Duration::from_millis(rng.random_range(0..800)));
        } else {
            fixture.pause(index, Duration::from_millis(rng.random_range(2500..4500)));
        }
        fixture.expect_answers(&crew, 15);
    }
    crew.finish();
    fixture.expect_valid_history();
}

#[test]
fn once_answers_lost_and_hosts_killed() {
    // A fifth of all answers is lost after the run, and entry hosts are killed. Callers retry
    // the same request id through other entry hosts; it must not run twice.
    let mut fixture = ProofFixture::start(32, &FleetPlan::default());
    for index in 0..3 {
        let faults = ExecutorFaults {
            lose_answers: FaultRate::by_chance(0.2),
            seed: index as u64,
            ..ExecutorFaults::default()
        };
        fixture.fleet.set_target(index, &faults).unwrap();
    }
    let plan = CrewPlan {
        callers: 20,
        idempotent: 0.1,
        deadline: Duration::from_secs(2),
        ..fixture.crew_plan()
    };
    let crew = fixture.crew_with(plan);
    for index in 0..3 {
        fixture.expect_answers(&crew, 100);
        fixture.replace(index, Duration::from_millis(100));
    }
    fixture.expect_answers(&crew, 100);
    crew.finish();
    fixture.expect_valid_history();
}

#[test]
fn shutdown_cuts_nothing() {
    // An entry host gets SIGTERM while requests with a run time of half a second are in flight.
    // Each must get its answer, new ones are refused as not run, and the process must exit.
    let mut fixture = ProofFixture::start(33, &FleetPlan::default());
    let plan = CrewPlan {
        service_time: Duration::from_millis(250),
        ..fixture.crew_plan()
    };
    let crew = fixture.crew_with(plan);
    for index in 0..3 {
        let entry = &mut fixture.fleet.entries[index];
        let mut process = entry.process.take().unwrap();
        process.terminate().unwrap();
        let status = process.wait_exit(EVENT_TIMEOUT).unwrap();
        assert!(status.success(), "{status}");
        entry.start().unwrap();
        fixture.fleet.await_serving(EVENT_TIMEOUT).unwrap();
        let place = fixture.place(index).clone();
        fixture.expect_answer(&place);
    }
    let tally = crew.finish();
    fixture.expect_no_request_cut(tally);
    fixture.expect_valid_history();
}

#[test]
fn wave_cuts_nothing() {
    // Every executor is always due for maintenance, under load. Drains and reboots must be
    // sequential: no request may be cut off by a reboot, and at most one executor of three may
    // be out of service at any time.
    let plan = FleetPlan::default();
    let limits = proof_common::WIDE_LIMITS;
    let window = "window = always\n[service.quotes]";
    let text = manifest(3, &limits).replace("[service.quotes]", window)
        + "[window.always]\nstart = 00:00\nlength = 24h\nevery = 4s\nat_once = 1\n";
    let fixture = ProofFixture::with_manifest(34, &plan, &text, &limits);
    // Runs take as long as the steps of a drain, so that a premature reboot would cut some off.
    let crew = fixture.crew_with(CrewPlan {
        callers: 16,
        service_time: Duration::from_secs(2),
        deadline: Duration::from_secs(10),
        ..fixture.crew_plan()
    });
    let done = proof::await_true(Duration::from_secs(90), || {
        let history = fixture.fleet.collect().unwrap();
        let ended = history.drains.iter().filter(|drain| drain.end_ns != 0);
        ended.count() >= 3
    });
    assert!(done, "the wave did not end\n{}", fixture.fleet.logs());
    fixture.expect_answers(&crew, 50);
    let tally = crew.finish();
    fixture.expect_no_request_cut(tally);
    fixture.expect_valid_history();
}

#[test]
fn host_list_shows_leaving() {
    // The platform removes an executor, and the host list, which lags, shows it as leaving. It
    // must get no new work from three seconds after that.
    let mut fixture = ProofFixture::start(35, &FleetPlan::default());
    let crew = fixture.crew();
    fixture.fleet.targets[0].row.leaving = true;
    fixture.fleet.list_targets().unwrap();
    let shown_ns = fake::boot_nanos();
    thread::sleep(Duration::from_secs(6));
    fixture.expect_answers(&crew, 50);
    let tally = crew.finish();
    fixture.expect_no_request_cut(tally);
    let quiet_ns = shown_ns + 3_000_000_000;
    let history = fixture.fleet.collect().unwrap();
    let late = history
        .runs
        .iter()
        .filter(|run| run.host == "x1" && run.run.start_ns > quiet_ns)
        .count();
    assert_eq!(
        late,
        0,
        "started on a leaving host\n{}",
        fixture.fleet.logs()
    );
    fixture.expect_valid_history();
}
