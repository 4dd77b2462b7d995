//! A short fault soak of real processes; `scripts/soak` runs longer ones over many seeds.

#![allow(clippy::unwrap_used, reason = "tests end on what should not fail")]

use std::time::Duration;

use proof::{
    FAULT_KINDS, FaultKind, PlannedFault, PlannedPartition, SoakPlan, SoakSchedule, run_soak,
};
use rstest::rstest;

const PROCESSES: usize = 4;
const TARGETS: usize = 8;
const FIRST_BEGIN: Duration = Duration::from_secs(2);
const FAULT_LENGTH: Duration = Duration::from_millis(1800);

/// Schedules the faults in sequence, each beginning before the previous one ends.
fn in_series(kinds: &[FaultKind]) -> Vec<PlannedFault> {
    let mut begin = FIRST_BEGIN;
    let mut plan = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        plan.push(PlannedFault {
            kind: *kind,
            begin,
            end: begin + FAULT_LENGTH,
            process: None,
            target: index % TARGETS,
        });
        begin += FAULT_LENGTH * 2 / 3;
    }
    plan
}

/// The owner loses its link to the store, while half of the targets are reachable only from it.
fn owner_apart() -> Vec<PlannedFault> {
    let fault = |kind, target| PlannedFault {
        kind,
        begin: FIRST_BEGIN,
        end: FIRST_BEGIN + FAULT_LENGTH * 3,
        process: None,
        target,
    };
    let targets = (0..TARGETS / 2).map(|target| fault(FaultKind::TargetApart, target));
    let store = [fault(FaultKind::StoreLinkSilent, 0)];
    store.into_iter().chain(targets).collect()
}

/// A data centre is drained for most of the time, beside some of the faults in sequence.
fn drained_data_centre() -> Vec<PlannedFault> {
    let drain = PlannedFault {
        kind: FaultKind::DataCentreDrained,
        begin: FIRST_BEGIN,
        end: FIRST_BEGIN + FAULT_LENGTH * 7,
        process: None,
        target: 0,
    };
    let faults = in_series(&[
        FaultKind::Kill,
        FaultKind::HistoryGone,
        FaultKind::Pause,
        FaultKind::StoreLinkSilent,
        FaultKind::StartsLate,
    ]);
    [drain].into_iter().chain(faults).collect()
}

/// One owner after the other stands still for longer than its lease, at moments that the start of
/// the run shifts against its orders.
fn paused_owners() -> Vec<PlannedFault> {
    let pause = |index: u32| {
        let begin = FIRST_BEGIN + FAULT_LENGTH * index;
        PlannedFault {
            kind: FaultKind::Pause,
            begin,
            end: begin + FAULT_LENGTH * 4 / 5,
            process: None,
            target: 0,
        }
    };
    (0..7).map(pause).collect()
}

/// Guards against work that runs twice or is lost, and orders that conflict with those of a
/// successor, and against starts in a drained data centre, while the store, targets or the process itself fail.
#[rstest]
#[case::first_half(1, in_series(&FAULT_KINDS[..10]))]
#[case::second_half(2, in_series(&FAULT_KINDS[10..]))]
#[case::owner_apart(3, owner_apart())]
#[case::drained_data_centre(4, drained_data_centre())]
#[case::paused_owners(5, paused_owners())]
fn soak_keeps_promises(#[case] seed: u64, #[case] faults: Vec<PlannedFault>) {
    let schedule = SoakSchedule {
        faults,
        ..SoakSchedule::default()
    };
    keeps_promises(seed, schedule);
}

fn keeps_promises(seed: u64, schedule: SoakSchedule) {
    let folder = tempfile::tempdir().unwrap();
    let plan = SoakPlan {
        seed,
        span: Duration::from_secs(16),
        processes: PROCESSES,
        targets: TARGETS,
        callers: 4,
        folder: folder.path().to_owned(),
        schedule,
    };
    let report = run_soak(&plan).unwrap();
    if !report.tally.broken.is_empty() {
        let kept = folder.keep();
        panic!(
            "{:#?}\nlogs of seed {seed}: {}",
            report.tally.broken,
            kept.display()
        );
    }
    assert!(
        report.accepted > 0 && report.owners > 1,
        "{} jobs accepted, {} owners",
        report.accepted,
        report.owners
    );
}

/// Guards against a task that runs twice because its owner is cut off, together with targets, from
/// the store, the other processes and the other targets: nobody tells it of its successor, and it
/// goes on extending the leases of these targets.
#[test]
fn soak_keeps_promises_owner_cut_off_with_targets() {
    let begin = FIRST_BEGIN * 3 / 2;
    let cut = PlannedPartition {
        begin,
        end: begin + Duration::from_secs(13),
        process_groups: vec![0, 1, 1, 1],
        target_groups: (0..TARGETS).map(|target| usize::from(target > 2)).collect(),
        store_groups: vec![1],
        strikes: Vec::new(),
    };
    let schedule = SoakSchedule {
        partitions: vec![cut],
        long_task_ms: Some((14_000, 15_000)),
        ..SoakSchedule::default()
    };
    keeps_promises(6, schedule);
}
