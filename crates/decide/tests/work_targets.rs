//! Tasks of targets that leave, become unresponsive or restart.

mod harness;

use std::time::Duration;

use decide::call_budget::CallClass;
use harness::{
    RESTARTED_AT, SchedulerFixture, end_report, plan, restarted_target, run_report, step, target,
};
use model::work::{
    EndKind, PollAnswer, StartAnswer, StartRefusal, StepPlan, TargetEntry, TargetMode, TargetReport,
};
use rstest::rstest;

fn long_running(count: u32) -> StepPlan {
    StepPlan {
        long_running: true,
        ..step(count, 1000)
    }
}

/// Guards against a service that lacks a task for some seconds: its target announced that it would
/// leave, the task stayed until the target was gone, and then its lease had to expire. The task has
/// to be stopped at once, and starts elsewhere when its end is reported.
#[test]
fn evacuate_draining_long_running_task_moves() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![long_running(1)]);
    let (_, start) = &starts[0];
    scene.add_target("t2", 2000);
    let leaving = TargetEntry {
        mode: TargetMode::Draining,
        ..target("t1", 2000)
    };
    scene.scheduler.upsert_target(leaving, scene.now);
    scene.advance(Duration::from_millis(50));
    assert_eq!(scene.stop_count(), 1);
    scene.report_end("t1", start, EndKind::Stopped);
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t2");
}

/// Guards against a job that never finishes: a task that needs a label failed on the only host with
/// it, and waited for another host of its pool, on which it can't run.
#[test]
fn failed_task_waits_for_suitable_target_only() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 2000);
    let other = TargetEntry {
        labels: vec!["another".into(), "rack".into()],
        ..target("t2", 2000)
    };
    scene.scheduler.upsert_target(other, scene.now);
    scene.report_idle("t2");
    let labelled = StepPlan {
        required_label: "kind".into(),
        ..step(1, 1000)
    };
    scene.submit("a", &plan(vec![labelled]));
    let starts = scene.confirm_starts();
    let (_, start) = &starts[0];
    let failed = end_report(1, &start.task, start.attempt, EndKind::Failed);
    scene.report("t1", Vec::new(), vec![failed]);
    scene.advance(Duration::from_millis(50));
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t1");
}

/// Guards against a job that is blocked although half of its pool is free: a task failed on one
/// host, and the others are full for long. After a while it accepts the host on which it failed.
#[test]
fn failed_task_waits_for_bounded_time() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t2", 2000);
    scene.submit("full", &plan(vec![long_running(1)]));
    scene.submit("full-too", &plan(vec![long_running(1)]));
    assert_eq!(scene.confirm_starts().len(), 2);
    scene.add_target("t1", 2000);
    scene.submit("a", &plan(vec![step(1, 1000)]));
    let starts = scene.confirm_starts();
    let (_, start) = &starts[0];
    let failed = end_report(1, &start.task, start.attempt, EndKind::Failed);
    scene.report("t1", Vec::new(), vec![failed]);
    scene.advance(Duration::from_millis(500));
    assert!(scene.starts.is_empty(), "another host may become free");
    scene.advance(Duration::from_millis(2000));
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t1");
}

/// Guards against running a task twice: a target crashed during a network partition and came back
/// at its address under another id. Then the entry of its previous incarnation showed up in the
/// host list again and ended the incarnation that ran the task.
#[test]
fn upsert_target_older_at_address_ends_nothing() {
    let mut scene = SchedulerFixture::new(1);
    let older = target("t1", 2000);
    let newer = TargetEntry {
        address: older.address.clone(),
        started_at: Duration::from_secs(500),
        ..target("t2", 2000)
    };
    scene.scheduler.upsert_target(older.clone(), scene.now);
    let report = model::work::TargetReport {
        clock: scene.now.boot,
        started_at: newer.started_at,
        ..model::work::TargetReport::default()
    };
    scene.scheduler.upsert_target(newer, scene.now);
    scene.run_planning();
    let seen = PollAnswer::Seen(report);
    let sent = scene.now.boot;
    scene
        .scheduler
        .apply_report(&"t2".into(), sent, 0, &seen, scene.now);
    scene.submit("a", &plan(vec![step(1, 2000)]));
    let starts = scene.confirm_starts();
    assert_eq!(starts[0].0, "t2");
    scene.add_target("t3", 2000);
    scene.scheduler.upsert_target(older, scene.now);
    scene.advance(Duration::from_millis(50));
    assert!(scene.starts.is_empty(), "it still runs on t2");
    let listed = scene.scheduler.listed_targets();
    assert!(!listed.contains(&"t1".into()) && listed.contains(&"t2".into()));
}

