//! Schedules with many occurrences, of which many may be due at once.

mod harness;

use std::{collections::BTreeMap, time::Duration};

use harness::{SchedulerFixture, TimedOwner, plan, run_report, step};
use model::work::{JobPlan, RepeatPlan};
use wire::work::JobPhase;

/// Tasks in open occurrences without a started task that a job may have.
const MAX_UNSTARTED: usize = 256;
const TARGETS: usize = 4;
const HOUR: Duration = Duration::from_secs(3600);

fn schedule(cpu: u64, count: u32, first: Duration, period: Duration) -> JobPlan {
    let repeat = RepeatPlan {
        count,
        first,
        period,
    };
    JobPlan {
        repeat: Some(repeat),
        ..plan(vec![step(1, cpu)])
    }
}

fn open_occurrences(owner: &TimedOwner) -> usize {
    let jobs = owner.scheduler.job_table.jobs.values();
    jobs.map(|job| job.occurrences.len()).sum()
}

/// Guards against an owner whose memory follows how far a schedule is behind, also over changes of
/// the owner and a cancellation.
#[test]
fn overdue_schedule_opens_what_can_start() {
    let mut owner = TimedOwner::new(TARGETS);
    owner.submit_schedule("a", &plan(vec![step(1, 500)]), 20_000, 20_000);
    for _ in 0..5 {
        owner.run_rounds(1);
        assert!(open_occurrences(&owner) <= MAX_UNSTARTED);
    }
    let mut next = owner.successor(9);
    assert!(open_occurrences(&next) <= MAX_UNSTARTED);
    next.cancel("a");
    assert!(open_occurrences(&next.successor(17)) <= MAX_UNSTARTED);
}

/// Guards against occurrences that are skipped, run twice or overtake each other while a schedule
/// catches up and its owner changes.
#[test]
fn overdue_schedule_runs_each_once_in_order() {
    const COUNT: u32 = 2_000;
    let mut owner = TimedOwner::new(TARGETS);
    owner.submit_schedule("a", &plan(vec![step(1, 500)]), COUNT, COUNT);
    let mut started = Vec::new();
    for term in 1..200 {
        owner.run_rounds(3);
        started.extend(owner.started.iter().map(|start| start.task.occurrence));
        if owner.scheduler.job_phase("a") == Some(JobPhase::Completed) {
            break;
        }
        owner = owner.successor(term * 8 + 1);
    }
    let out_of_order = (0..).zip(&started).find(|(number, found)| number != *found);
    assert_eq!(out_of_order, None);
    assert_eq!(started.len(), COUNT as usize);
}

/// A schedule that is not behind runs each occurrence when it is due, also if they overlap.
#[test]
fn schedule_on_time_overlaps() {
    let mut scene = SchedulerFixture::new(1);
    for number in 0..100 {
        scene.add_target(&format!("t{number}"), 8000);
    }
    scene.set_workspace_limit(0);
    let (first, period) = (scene.now.unix, Duration::from_millis(100));
    scene.submit("a", &schedule(1000, 600, first, period));
    for _ in 0..600 {
        scene.advance(period);
        scene.confirm_starts();
    }
    let placed = scene.scheduler.targets.values();
    let placed: usize = placed.map(|target| target.claims.len()).sum();
    assert_eq!(placed, 600, "none has ended");
}

/// Guards against a schedule that catches up at the cost of work in time: an occurrence that is
/// opened late has been due for as long as before.
#[test]
fn late_opened_occurrence_keeps_due_time() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 1000);
    let first = scene.now.unix.saturating_sub(HOUR);
    scene.submit("a", &schedule(1000, 1_000, first, Duration::from_millis(1)));
    scene.advance(Duration::from_secs(60));
    for number in 1..300 {
        let (_, start) = scene.confirm_starts().remove(0);
        assert_eq!(start.task.occurrence, number - 1);
        scene.report_numbered_end("t1", u64::from(number), &start);
        scene.advance(Duration::from_millis(50));
    }
    let (_, start) = scene.confirm_starts().remove(0);
    scene.submit("b", &plan(vec![step(1, 1000)]));
    scene.report_numbered_end("t1", 300, &start);
    scene.advance(Duration::from_millis(50));
    assert_eq!(scene.starts[0].1.task.job, "b");
}

/// Guards against a workspace that exceeds its limit after a change of the owner: predecessors may
/// have started more occurrences than the successor has opened.
#[test]
fn successor_counts_unopened_occurrences() {
    const STARTED: u64 = 300;
    let mut first = SchedulerFixture::new(1);
    first.set_workspace_limit(400_000);
    // Each has memory for a hundred tasks.
    let targets = ["t1", "t2", "t3"];
    targets
        .iter()
        .for_each(|id| first.add_target(id, 1_000_000));
    let due = first.now.unix.saturating_sub(HOUR);
    let period = HOUR / u32::try_from(STARTED).unwrap_or(1);
    first.submit("a", &schedule(1000, 10_000, due + period, period));
    for _ in 0..3 {
        first.advance(Duration::from_millis(50));
    }
    let starts = first.confirm_starts();
    assert_eq!(starts.len() as u64, STARTED);

    let mut second = first.successor(9);
    ["t4", "t5"]
        .iter()
        .for_each(|id| second.add_target(id, 1_000_000));
    second.submit("b", &plan(vec![step(200, 1000)]));
    second.advance(Duration::from_millis(50));
    assert_eq!(
        second.confirm_starts().len(),
        100,
        "300 of 400 cores may be in use"
    );
    for id in targets {
        second.list_target(id, 1_000_000);
        let here = starts.iter().filter(|(target, _)| target == id);
        let running = here.map(|(_, start)| run_report(start)).collect();
        second.report(id, running, Vec::new());
    }
    second.advance(Duration::from_millis(50));
    assert!(second.starts.is_empty());
}

/// Occurrences are counted by due time, in order.
#[test]
fn due_count_of_schedule() {
    let secs = Duration::from_secs;
    let repeat = RepeatPlan {
        count: 5,
        first: secs(100),
        period: secs(10),
    };
    let due: BTreeMap<u64, u32> = [(0, 0), (99, 0), (100, 1), (109, 1), (110, 2), (500, 5)].into();
    for (unix, count) in due {
        assert_eq!(repeat.due_count(secs(unix)), count, "at {unix} s");
    }
    let at_once = RepeatPlan {
        period: Duration::ZERO,
        ..repeat
    };
    assert_eq!(at_once.due_count(secs(100)), 5);
}

/// Guards against running a task twice: by the clock of the predecessor an occurrence was due, and
/// by that of its successor not yet. It becomes due before the target is reached on which its task
/// runs.
#[test]
fn successor_clock_behind_waits_for_targets() {
    let mut first = SchedulerFixture::new(1);
    first.add_target("t1", 8000);
    let due = first.now.unix + Duration::from_secs(1);
    first.submit("a", &schedule(1000, 2, due, HOUR));
    first.advance(Duration::from_secs(2));
    assert_eq!(first.confirm_starts().len(), 1);
    first.now.unix = due.saturating_sub(Duration::from_secs(1));

    let mut next = first.successor(9);
    next.add_target("t2", 8000);
    next.advance(Duration::from_secs(3));
    assert!(next.starts.is_empty(), "it runs on t1");
    next.advance(Duration::from_secs(10));
    assert_eq!(next.starts.len(), 1);
}
