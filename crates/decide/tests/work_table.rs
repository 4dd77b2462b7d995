//! The job table, and the compacted log that replays to the same table.

mod harness;

use std::time::Duration;

use decide::work::{JobTable, WorkPhase};
use harness::{SchedulerFixture, end_report, plan, step};
use model::work::{EndKind, RepeatPlan, StepPlan};
use rstest::rstest;
use wire::work::LogEntry;

fn replay(entries: &[LogEntry]) -> JobTable {
    let mut table = JobTable::default();
    for entry in entries {
        table.apply(
            entry,
            Duration::from_secs(1_000_000),
            Duration::from_secs(1000),
        );
    }
    table
}

/// Returns the relevant state of a job table in a form that can be compared.
fn summary(table: &JobTable) -> String {
    let jobs: Vec<String> = table
        .jobs
        .values()
        .map(|job| {
            let open = job.is_open();
            let tasks: Vec<_> = job
                .occurrences
                .iter()
                .filter(|_| open)
                .flat_map(|(number, state)| state.steps.iter().map(move |step| (number, step)))
                .map(|(number, step)| {
                    let tasks = step
                        .tasks
                        .iter()
                        .map(|task| (task.done, &task.failed_attempts));
                    (number, tasks.collect::<Vec<_>>())
                })
                .collect();
            format!(
                "{} {:?} {} {} {tasks:?}",
                job.id, job.phase, job.opened, job.finished
            )
        })
        .collect();
    let mut jobs: Vec<String> = jobs;
    jobs.sort();
    format!(
        "{jobs:#?} {:?} {:?}",
        table.used_targets.keys(),
        table.maintained_hosts
    )
}

fn mixed_log() -> Vec<LogEntry> {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 4000);
    scene.submit("done", &plan(vec![step(1, 500)]));
    scene.submit(
        "half",
        &plan(vec![
            step(2, 500),
            StepPlan {
                after: vec![0],
                ..step(1, 500)
            },
        ]),
    );
    scene.submit("failed", &plan(vec![step(1, 500)]));
    let mut repeated = plan(vec![step(1, 500)]);
    repeated.repeat = Some(RepeatPlan {
        count: 3,
        first: scene.now.unix,
        period: Duration::from_secs(60),
    });
    scene.submit("timed", &repeated);
    let starts = scene.confirm_starts();
    let end = |number, job: &str, kind| {
        let found = starts.iter().find(|(_, start)| start.task.job == job);
        found.map(|(_, start)| end_report(number, &start.task, start.attempt, kind))
    };
    let ends = [
        end(1, "done", EndKind::Done),
        end(2, "half", EndKind::Done),
        end(3, "failed", EndKind::Failed),
        end(4, "timed", EndKind::Done),
    ];
    scene.report("t1", Vec::new(), ends.into_iter().flatten().collect());
    scene.stored
}

/// A successor must read the same state from the compacted log as from the full log.
#[test]
fn compacted_entries_replay_to_same_table() {
    let log = mixed_log();
    let table = replay(&log);
    assert_eq!(table.jobs.len(), 4);
    let compacted = table.compacted_entries();
    assert_eq!(summary(&replay(&compacted)), summary(&table));
}

/// The owner crashes while it removes the pages that the compacted log replaces. Whichever of these
/// pages are left, the successor reads the same state.
#[rstest]
#[case::all_left(0)]
#[case::some_left(3)]
#[case::last_left(7)]
fn compacted_entries_after_old_pages(#[case] removed: usize) {
    let log = mixed_log();
    let table = replay(&log);
    let mut remaining = log[removed.min(log.len())..].to_vec();
    remaining.extend(table.compacted_entries());
    assert_eq!(summary(&replay(&remaining)), summary(&table));
}

/// Guards against running a job whose submission was stored after its cancellation.
#[test]
fn cancel_before_accept_prevents_start() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 4000);
    scene.cancel("a");
    scene.submit("a", &plan(vec![step(2, 500)]));
    assert!(scene.starts.is_empty());
    assert_eq!(scene.scheduler.pending_jobs(harness::QUEUE, scene.now), 0);
    scene.compact_log();
    let mut successor = scene.successor(9);
    successor.add_target("t1", 4000);
    successor.submit("a", &plan(vec![step(2, 500)]));
    assert!(successor.starts.is_empty());
}

/// Guards against showing a completed job as cancelled, or its runs as using no resources. It
/// happened when the pages with its acceptance were removed and the page with its cancellation
/// still existed.
#[test]
fn apply_job_end_after_cancel_without_acceptance() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 500)]);
    scene.report_end("t1", &starts[0].1, EndKind::Done);
    scene.cancel("a");
    let cancelled = scene.stored.last().cloned();
    scene.compact_log();
    let remaining: Vec<LogEntry> = cancelled.into_iter().chain(scene.stored.clone()).collect();
    let table = replay(&remaining);
    assert_eq!(table.jobs["a"].phase, WorkPhase::Completed);
    assert_eq!(table.jobs["a"].closed_resources.cpu, 500);
    assert_eq!(
        table.compacted_entries(),
        scene.stored,
        "the job was submitted"
    );
}

/// Guards against reporting a job as cancelled where an owner with the full log reports that there
/// is no such job. It happened when the page with the cancellation was removed and the page with
/// the later submission still existed.
#[test]
fn apply_job_end_after_cancel_before_acceptance() {
    let mut scene = SchedulerFixture::new(1);
    scene.cancel("a");
    scene.submit("a", &plan(vec![step(1, 500)]));
    let accepted = scene.stored.last().cloned();
    assert_eq!(scene.scheduler.job_phase("a"), None);
    scene.compact_log();
    let remaining: Vec<LogEntry> = accepted.into_iter().chain(scene.stored.clone()).collect();
    assert_eq!(
        summary(&replay(&remaining)),
        summary(&scene.scheduler.job_table)
    );
}
