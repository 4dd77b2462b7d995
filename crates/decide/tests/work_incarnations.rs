//! When a target's incarnation counts as ended, and what happens to its tasks then.

mod harness;

use std::time::Duration;

use harness::{RESTARTED_AT, SchedulerFixture, plan, restarted_target, run_report, step, target};
use model::{
    HostId,
    work::{EndKind, EndReport, PollAnswer, RunReport, TargetEntry, TargetMode, TargetReport},
};

/// Reports the later incarnation of `t1`.
fn report_restarted(scene: &mut SchedulerFixture, running: Vec<RunReport>, ended: Vec<EndReport>) {
    scene.now.boot += Duration::from_millis(1);
    let sent = scene.now.boot;
    scene.now.boot += Duration::from_millis(1);
    let report = TargetReport {
        clock: Duration::from_secs(1),
        started_at: RESTARTED_AT,
        running,
        ended,
    };
    let seen = PollAnswer::Seen(report);
    scene
        .scheduler
        .apply_report(&"t1".into(), sent, 0, &seen, scene.now);
    scene.run_planning();
}

/// Guards against running a task twice: an idle target had restarted under its id unnoticed,
/// because idle targets are not polled and the store answered late. It got starts, and when its new
/// entry arrived they were taken for ended with the previous incarnation.
#[test]
fn upsert_target_restarted_keeps_unreported_runs() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(2, 1000)]);
    scene.add_target("t2", 2000);
    scene
        .scheduler
        .upsert_target(restarted_target(2000), scene.now);
    scene.run_planning();
    assert!(scene.starts.is_empty(), "the new incarnation may run them");
    report_restarted(&mut scene, vec![run_report(&starts[0].1)], Vec::new());
    assert_eq!(scene.stop_count(), 0);
    assert_eq!(
        scene.starts.len(),
        1,
        "the other ran in the previous incarnation"
    );
    assert_eq!(scene.starts[0].1.task, starts[1].1.task);
}

/// Guards against running a task twice: a new incarnation was taken for unused and became
/// unresponsive while it ran a task sent to the previous one. The lease of the start has to expire
/// first.
#[test]
fn give_up_restarted_waits_for_lease() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.add_target("t2", 2000);
    scene.time_out_start(&id, &start);
    scene
        .scheduler
        .upsert_target(restarted_target(2000), scene.now);
    scene.run_planning();
    for _ in 0..25 {
        scene.advance(Duration::from_millis(200));
        scene.time_out_poll("t1");
        scene.scheduler.mark_target_unlisted(&"t1".into());
        scene.run_planning();
        assert!(scene.starts.is_empty(), "the lease is five seconds");
    }
    scene.advance(Duration::from_millis(1600));
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against running a task twice: a poll reported a restart before the host list did, and a
/// start in flight to the previous incarnation was taken for lost. It may still reach the new one.
#[test]
fn apply_report_restarted_unlisted_fences_start() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    assert_eq!(scene.starts.len(), 1);
    scene.starts.clear();
    scene.add_target("t2", 2000);
    scene.scheduler.mark_target_unlisted(&"t1".into());
    report_restarted(&mut scene, Vec::new(), Vec::new());
    assert!(scene.starts.is_empty(), "it may still arrive");
    assert_eq!(scene.stop_count(), 1);
}

/// Guards against running a finished task again: a target restarted unnoticed, ran the task, and
/// the next poll told it to forget its ends up to the number of the previous incarnation. After a
/// pause, a target is first polled without acknowledging ends.
#[test]
fn poll_order_after_pause_acks_no_ends() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(1, 1000)]);
    scene.report_end("t1", &starts[0].1, EndKind::Done);
    let order = scene
        .scheduler
        .poll_order(&"t1".into(), scene.now.boot, scene.now);
    assert_eq!(order.map(|order| order.acked_end), Some(1));
    let seen = PollAnswer::Seen(TargetReport {
        clock: scene.now.boot,
        started_at: Duration::from_secs(1),
        ..TargetReport::default()
    });
    let sent = scene.now.boot;
    scene
        .scheduler
        .apply_report(&"t1".into(), sent, 1, &seen, scene.now);
    scene.advance(Duration::from_secs(5));
    scene.submit("b", &plan(vec![step(1, 1000)]));
    assert_eq!(scene.confirm_starts().len(), 1);
    let order = scene
        .scheduler
        .poll_order(&"t1".into(), scene.now.boot, scene.now);
    assert_eq!(order.map(|order| order.acked_end), Some(0));
    scene.report_idle("t1");
    let order = scene
        .scheduler
        .poll_order(&"t1".into(), scene.now.boot, scene.now);
    assert_eq!(order.map(|order| order.acked_end), Some(1));
}

