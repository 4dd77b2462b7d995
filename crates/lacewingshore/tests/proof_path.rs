//! The whole request path in real processes, with and without faults of the targets.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

mod proof_common;

use fake::{ExecutorFaults, FaultRate};
use proof::FleetPlan;
use proof_common::ProofFixture;

#[test]
fn path_without_faults() {
    let fixture = ProofFixture::start(1, &FleetPlan::default());
    let crew = fixture.crew();
    fixture.expect_answers(&crew, 200);
    let tally = crew.finish();
    assert_eq!(tally.unclear, 0, "{tally:?}");
    fixture.expect_valid_history();
}

#[test]
fn path_wrong_answers() {
    // Guards against callers that get another request's answer or a truncated one. Executors
    // answer with a wrong request id, truncate answers, lose them after the run, and send them
    // late; an entry host that matched answers by order would forward them.
    let fixture = ProofFixture::start(2, &FleetPlan::default());
    for index in 0..3 {
        let faults = ExecutorFaults {
            cross_answers: FaultRate::by_chance(0.06),
            truncate_answers: FaultRate::by_chance(0.06),
            lose_answers: FaultRate::by_chance(0.06),
            late_answers: FaultRate::by_chance(0.06),
            late_ms: 1500,
            seed: index as u64,
            ..ExecutorFaults::default()
        };
        fixture.fleet.set_target(index, &faults).unwrap();
    }
    let mut plan = fixture.crew_plan();
    plan.max_answer = 200_000;
    plan.deadline = std::time::Duration::from_secs(1);
    let crew = fixture.crew_with(plan);
    fixture.expect_answers(&crew, 300);
    let tally = crew.finish();
    fixture.expect_valid_history();
    assert!(tally.unclear > 0, "no fault took effect: {tally:?}");
}