/// Guards against running a task twice: its target was cut off, left the host list and kept
/// running. Nothing is started elsewhere before the target's lease expires.
#[test]
fn give_up_unresponsive_waits_for_lease() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(1, 1000)]);
    scene.report("t1", vec![run_report(&starts[0].1)], Vec::new());
    scene.add_target("t2", 2000);
    let order = scene
        .scheduler
        .poll_order(&"t1".into(), scene.now.boot, scene.now);
    assert!(order.is_some_and(|order| order.lease_until.is_some()));
    scene.scheduler.mark_target_unlisted(&"t1".into());
    for _ in 0..30 {
        scene.advance(Duration::from_millis(200));
        scene.time_out_poll("t1");
        assert!(scene.starts.is_empty(), "the lease is 6 s");
    }
    scene.advance(Duration::from_millis(600));
    assert_eq!(scene.starts.len(), 1);
}

/// A target crashes and comes back under its id within a heartbeat. Its runs have ended and start
/// again at once, without waiting for a lease.
#[test]
fn upsert_target_restarted_frees_tasks() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(1, 1000)]);
    scene.report("t1", vec![run_report(&starts[0].1)], Vec::new());
    scene
        .scheduler
        .upsert_target(restarted_target(2000), scene.now);
    scene.run_planning();
    assert!(
        scene.starts.is_empty(),
        "the new incarnation has not seen the token"
    );
    let order = scene
        .scheduler
        .poll_order(&"t1".into(), scene.now.boot, scene.now);
    assert!(order.is_some());
    let report = TargetReport {
        started_at: RESTARTED_AT,
        ..TargetReport::default()
    };
    let seen = PollAnswer::Seen(report);
    scene
        .scheduler
        .apply_report(&"t1".into(), scene.now.boot, 0, &seen, scene.now);
    scene.run_planning();
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against running a task twice: a start was unanswered, its target crashed and came back
/// under its id, and the start was executed there. The new incarnation does not know of the stop
/// that fenced the start in the old one, so it is stopped again.
#[test]
fn unconfirmed_start_fenced_in_next_incarnation() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.time_out_start(&id, &start);
    scene.report("t1", Vec::new(), Vec::new());
    scene.confirm_stop(&id, &start, scene.now.boot);
    scene.report("t1", Vec::new(), Vec::new());
    assert_eq!(scene.stop_count(), 1);
    scene
        .scheduler
        .upsert_target(restarted_target(2000), scene.now);
    scene.run_planning();
    assert_eq!(scene.stop_count(), 2);
}

/// A start is unanswered and arrives seconds later. It is polled for, fenced by a stop, and the
/// task starts elsewhere only when the stop was answered and the run is not there.
#[test]
fn unanswered_start_fenced_first() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.add_target("t2", 2000);
    scene.time_out_start(&id, &start);
    scene.run_planning();
    scene.report("t1", Vec::new(), Vec::new());
    assert_eq!(scene.stop_count(), 1);
    assert!(scene.starts.is_empty());
    scene.confirm_stop(&id, &start, scene.now.boot);
    scene.report("t1", Vec::new(), Vec::new());
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against a service that lacks a task for ten seconds although a host has capacity: the
/// host was draining for its maintenance and could not become empty because a task on it did not
/// end. After a short while the service takes precedence.
#[test]
fn starved_long_running_task_takes_draining_host() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 2000);
    scene.start_draining("t1");
    scene.submit("a", &plan(vec![long_running(1)]));
    assert!(scene.starts.is_empty());
    for _ in 0..20 {
        scene.advance(Duration::from_millis(50));
    }
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against failing a job when only one target is broken: its task failed there, restarted
/// there at once because the other target was full, and failed for the last time.
#[test]
fn failed_task_waits_for_another_target() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(1000, vec![step(1, 1000)]);
    let (_, start) = &starts[0];
    scene.add_target("t2", 1000);
    scene.submit("b", &plan(vec![step(1, 1000)]));
    let other = scene.confirm_starts();
    scene.report_end("t1", start, EndKind::Failed);
    scene.advance(Duration::from_secs(2));
    assert!(scene.starts.is_empty());
    let (_, busy) = &other[0];
    scene.report_end("t2", busy, EndKind::Done);
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t2");
}