/// Guards against running a task twice: all entries of targets had expired while the store was
/// unavailable, and the entry of the previous incarnation came back first. It ended the incarnation
/// that ran the task.
#[test]
fn upsert_target_older_keeps_unlisted() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(1, 2000)]);
    scene.report("t1", vec![run_report(&starts[0].1)], Vec::new());
    scene.add_target("t2", 2000);
    scene.scheduler.mark_target_unlisted(&"t1".into());
    let older = TargetEntry {
        started_at: Duration::from_millis(1),
        address: "t1:80".into(),
        ..target("t0", 2000)
    };
    scene.scheduler.upsert_target(older, scene.now);
    scene.run_planning();
    assert!(scene.starts.is_empty(), "it runs on t1");
}

/// Guards against running a task twice: an entry of another writer, without a start time or with an
/// unknown pool, had the address of the target that ran it.
#[test]
fn upsert_target_foreign_ends_nothing() {
    let foreign = TargetEntry {
        address: "t1:80".into(),
        ..target("foreign", 2000)
    };
    let without_start_time = TargetEntry {
        started_at: Duration::ZERO,
        ..foreign.clone()
    };
    let unknown_pool = TargetEntry {
        pool: "nowhere".into(),
        started_at: RESTARTED_AT,
        ..foreign
    };
    for entry in [without_start_time, unknown_pool] {
        let mut scene = SchedulerFixture::new(1);
        scene.add_target("t1", 2000);
        scene.submit("a", &plan(vec![step(1, 2000)]));
        let starts = scene.confirm_starts();
        scene.report("t1", vec![run_report(&starts[0].1)], Vec::new());
        scene.add_target("t2", 2000);
        scene.scheduler.upsert_target(entry, scene.now);
        scene.run_planning();
        assert!(scene.starts.is_empty(), "it runs on t1");
    }
}

/// Guards against a pool that lacks a host for the rest of a term: the successor had not polled a
/// target yet when the entry of its previous incarnation showed up again, and took the present one
/// for ended.
#[test]
fn upsert_target_older_keeps_inherited() {
    let mut first = SchedulerFixture::new(1);
    first.add_target("t1", 2000);
    let mut second = first.successor(9);
    second.list_target("t1", 2000);
    let older = TargetEntry {
        started_at: Duration::from_millis(1),
        address: "t1:80".into(),
        ..target("t0", 2000)
    };
    second.scheduler.upsert_target(older, second.now);
    assert_eq!(second.scheduler.listed_targets(), [HostId::from("t1")]);
}

/// Guards against overcommitting a target: it had restarted with a smaller capacity under its id,
/// and a store event of the previous incarnation arrived after the new entry.
#[test]
fn upsert_target_older_changes_nothing() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 4000);
    scene
        .scheduler
        .upsert_target(restarted_target(1000), scene.now);
    let older = TargetEntry {
        mode: TargetMode::Draining,
        ..target("t1", 4000)
    };
    scene.scheduler.upsert_target(older, scene.now);
    report_restarted(&mut scene, Vec::new(), Vec::new());
    scene.submit("a", &plan(vec![step(2, 1000)]));
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against running a task twice: its target had left the host list while the store was
/// unavailable, and two host lists lacked its incarnation although it answered every poll.
#[test]
fn update_incarnations_answering_kept() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(1, 1000)]);
    scene.add_target("t2", 2000);
    scene.scheduler.mark_target_unlisted(&"t1".into());
    let listed_incarnations = ["t2".into()].into();
    for _ in 0..6 {
        scene.report("t1", vec![run_report(&starts[0].1)], Vec::new());
        scene.advance(Duration::from_millis(500));
        scene
            .scheduler
            .update_incarnations(&listed_incarnations, scene.now.boot, scene.now);
        scene.advance(Duration::from_millis(450));
        scene
            .scheduler
            .update_incarnations(&listed_incarnations, scene.now.boot, scene.now);
        scene.run_planning();
        assert!(scene.starts.is_empty(), "it runs on t1");
    }
    scene.advance(Duration::from_millis(1000));
    scene
        .scheduler
        .update_incarnations(&listed_incarnations, scene.now.boot, scene.now);
    scene
        .scheduler
        .update_incarnations(&listed_incarnations, scene.now.boot, scene.now);
    scene.run_planning();
    assert_eq!(scene.starts.len(), 1, "it no longer answers");
}

