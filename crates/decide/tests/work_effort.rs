//! Number of items that the scheduler visits under the load of a burst. The cost of an event must
//! depend on what the event changes, and not on the size of the state.

mod harness;

use std::time::Duration;

use harness::queue_load::{QueueLoad, TurnSize};
use rstest::rstest;

const ENDS: u64 = 200;
/// Entries of the tables that one end may change: its target and its job, those of the start that
/// takes its resources, and a submitted job.
const MAX_ENTRIES: u64 = 8;
/// Targets that may be considered for one start if tasks are packed.
const MAX_CANDIDATES: u64 = 4;

/// Items that the scheduler visits for one end, on average.
#[derive(Debug)]
struct EffortPerEnd {
    candidates: u64,
    steps: u64,
    entries: u64,
}

fn mean_effort(load: &mut QueueLoad, mut once: impl FnMut(&mut QueueLoad)) -> EffortPerEnd {
    let read = |load: &QueueLoad| {
        let effort = &load.scheduler.counters;
        [&effort.candidates, &effort.steps, &effort.index_updates].map(std::cell::Cell::get)
    };
    let before = read(load);
    for _ in 0..ENDS {
        once(load);
    }
    let after = read(load);
    let mean = |at: usize| (after[at] - before[at]).div_ceil(ENDS);
    let mismatches = load.scheduler.index_mismatches(load.now.boot);
    assert!(mismatches.is_empty(), "indexes that differ: {mismatches:?}");
    EffortPerEnd {
        candidates: mean(0),
        steps: mean(1),
        entries: mean(2),
    }
}

fn check_effort(effort: &EffortPerEnd, size: TurnSize) {
    // Two searches for each end: one for the step that takes the freed resources, and one for a
    // step that takes the remainder.
    let blocks = (size.waiting / 8 / 16) as u64;
    let max_steps = 2 * (size.workspaces as u64 + blocks) + 16;
    assert!(effort.entries <= MAX_ENTRIES, "{size:?}: {effort:?}");
    assert!(effort.candidates <= MAX_CANDIDATES, "{size:?}: {effort:?}");
    assert!(effort.steps <= max_steps, "{size:?}: {effort:?}");
}

/// Guards against visiting each target, job or waiting step at each end.
#[rstest]
#[case::small(TurnSize { targets: 120, waiting: 100, workspaces: 20 })]
#[case::backlog(TurnSize { targets: 120, waiting: 10_000, workspaces: 20 })]
#[case::large(TurnSize { targets: 1100, waiting: 100, workspaces: 20 })]
#[case::large_backlog(TurnSize { targets: 1100, waiting: 10_000, workspaces: 120 })]
fn end_full_pool_visits_few(#[case] size: TurnSize) {
    let mut load = QueueLoad::new(size);
    let started = load.started;
    let effort = mean_effort(&mut load, QueueLoad::end_next_task);
    check_effort(&effort, size);
    assert_eq!(load.started, started + ENDS);
}

/// Guards against visiting all steps of a workspace at its limit when a task of another workspace
/// ends.
#[test]
fn end_workspace_at_limit_visits_few() {
    let size = TurnSize {
        targets: 120,
        waiting: 100,
        workspaces: 20,
    };
    let mut load = QueueLoad::with_limit(size, 20_000);
    for job in 0..1000 {
        load.submit_to(job % 4, 0);
    }
    load.run_planning();
    let effort = mean_effort(&mut load, QueueLoad::end_next_task);
    check_effort(
        &effort,
        TurnSize {
            waiting: 8100,
            ..size
        },
    );
}

/// Guards against comparing the first jobs of a burst with each other again and again.
#[test]
fn submission_backlog_visits_few() {
    let size = TurnSize {
        targets: 120,
        waiting: 10_000,
        workspaces: 20,
    };
    let mut load = QueueLoad::new(size);
    let effort = mean_effort(&mut load, |load| {
        load.submit();
        load.run_planning();
    });
    check_effort(&effort, size);
}

/// Guards against a tick that iterates over the tables when nothing is due.
#[test]
fn tick_nothing_due_visits_nothing() {
    let size = TurnSize {
        targets: 1100,
        waiting: 1000,
        workspaces: 20,
    };
    let mut load = QueueLoad::new(size);
    load.scheduler.tick(load.now);
    load.run_planning();
    let before = load.scheduler.counters.index_updates.get();
    for _ in 0..10 {
        load.now.boot += Duration::from_millis(1);
        load.scheduler.tick(load.now);
        load.run_planning();
    }
    assert_eq!(load.scheduler.counters.index_updates.get(), before);
}
