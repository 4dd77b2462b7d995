//! Kills, pauses, isolates and replaces entry hosts under load.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

mod proof_common;

use std::{thread, time::Duration};

use fake::LinkMode;
use proof::{ChangeResult, CrewPlan, FleetPlan, await_true};
use proof_common::{EVENT_TIMEOUT, ProofFixture, TeamLimits, manifest};

/// Limits well below the demand of the callers.
const TIGHT_LIMITS: TeamLimits = [("weights", 4), ("coding", 3)];

fn eager_callers(fixture: &ProofFixture) -> CrewPlan {
    CrewPlan {
        callers: 24,
        service_time: Duration::from_millis(60),
        pause: Duration::from_millis(5),
        ..fixture.crew_plan()
    }
}

#[test]
fn hosts_killed_in_turn() {
    // Every entry host is killed once and restarts without state. If a new incarnation took its
    // predecessor's quota while that one's requests still run, a team would exceed its limit;
    // if it forgot the ids that it minted, requests would run twice.
    let mut fixture = ProofFixture::with_limits(11, &FleetPlan::default(), &TIGHT_LIMITS);
    let crew = fixture.crew_with(eager_callers(&fixture));
    for index in 0..3 {
        fixture.replace(index, Duration::from_millis(300));
        fixture.expect_answers(&crew, 60);
        let place = fixture.place(index).clone();
        fixture.expect_answer(&place);
    }
    crew.finish();
    fixture.expect_valid_history();
}

#[test]
fn host_paused_beyond_lease() {
    // One entry host is paused for three lease lengths with requests in flight. Meanwhile a
    // limit is lowered and a key withdrawn, and both are accepted. On resuming, the host must
    // notice that its leases have expired before it starts anything.
    let fixture = ProofFixture::with_limits(12, &FleetPlan::default(), &TIGHT_LIMITS);
    let crew = fixture.crew_with(eager_callers(&fixture));
    let paused = fixture.fleet.entries[1].process.as_ref().unwrap();
    paused.pause().unwrap();
    thread::sleep(Duration::from_millis(500));
    let lowered: TeamLimits = [("weights", 2), ("coding", 3)];
    let text = manifest(3, &lowered);
    let operator = &fixture.fleet.operator;
    let accepted = await_true(EVENT_TIMEOUT, || {
        let outcome = operator.apply(fixture.place(0), "lower", None, &text, &lowered);
        matches!(outcome, ChangeResult::Accepted { .. })
    });
    assert!(accepted, "not accepted\n{}", fixture.fleet.logs());
    fixture.expect_withdrawn(2);
    thread::sleep(Duration::from_secs(4));
    paused.resume().unwrap();
    fixture.expect_answers(&crew, 60);
    fixture.expect_answer(fixture.place(1));
    thread::sleep(Duration::from_secs(2));
    crew.finish();
    fixture.expect_valid_history();
}

#[test]
fn host_cut_off() {
    // One entry host is isolated, but callers still reach it. The others accept the withdrawal
    // of a key. The isolated host can't know of it, so it must stop serving when its lease
    // expires, report not ready, and refuse requests as not run until the link is back.
    let plan = FleetPlan {
        with_relay: true,
        ..FleetPlan::default()
    };
    let mut fixture = ProofFixture::start(13, &plan);
    let crew = fixture.crew();
    let mut stopped = false;
    fixture.while_polling(|fixture| {
        fixture.fleet.isolate("e3", LinkMode::Silent).unwrap();
        fixture.expect_withdrawn(0);
        let isolated = fixture.place(2);
        let operator = &fixture.fleet.operator;
        stopped = await_true(Duration::from_secs(10), || !operator.is_ready(isolated));
        fixture.expect_answers(&crew, 100);
        thread::sleep(Duration::from_secs(3));
        fixture.fleet.isolate("e3", LinkMode::Open).unwrap();
        fixture.expect_answer(isolated);
    });
    crew.finish();
    fixture.expect_valid_history();
    assert!(stopped, "e3 went on serving\n{}", fixture.fleet.logs());
}

#[test]
fn config_over_replacement() {
    // The manifest changes while all entry hosts are replaced in turn, then all at once. Guards
    // against a restarted host that serves an older revision than it had before, or one that
    // lacks a change accepted long ago.
    let mut fixture = ProofFixture::start(14, &FleetPlan::default());
    let crew = fixture.crew();
    fixture.while_polling(|fixture| {
        for round in 0..4_usize {
            fixture.change_limits(round);
            if round < 3 {
                fixture.replace(round, Duration::from_millis(200));
                fixture.fleet.await_serving(EVENT_TIMEOUT).unwrap();
            }
        }
        for entry in &mut fixture.fleet.entries {
            entry.kill().unwrap();
        }
        for entry in &mut fixture.fleet.entries {
            entry.start().unwrap();
        }
        fixture.fleet.await_serving(EVENT_TIMEOUT).unwrap();
        fixture.change_limits(4);
        fixture.expect_answers(&crew, 20);
    });
    crew.finish();
    fixture.expect_valid_history();
}