/// Guards against repeating one log line: an unwanted run is reported until its target has ended
/// it, which takes a moment after the stop was answered.
#[test]
fn unwanted_run_stopped_once() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(1000, vec![step(1, 1000)]);
    let (id, start) = &starts[0];
    scene.scheduler.cancel(&"a".into(), scene.now);
    scene.run_planning();
    assert_eq!(scene.stop_count(), 1);
    scene.confirm_stop(id, start, scene.now.boot);
    for _ in 0..5 {
        scene.report("t1", vec![run_report(start)], Vec::new());
    }
    assert_eq!(scene.stop_count(), 1);
    scene.advance(Duration::from_millis(600));
    scene.report("t1", vec![run_report(start)], Vec::new());
    assert_eq!(scene.stop_count(), 2, "a stop without effect is repeated");
}

/// Guards against running a task twice: the store was unavailable when the task ended, the target
/// was cut off and given up, and came back with the same end. If the target were told to forget the
/// end now and the owner crashed before the store is back, a successor would find neither the entry
/// nor the end.
#[rstest]
#[case::job_goes_on(vec![step(1, 1000), step(1, 1000)])]
#[case::job_completed(vec![step(1, 1000)])]
fn known_end_waits_for_store(#[case] steps: Vec<StepPlan>) {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, steps);
    let (_, start) = &starts[0];
    scene.store_down = true;
    let end = end_report(1, &start.task, start.attempt, EndKind::Done);
    scene.report("t1", Vec::new(), vec![end.clone()]);
    scene.advance(Duration::from_secs(3));
    scene.time_out_poll("t1");
    scene.advance(Duration::from_secs(7));
    scene.report("t1", Vec::new(), vec![end]);
    let order = scene
        .scheduler
        .poll_order(&"t1".into(), scene.now.boot, scene.now);
    assert_eq!(order.map_or(0, |order| order.acked_end), 0);
}

/// Guards against overcommitting a target: the end of one gang member stood for all, while the
/// start of another was still unanswered. Its capacity was released, and the start was executed
/// seconds later. The start is fenced by a stop, and the capacity stays reserved until then.
#[test]
fn done_gang_fences_unconfirmed_member() {
    let mut scene = SchedulerFixture::new(1);
    for target in ["t1", "t2"] {
        scene.add_target(target, 1000);
    }
    let gang = StepPlan {
        gang: true,
        ..step(2, 1000)
    };
    scene.submit("a", &plan(vec![gang]));
    let starts = std::mem::take(&mut scene.starts);
    let [(first, done), (second, lost)] = starts.as_slice() else {
        panic!("{starts:?}");
    };
    scene.time_out_start(second, lost);
    scene.report_end(first, done, EndKind::Done);
    assert_eq!(scene.stop_count(), 1);
    scene.report(second, Vec::new(), Vec::new());
    scene.submit("b", &plan(vec![step(2, 1000)]));
    assert_eq!(
        scene.starts.len(),
        1,
        "the capacity of the unconfirmed start is not free"
    );
}