/// Guards against losing a target for the rest of a term: it had just restarted under its id when
/// the answer to an earlier call named another incarnation at its address.
#[test]
fn apply_report_late_answer_keeps_later_incarnation() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 2000);
    let sent = scene.now.boot;
    scene.advance(Duration::from_millis(100));
    scene
        .scheduler
        .upsert_target(restarted_target(2000), scene.now);
    let other = PollAnswer::OtherLife;
    scene
        .scheduler
        .apply_report(&"t1".into(), sent, 0, &other, scene.now);
    assert_eq!(scene.scheduler.listed_targets(), [HostId::from("t1")]);
    scene
        .scheduler
        .apply_report(&"t1".into(), scene.now.boot, 0, &other, scene.now);
    assert!(scene.scheduler.listed_targets().is_empty());
}

/// Guards against a task of a cancelled job that keeps running: its start was unanswered and
/// delayed by the target, and was stopped meanwhile. The target restarted and did not know of the
/// stop, and idle targets are not polled.
#[test]
fn stopped_start_fenced_in_next_incarnation() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.cancel("a");
    assert_eq!(scene.stop_count(), 1);
    scene.time_out_start(&id, &start);
    scene.confirm_stop(&id, &start, scene.now.boot);
    scene.report_idle("t1");
    scene
        .scheduler
        .upsert_target(restarted_target(2000), scene.now);
    scene.run_planning();
    assert_eq!(scene.stop_count(), 2, "one in each incarnation");
}

/// Guards against running a task twice: the answer to a stop in the previous incarnation arrived
/// after the next one had started, and was taken for the answer to the stop there.
#[test]
fn stop_answer_counts_for_own_incarnation() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.add_target("t2", 2000);
    scene.time_out_start(&id, &start);
    scene.report_idle("t1");
    assert_eq!(scene.stop_count(), 1);
    let sent = scene.now.boot;
    scene.advance(Duration::from_millis(100));
    scene
        .scheduler
        .upsert_target(restarted_target(2000), scene.now);
    scene.run_planning();
    assert!(
        scene.stop_count() > 1,
        "the new incarnation does not know of the first"
    );
    scene.confirm_stop(&id, &start, sent);
    report_restarted(&mut scene, Vec::new(), Vec::new());
    assert!(scene.starts.is_empty(), "the second stop is unanswered");
    let sent = scene.now.boot;
    scene.confirm_stop(&id, &start, sent);
    report_restarted(&mut scene, Vec::new(), Vec::new());
    assert_eq!(scene.starts.len(), 1);
}

/// Reports `t1` in the incarnation that started at `started_at`, by a poll that was sent at `sent`.
fn report_started_at(scene: &mut SchedulerFixture, started_at: Duration, sent: Duration) {
    let seen = PollAnswer::Seen(TargetReport {
        clock: Duration::from_secs(1),
        started_at,
        ..TargetReport::default()
    });
    scene
        .scheduler
        .apply_report(&"t1".into(), sent, 0, &seen, scene.now);
    scene.run_planning();
}

/// A start time that the clock of a host gives after it was set back.
const SET_BACK: Duration = Duration::from_millis(400);

/// Guards against tasks that are never started again: their target restarted after its clock was
/// set back, so that the new incarnation seems to be the older one.
#[test]
fn apply_report_clock_set_back_frees_tasks() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(2, 1000)]);
    let running = starts.iter().map(|(_, start)| run_report(start)).collect();
    scene.report("t1", running, Vec::new());
    let sent = scene.now.boot;
    report_started_at(&mut scene, SET_BACK, sent);
    assert_eq!(scene.starts.len(), 2);
}

/// Guards against running tasks twice: the answer of the previous incarnation arrives late, or its
/// entry shows once more, and seems to be the later one.
#[test]
fn clock_set_back_ignores_previous_incarnation() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(2, 1000)]);
    let running = starts.iter().map(|(_, start)| run_report(start)).collect();
    scene.report("t1", running, Vec::new());
    let sent = scene.now.boot;
    report_started_at(&mut scene, SET_BACK, sent);
    let starts = scene.confirm_starts();
    assert_eq!(starts.len(), 2);
    scene.add_target("t2", 2000);
    report_started_at(&mut scene, Duration::from_secs(1), sent);
    scene.list_target("t1", 2000);
    scene.advance(Duration::from_millis(50));
    assert!(scene.starts.is_empty(), "they run on t1");
}

