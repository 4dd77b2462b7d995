//! The whole path in real processes, without and with faults of the targets.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

mod proof_common;

use fake::{ExecutorFaults, FaultRate};
use proof::FleetPlan;
use proof_common::ProofBed;

#[test]
fn path_without_faults() {
    let bed = ProofBed::start(1, &FleetPlan::default());
    let crew = bed.crew();
    bed.expect_answers(&crew, 200);
    let tally = crew.finish();
    assert_eq!(tally.unclear, 0, "{tally:?}");
    bed.expect_sound();
}

#[test]
fn path_wrong_answers() {
    // A caller gets the answer to somebody else's quote, or half of its own. Executors
    // answer with a foreign request id, cut answers short, lose them after the run, and
    // send them long after; an entry host that matched answers by order would pass them on.
    let bed = ProofBed::start(2, &FleetPlan::default());
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
        bed.fleet.set_target(index, &faults).unwrap();
    }
    let mut plan = bed.crew_plan();
    plan.max_answer = 200_000;
    plan.deadline = std::time::Duration::from_secs(1);
    let crew = bed.crew_with(plan);
    bed.expect_answers(&crew, 300);
    let tally = crew.finish();
    bed.expect_sound();
    assert!(tally.unclear > 0, "no fault struck: {tally:?}");
}
