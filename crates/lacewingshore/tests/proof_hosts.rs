//! Entry hosts are killed, paused, cut off and replaced while callers work.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

mod proof_common;

use std::{thread, time::Duration};

use fake::LinkMode;
use proof::{ChangeResult, CrewPlan, FleetPlan, await_true};
use proof_common::{PATIENCE, ProofBed, TeamLimits, manifest};

/// Limits well below what the callers would run.
const TIGHT_LIMITS: TeamLimits = [("weights", 4), ("coding", 3)];

fn eager(bed: &ProofBed) -> CrewPlan {
    CrewPlan {
        callers: 24,
        service_time: Duration::from_millis(60),
        pause: Duration::from_millis(5),
        ..bed.crew_plan()
    }
}

#[test]
fn hosts_killed_in_turn() {
    // Franchisees quote while every entry host loses power once and comes back empty. A
    // new life that took its predecessor's quota while that one's requests still run
    // would let a team exceed its limit; one that forgot its minted ids would run twice.
    let mut bed = ProofBed::with_limits(11, &FleetPlan::default(), &TIGHT_LIMITS);
    let crew = bed.crew_with(eager(&bed));
    for index in 0..3 {
        bed.replace(index, Duration::from_millis(300));
        bed.expect_answers(&crew, 60);
        let place = bed.place(index).clone();
        bed.expect_answer(&place);
    }
    crew.finish();
    bed.expect_sound();
}

#[test]
fn host_paused_beyond_lease() {
    // One entry host stands still for three lease lengths with requests under way. Meanwhile
    // the operator lowers a limit and withdraws a key, and both are accepted. When the host
    // goes on it must notice that its leases have lapsed before it starts anything.
    let bed = ProofBed::with_limits(12, &FleetPlan::default(), &TIGHT_LIMITS);
    let crew = bed.crew_with(eager(&bed));
    let paused = bed.fleet.entries[1].process.as_ref().unwrap();
    paused.pause().unwrap();
    thread::sleep(Duration::from_millis(500));
    let lowered: TeamLimits = [("weights", 2), ("coding", 3)];
    let text = manifest(3, &lowered);
    let operator = &bed.fleet.operator;
    let accepted = await_true(PATIENCE, || {
        let outcome = operator.apply(bed.place(0), "lower", None, &text, &lowered);
        matches!(outcome, ChangeResult::Accepted { .. })
    });
    assert!(accepted, "not accepted\n{}", bed.fleet.logs());
    bed.expect_withdrawn(2);
    thread::sleep(Duration::from_secs(4));
    paused.resume().unwrap();
    bed.expect_answers(&crew, 60);
    bed.expect_answer(bed.place(1));
    thread::sleep(Duration::from_secs(2));
    crew.finish();
    bed.expect_sound();
}

#[test]
fn host_cut_off() {
    // Packets to and from one entry host vanish, but callers still reach it. A key is
    // withdrawn, accepted by the rest. The lone host can't know, so it has to stop by its
    // lease, say so on its readiness endpoint, and refuse truthfully until it is back.
    let plan = FleetPlan {
        with_relay: true,
        ..FleetPlan::default()
    };
    let mut bed = ProofBed::start(13, &plan);
    let crew = bed.crew();
    let mut stopped = false;
    bed.while_looking(|bed| {
        bed.fleet.isolate("e3", LinkMode::Silent).unwrap();
        bed.expect_withdrawn(0);
        let lone = bed.place(2);
        let operator = &bed.fleet.operator;
        stopped = await_true(Duration::from_secs(10), || !operator.is_ready(lone));
        bed.expect_answers(&crew, 100);
        thread::sleep(Duration::from_secs(3));
        bed.fleet.isolate("e3", LinkMode::Open).unwrap();
        bed.expect_answer(lone);
    });
    crew.finish();
    bed.expect_sound();
    assert!(stopped, "e3 went on serving\n{}", bed.fleet.logs());
}

#[test]
fn config_over_replacement() {
    // Operators change the manifest while all entry hosts are replaced in turn, then all
    // at once. A host that came back with an older revision than it had shown, or served
    // without one accepted long before, would undo an operator's change for its callers.
    let mut bed = ProofBed::start(14, &FleetPlan::default());
    let crew = bed.crew();
    bed.while_looking(|bed| {
        for round in 0..4_usize {
            bed.change_limits(round);
            if round < 3 {
                bed.replace(round, Duration::from_millis(200));
                bed.fleet.await_serving(PATIENCE).unwrap();
            }
        }
        for entry in &mut bed.fleet.entries {
            entry.kill().unwrap();
        }
        for entry in &mut bed.fleet.entries {
            entry.start().unwrap();
        }
        bed.fleet.await_serving(PATIENCE).unwrap();
        bed.change_limits(4);
        bed.expect_answers(&crew, 20);
    });
    crew.finish();
    bed.expect_sound();
}
