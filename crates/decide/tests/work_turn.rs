//! What the load of a queue's turn makes the desk look at. The cost of an event must follow what
//! the event changes, and not how much there is.

mod desk;

use std::time::Duration;

use desk::turn::{TurnLoad, TurnSize};
use rstest::rstest;

const ENDS: u64 = 200;
/// Entries of the books that one end may change: its target and its job, those of the start that
/// takes its room, and a job that is handed in.
const MAX_ENTRIES: u64 = 8;
/// Targets that may be considered for a start whose pool is packed.
const MAX_CANDIDATES: u64 = 4;

/// What one end makes the desk look at, on average.
#[derive(Debug)]
struct EffortPerEnd {
    candidates: u64,
    steps: u64,
    entries: u64,
}

fn mean_effort(load: &mut TurnLoad, mut once: impl FnMut(&mut TurnLoad)) -> EffortPerEnd {
    let read = |load: &TurnLoad| {
        let effort = &load.desk.counters;
        [&effort.candidates, &effort.steps, &effort.index_updates].map(std::cell::Cell::get)
    };
    let before = read(load);
    for _ in 0..ENDS {
        once(load);
    }
    let after = read(load);
    let mean = |at: usize| (after[at] - before[at]).div_ceil(ENDS);
    let mismatches = load.desk.index_mismatches(load.now.boot);
    assert!(mismatches.is_empty(), "indexes that differ: {mismatches:?}");
    EffortPerEnd {
        candidates: mean(0),
        steps: mean(1),
        entries: mean(2),
    }
}

fn check_effort(effort: &EffortPerEnd, size: TurnSize) {
    // Two searches an end: for the step that takes the room, and for one that takes the rest.
    let blocks = (size.waiting / 8 / 16) as u64;
    let max_steps = 2 * (size.workspaces as u64 + blocks) + 16;
    assert!(effort.entries <= MAX_ENTRIES, "{size:?}: {effort:?}");
    assert!(effort.candidates <= MAX_CANDIDATES, "{size:?}: {effort:?}");
    assert!(effort.steps <= max_steps, "{size:?}: {effort:?}");
}

/// Guards against an owner that looks at each target, job or waiting step at each end.
#[rstest]
#[case::small(TurnSize { targets: 120, waiting: 100, workspaces: 20 })]
#[case::backlog(TurnSize { targets: 120, waiting: 10_000, workspaces: 20 })]
#[case::large(TurnSize { targets: 1100, waiting: 100, workspaces: 20 })]
#[case::large_backlog(TurnSize { targets: 1100, waiting: 10_000, workspaces: 120 })]
fn end_full_pool_visits_few(#[case] size: TurnSize) {
    let mut load = TurnLoad::new(size);
    let started = load.started;
    let effort = mean_effort(&mut load, TurnLoad::end_one);
    check_effort(&effort, size);
    assert_eq!(load.started, started + ENDS);
}

/// Guards against an owner that looks at all steps of a workspace that is at its limit, when work
/// of another ends.
#[test]
fn end_workspace_at_limit_visits_few() {
    let size = TurnSize {
        targets: 120,
        waiting: 100,
        workspaces: 20,
    };
    let mut load = TurnLoad::with_limit(size, 20_000);
    for job in 0..1000 {
        load.submit_to(job % 4, 0);
    }
    load.run();
    let effort = mean_effort(&mut load, TurnLoad::end_one);
    check_effort(
        &effort,
        TurnSize {
            waiting: 8100,
            ..size
        },
    );
}

/// Guards against a turn's first jobs being compared with each other again and again.
#[test]
fn submission_backlog_visits_few() {
    let size = TurnSize {
        targets: 120,
        waiting: 10_000,
        workspaces: 20,
    };
    let mut load = TurnLoad::new(size);
    let effort = mean_effort(&mut load, |load| {
        load.submit();
        load.run();
    });
    check_effort(&effort, size);
}

/// Guards against a tick that walks over the books when nothing is due.
#[test]
fn tick_nothing_due_visits_nothing() {
    let size = TurnSize {
        targets: 1100,
        waiting: 1000,
        workspaces: 20,
    };
    let mut load = TurnLoad::new(size);
    load.desk.tick(load.now);
    load.run();
    let before = load.desk.counters.index_updates.get();
    for _ in 0..10 {
        load.now.boot += Duration::from_millis(1);
        load.desk.tick(load.now);
        load.run();
    }
    assert_eq!(load.desk.counters.index_updates.get(), before);
}