/// Guards against running a task twice: an owner that has lost the store continues, its successor
/// knows that a task is done, and a target restarts. The new incarnation has seen neither token,
/// and the old owner must not be the first to send it orders.
#[test]
fn uncertain_owner_leaves_new_incarnation() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(1, 1000)]);
    scene.report("t1", vec![run_report(&starts[0].1)], Vec::new());
    scene.scheduler.set_ownership_uncertain(true);
    let report = TargetReport {
        started_at: RESTARTED_AT,
        ..TargetReport::default()
    };
    scene.now.boot += Duration::from_millis(100);
    let seen = PollAnswer::Seen(report);
    scene
        .scheduler
        .apply_report(&"t1".into(), scene.now.boot, 0, &seen, scene.now);
    scene.advance(Duration::from_millis(100));
    assert!(scene.starts.is_empty());
    assert!(
        scene
            .scheduler
            .poll_order(&"t1".into(), scene.now.boot, scene.now)
            .is_none()
    );
}

/// Guards against a job that is late by seconds: its target answers polls, but none of its tasks
/// progress. The task is stopped and starts on another target, while one that progresses slowly is
/// left alone.
#[test]
fn stalled_task_moves() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(2000, vec![step(2, 1000)]);
    scene.add_target("t2", 2000);
    let (stuck, slow) = (&starts[0].1, &starts[1].1);
    for percent in 0..4 {
        let slow = model::work::RunReport {
            percent: 10 + percent,
            ..run_report(slow)
        };
        scene.report("t1", vec![run_report(stuck), slow], Vec::new());
        scene.advance(Duration::from_millis(900));
    }
    assert_eq!(scene.stop_count(), 1);
    let end = end_report(1, &stuck.task, stuck.attempt, EndKind::Stopped);
    scene.report("t1", vec![run_report(slow)], vec![end]);
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t2");
}

/// A workspace submits many times its usual amount and fills the pool. Its jobs beyond its weight
/// wait behind the jobs of others, including later ones.
#[test]
fn beyond_share_jobs_go_last() {
    let mut scene = SchedulerFixture::new(1);
    scene.set_workspace_weight(2);
    scene.add_target("t1", 1000);
    for job in ["a", "b", "c", "d"] {
        scene.submit(job, &plan(vec![step(1, 1000)]));
    }
    let order: Vec<bool> = scene
        .scheduler
        .job_table
        .jobs
        .values()
        .map(|job| job.beyond_share)
        .collect();
    assert_eq!(order, [false, false, true, true]);
    scene.advance(Duration::from_millis(500));
    scene.submit("e", &plan(vec![step(1, 1000)]));
    let starts = scene.confirm_starts();
    let (_, first) = &starts[0];
    let mut next = (first.task.clone(), first.attempt);
    let mut ran = vec![next.0.job.clone()];
    for number in 1..3 {
        scene.report(
            "t1",
            Vec::new(),
            vec![end_report(number, &next.0, next.1, EndKind::Done)],
        );
        let started = scene.confirm_starts();
        next = (started[0].1.task.clone(), started[0].1.attempt);
        ran.push(next.0.job.clone());
    }
    assert_eq!(ran, ["a", "b", "e"]);
}

/// Guards against reporting no pending jobs while all of them wait: their starts were refused, and
/// a refused start does not count as one.
#[test]
fn refused_start_leaves_job_pending() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    let refused = model::work::StartAnswer::Refused(model::work::StartRefusal::NoRoom);
    scene
        .scheduler
        .handle_start_answer(&id, &start.task, start.attempt, &refused, scene.now);
    scene.run_planning();
    assert_eq!(scene.scheduler.pending_jobs(harness::QUEUE, scene.now), 1);
    scene.advance(Duration::from_millis(600));
    scene.confirm_starts();
    assert_eq!(scene.scheduler.pending_jobs(harness::QUEUE, scene.now), 0);
}

/// Guards against blocking a target because of a start that this process did not send while its
/// lease was uncertain.
#[test]
fn withdrawn_start_keeps_target_usable() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene
        .scheduler
        .withdraw_unsent_start(&id, &start.task, start.attempt);
    scene.run_planning();
    assert_eq!(scene.confirm_starts().len(), 1);
    let target = &scene.scheduler.targets[&id];
    assert!(target.accepts_tasks(scene.now.boot) && !target.unreachable_recorded);
}

