//! Tasks of a target that restarts under the same id.

mod harness;

use std::time::Duration;

use harness::{SchedulerFixture, plan, run_report, step, target};
use model::work::{EndKind, PollAnswer, StartOrder, TargetEntry, TargetReport};

const NEXT_STARTED_AT: Duration = Duration::from_secs(900);

/// One task that was started on a target and that no report has shown since, and a second target.
fn started_unreported() -> (SchedulerFixture, StartOrder) {
    let (mut scene, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    scene.add_target("t2", 4000);
    (scene, starts[0].1.clone())
}

/// Reports the next incarnation in the answer to a poll that was sent `sent_before` ago.
fn report_next_incarnation(
    scene: &mut SchedulerFixture,
    runs: Vec<&StartOrder>,
    sent_before: Duration,
) {
    let report = TargetReport {
        clock: Duration::from_millis(100),
        started_at: NEXT_STARTED_AT,
        running: runs.into_iter().map(run_report).collect(),
        ended: Vec::new(),
    };
    let (sent, answer) = (scene.now.boot - sent_before, PollAnswer::Seen(report));
    scene
        .scheduler
        .apply_report(&"t1".into(), sent, 0, &answer, scene.now);
    scene.run_planning();
}

/// Guards against running a task on two targets: its own had restarted just before the start, and
/// the host list showed the restart only after the start was answered.
#[test]
fn start_next_incarnation_listed_later_kept() {
    let (mut scene, start) = started_unreported();
    let next = TargetEntry {
        started_at: NEXT_STARTED_AT,
        ..target("t1", 4000)
    };
    scene.scheduler.upsert_target(next, scene.now);
    scene.advance(Duration::from_millis(50));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
    report_next_incarnation(&mut scene, vec![&start], Duration::ZERO);
    scene.advance(Duration::from_millis(50));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
    assert_eq!(scene.stop_count(), 0);
}

/// Guards against running a task on two targets: a poll sent before its start reported that the
/// target had restarted.
#[test]
fn start_next_incarnation_reported_later_kept() {
    let (mut scene, _) = started_unreported();
    report_next_incarnation(&mut scene, Vec::new(), Duration::from_millis(20));
    scene.advance(Duration::from_millis(50));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
}

/// Guards against a delay of seconds: a task that was reported in the ended incarnation is gone
/// with it and starts elsewhere at once.
#[test]
fn reported_run_ends_with_incarnation() {
    let (mut scene, start) = started_unreported();
    scene.report("t1", vec![run_report(&start)], Vec::new());
    report_next_incarnation(&mut scene, Vec::new(), Duration::ZERO);
    scene.advance(Duration::from_millis(50));
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against a job that never finishes: a start that no report had shown was lost with its
/// incarnation.
#[test]
fn unreported_run_restarts_once_missing() {
    let (mut scene, _) = started_unreported();
    let next = TargetEntry {
        started_at: NEXT_STARTED_AT,
        ..target("t1", 4000)
    };
    scene.scheduler.upsert_target(next, scene.now);
    scene.advance(Duration::from_millis(50));
    assert!(scene.starts.is_empty(), "the next incarnation may run it");
    report_next_incarnation(&mut scene, Vec::new(), Duration::ZERO);
    scene.advance(Duration::from_millis(50));
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against running a finished task again: a poll told the next incarnation to forget ends by
/// a number of the previous one.
#[test]
fn poll_order_acks_own_incarnation_only() {
    let (mut scene, start) = started_unreported();
    scene.report_end("t1", &start, EndKind::Done);
    let acked_end = |scene: &mut SchedulerFixture| {
        let order = scene
            .scheduler
            .poll_order(&"t1".into(), scene.now.boot, scene.now);
        order.map(|order| order.acked_end)
    };
    assert_eq!(acked_end(&mut scene), Some(1));
    let unanswered = PollAnswer::Unanswered("connection reset".to_owned());
    scene.now.boot += Duration::from_millis(10);
    let sent = scene.now.boot;
    scene
        .scheduler
        .apply_report(&"t1".into(), sent, 1, &unanswered, scene.now);
    assert_eq!(
        acked_end(&mut scene),
        Some(0),
        "another incarnation may answer"
    );
    scene.report_end("t1", &start, EndKind::Done);
    assert_eq!(acked_end(&mut scene), Some(1));
    scene.now.boot += Duration::from_secs(2);
    assert_eq!(acked_end(&mut scene), Some(0), "the last poll is too old");
}

/// A successor with a target that runs a predecessor's `start`, and the entry of an older
/// incarnation at its address.
fn successor_with_older_entry() -> (SchedulerFixture, StartOrder, TargetEntry) {
    let older = TargetEntry {
        address: "t1:80".into(),
        ..target("t0", 4000)
    };
    let newer = TargetEntry {
        started_at: NEXT_STARTED_AT,
        ..target("t1", 4000)
    };
    let mut first = SchedulerFixture::new(1);
    first.scheduler.upsert_target(newer, first.now);
    first.run_planning();
    report_next_incarnation(&mut first, Vec::new(), Duration::ZERO);
    first.submit("a", &plan(vec![step(1, 1000)]));
    let starts = first.confirm_starts();
    assert_eq!(starts[0].0, "t1");
    let mut second = first.successor(9);
    second.add_target("t2", 4000);
    (second, starts[0].1.clone(), older)
}

/// Guards against running a task on two targets: the host list showed a new owner an address's
/// older incarnation before the present one, and the owner took the one it had already polled for
/// ended.
#[test]
fn older_entry_polled_target_kept() {
    let (mut scene, start, older) = successor_with_older_entry();
    report_next_incarnation(&mut scene, vec![&start], Duration::ZERO);
    scene.scheduler.upsert_target(older, scene.now);
    scene.advance(Duration::from_millis(50));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
}

/// The same before the new owner has polled the present incarnation.
#[test]
fn older_entry_unpolled_target_kept() {
    let (mut scene, _, older) = successor_with_older_entry();
    scene.scheduler.upsert_target(older, scene.now);
    scene.advance(Duration::from_millis(50));
    scene.advance(Duration::from_millis(50));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
}