/// Guards against ending the present incarnation by a delayed answer of an earlier one.
#[test]
fn apply_report_sent_before_incarnation_changes_nothing() {
    let (mut scene, _) = SchedulerFixture::with_running_job(2000, vec![step(2, 1000)]);
    let sent = scene.now.boot;
    scene.advance(Duration::from_millis(100));
    scene
        .scheduler
        .upsert_target(restarted_target(2000), scene.now);
    report_restarted(&mut scene, Vec::new(), Vec::new());
    let starts = scene.confirm_starts();
    assert_eq!(starts.len(), 2);
    report_started_at(&mut scene, SET_BACK, sent);
    assert!(scene.starts.is_empty(), "they run on t1");
}

/// Guards against a target that is not used for the rest of a term: its entry seems to be that of an
/// earlier incarnation, and idle targets are not polled.
#[test]
fn upsert_target_clock_set_back_is_used() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 1000);
    let entry = TargetEntry {
        started_at: SET_BACK,
        ..target("t1", 4000)
    };
    scene.scheduler.upsert_target(entry, scene.now);
    assert!(
        scene
            .scheduler
            .poll_class(&"t1".into(), scene.now)
            .is_some()
    );
    let sent = scene.now.boot;
    report_started_at(&mut scene, SET_BACK, sent);
    scene.advance(Duration::from_millis(50));
    scene.submit("a", &plan(vec![step(1, 4000)]));
    assert_eq!(scene.starts.len(), 1, "its entry has 4000");
}

/// A scheduler that has `t1` and an entry of another incarnation at its address, which seems to be
/// an earlier one.
fn with_deferred_entry() -> SchedulerFixture {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 1000);
    let entry = TargetEntry {
        address: target("t1", 1000).address,
        started_at: SET_BACK,
        ..target("t2", 4000)
    };
    scene.scheduler.upsert_target(entry, scene.now);
    scene
}

/// The same for a new incarnation under another id, once the previous one at its address is gone.
#[test]
fn upsert_target_clock_set_back_with_new_id_is_used() {
    let mut scene = with_deferred_entry();
    scene.scheduler.mark_target_unlisted(&"t1".into());
    scene.advance(Duration::from_millis(50));
    assert_eq!(scene.scheduler.listed_targets(), [HostId::from("t2")]);
}

/// Guards against using a target that has left the host list while it could not be watched.
#[test]
fn upsert_target_forgotten_entry_is_not_used() {
    let mut scene = with_deferred_entry();
    scene.scheduler.clear_deferred_entries();
    scene.scheduler.mark_target_unlisted(&"t1".into());
    scene.advance(Duration::from_millis(50));
    assert!(scene.scheduler.listed_targets().is_empty());
}

/// Guards against running a task twice: its target had restarted under its id at another address. It
/// was no longer listed when the owner changed, the successor read the earlier address in the log,
/// where another target answered, and took the first one for gone.
#[test]
fn successor_restarted_elsewhere_polls_present_address() {
    let mut first = SchedulerFixture::new(1);
    first.add_target("t1", 2000);
    let moved = TargetEntry {
        address: "t1:81".into(),
        ..restarted_target(2000)
    };
    first.scheduler.upsert_target(moved, first.now);
    first.run_planning();
    report_restarted(&mut first, Vec::new(), Vec::new());
    first.submit("a", &plan(vec![step(1, 1000)]));
    assert_eq!(first.confirm_starts().len(), 1);

    let next = first.successor(9);
    let target = next.scheduler.targets.get("t1");
    let address = target.map(|target| target.entry.address.as_str());
    assert_eq!(address, Some("t1:81"));
}

/// Guards against running a task twice: its start was unanswered, its target left the host list and
/// no host had it, so that it was forgotten. It came back under its id before the start could no
/// longer arrive, and nothing fenced the start there.
#[test]
fn unconfirmed_start_of_forgotten_target_is_fenced() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.add_target("t2", 2000);
    scene.time_out_start(&id, &start);
    scene.scheduler.mark_target_unlisted(&id);
    scene.advance(Duration::from_secs(2));
    for _ in 0..2 {
        scene
            .scheduler
            .update_incarnations(&["t2".into()].into(), scene.now.boot, scene.now);
    }
    scene.advance(Duration::from_millis(50));
    assert_eq!(scene.starts.len(), 1, "it is started on t2");
    let stops_before = scene.stop_count();
    scene.advance(Duration::from_secs(3));
    scene
        .scheduler
        .upsert_target(restarted_target(2000), scene.now);
    scene.run_planning();
    report_restarted(&mut scene, Vec::new(), Vec::new());
    scene.advance(Duration::from_millis(50));
    assert!(
        scene.stop_count() > stops_before,
        "it may still arrive on t1"
    );
}