/// Guards against a start that was queued behind a slow link and is refused as too late because the
/// lease granted with its decision has expired.
#[test]
fn limit_start_extends_lease() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, mut start) = scene.starts.remove(0);
    let before = start.lease_until;
    let waited = Duration::from_secs(6);
    scene.now.boot += waited;
    let owned_until = scene.now.boot + Duration::from_secs(6);
    assert!(
        scene
            .scheduler
            .limit_start(&id, &mut start, owned_until, scene.now)
    );
    // The target's clock may be 2 % slow.
    assert!(start.lease_until >= before + waited * 97 / 100);
    assert_eq!(scene.scheduler.targets[&id].last_grant, scene.now.boot);
}

/// Guards against a start that takes effect beside those of a successor, because its sender was
/// suspended right before it wrote the order. The target has to refuse it by then.
#[rstest]
#[case::answers(false)]
#[case::is_unresponsive(true)]
fn limit_start_ends_with_ownership(#[case] unresponsive: bool) {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, mut start) = scene.starts.remove(0);
    if unresponsive {
        scene.time_out_poll("t1");
    }
    let owned_until = scene.now.boot + Duration::from_millis(700);
    assert!(
        scene
            .scheduler
            .limit_start(&id, &mut start, owned_until, scene.now)
    );
    // In the fixture, targets read the time since boot from their clocks.
    let read = scene.scheduler.targets[&id].clock_at(scene.now.boot);
    assert!(start.lease_until <= owned_until && Some(start.lease_until) > read);
}

/// Guards against a lease that the owner does not count: a start waits for a connection, and is sent
/// when its target has become unresponsive and the lease there has to expire.
#[test]
fn limit_start_unresponsive_grants_no_more() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, mut start) = scene.starts.remove(0);
    let (granted, counted) = (start.lease_until, scene.scheduler.targets[&id].last_grant);
    scene.advance(Duration::from_secs(2));
    scene.time_out_poll("t1");
    assert!(scene.scheduler.targets[&id].unresponsive);
    let owned_until = scene.now.boot + Duration::from_secs(6);
    assert!(
        scene
            .scheduler
            .limit_start(&id, &mut start, owned_until, scene.now)
    );
    assert!(start.lease_until <= granted);
    assert_eq!(scene.scheduler.targets[&id].last_grant, counted);
}

/// Guards against tasks whose lease expires right after their start, because the poll that grants
/// them the whole lease waits behind polls that can wait.
#[test]
fn poll_class_renews_after_start() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 2000);
    scene.now.boot += Duration::from_secs(60);
    scene.report_idle("t1");
    scene.submit("a", &plan(vec![step(1, 1000)]));
    let (id, mut start) = scene.starts.remove(0);
    let owned_until = scene.now.boot + Duration::from_millis(700);
    let (scheduler, now) = (&mut scene.scheduler, scene.now);
    assert!(scheduler.limit_start(&id, &mut start, owned_until, now));
    assert_eq!(scheduler.poll_class(&id, now), Some(CallClass::Renew));
    scheduler.poll_order(&id, now.boot, now);
    assert_eq!(scheduler.poll_class(&id, now), Some(CallClass::Poll));
    scheduler.upsert_target(restarted_target(2000), now);
    assert!(scheduler.targets[&id].last_renewal.is_zero());
}

/// Guards against a target that stays unusable, or is used with a clock that is known to be wrong,
/// after it refused a start as late.
#[test]
fn handle_start_answer_late_reads_clock() {
    let mut scene = SchedulerFixture::with_job(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    let late = StartAnswer::Refused(StartRefusal::Late);
    scene
        .scheduler
        .handle_start_answer(&id, &start.task, start.attempt, &late, scene.now);
    scene.run_planning();
    assert!(scene.starts.is_empty());
    scene.scheduler.set_ownership_uncertain(true);
    assert!(scene.scheduler.poll_class(&id, scene.now).is_some());
    scene.scheduler.set_ownership_uncertain(false);
    scene.report_idle("t1");
    assert_eq!(scene.starts.len(), 1);
}
