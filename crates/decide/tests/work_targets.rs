//! What becomes of tasks when targets leave, fall silent or are born again.

mod desk;

use std::time::Duration;

use desk::{DeskScene, LATER, ended, plan, reborn, running, step, target};
use model::work::{EndKind, PollAnswer, StepPlan, TargetEntry, TargetMode, TargetReport};
use rstest::rstest;

fn lasting(count: u32) -> StepPlan {
    StepPlan {
        long_running: true,
        ..step(count, 1000)
    }
}

/// A service has a gap of some seconds: its target announced that it would leave, the task
/// stayed until the target was gone, and then its granted time had to lapse. It is stopped at
/// once instead, and starts elsewhere when its end is listed.
#[test]
fn draining_lasting_task_moves() {
    let (mut scene, starts) = DeskScene::started(2000, vec![lasting(1)]);
    let (_, start) = &starts[0];
    scene.add("t2", 2000);
    let leaving = TargetEntry {
        mode: TargetMode::Draining,
        ..target("t1", 2000)
    };
    scene.desk.upsert_target(leaving, scene.now);
    scene.pass(Duration::from_millis(50));
    assert_eq!(scene.stops(), 1);
    scene.end("t1", start, EndKind::Stopped);
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t2");
}

/// A job is never done: a task that needs a label failed on the one host with it, and waited for
/// another host of its pool, on which it can't run at all.
#[test]
fn failed_task_waits_for_suiting_target_only() {
    let mut scene = DeskScene::new(1);
    scene.add("t1", 2000);
    let other = TargetEntry {
        labels: vec!["another".into(), "rack".into()],
        ..target("t2", 2000)
    };
    scene.desk.upsert_target(other, scene.now);
    scene.raise("t2");
    let labelled = StepPlan {
        required_label: "kind".into(),
        ..step(1, 1000)
    };
    scene.submit("a", &plan(vec![labelled]));
    let starts = scene.start_all();
    let (_, start) = &starts[0];
    let failed = ended(1, &start.task, start.attempt, EndKind::Failed);
    scene.see("t1", Vec::new(), vec![failed]);
    scene.pass(Duration::from_millis(50));
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t1");
}

/// A job stands still though half of its pool is free: a task failed on one host, and the others
/// are full for long. After a while it takes the host that it failed on.
#[test]
fn failed_task_waits_for_bounded_time() {
    let mut scene = DeskScene::new(1);
    scene.add("t2", 2000);
    scene.submit("full", &plan(vec![lasting(1)]));
    scene.submit("full-too", &plan(vec![lasting(1)]));
    assert_eq!(scene.start_all().len(), 2);
    scene.add("t1", 2000);
    scene.submit("a", &plan(vec![step(1, 1000)]));
    let starts = scene.start_all();
    let (_, start) = &starts[0];
    let failed = ended(1, &start.task, start.attempt, EndKind::Failed);
    scene.see("t1", Vec::new(), vec![failed]);
    scene.pass(Duration::from_millis(500));
    assert!(scene.starts.is_empty(), "another host may get free");
    scene.pass(Duration::from_millis(2000));
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t1");
}

/// A batch runs twice: a target had crashed behind a cut and come back at its address under another
/// id, and then the entry of the life before showed once more in the host list. It ended the life
/// that ran the batch.
#[test]
fn older_life_at_address_ends_nothing() {
    let mut scene = DeskScene::new(1);
    let older = target("t1", 2000);
    let newer = TargetEntry {
        address: older.address.clone(),
        started_at: Duration::from_secs(500),
        ..target("t2", 2000)
    };
    scene.desk.upsert_target(older.clone(), scene.now);
    let sight = model::work::TargetReport {
        clock: scene.now.boot,
        started_at: newer.started_at,
        ..model::work::TargetReport::default()
    };
    scene.desk.upsert_target(newer, scene.now);
    scene.run();
    let seen = PollAnswer::Seen(sight);
    let sent = scene.now.boot;
    scene
        .desk
        .apply_report(&"t2".into(), sent, 0, &seen, scene.now);
    scene.submit("a", &plan(vec![step(1, 2000)]));
    let starts = scene.start_all();
    assert_eq!(starts[0].0, "t2");
    scene.add("t3", 2000);
    scene.desk.upsert_target(older, scene.now);
    scene.pass(Duration::from_millis(50));
    assert!(scene.starts.is_empty(), "it still runs on t2");
    let listed = scene.desk.listed_targets();
    assert!(!listed.contains(&"t1".into()) && listed.contains(&"t2".into()));
}

/// A batch runs twice: its target was cut off, left the host list and ran on. Nothing is
/// started elsewhere before the time that was granted to the target has lapsed.
#[test]
fn silent_target_lapses_first() {
    let (mut scene, starts) = DeskScene::started(2000, vec![step(1, 1000)]);
    scene.see("t1", vec![running(&starts[0].1)], Vec::new());
    scene.add("t2", 2000);
    let order = scene.desk.poll_order(&"t1".into(), scene.now);
    assert!(order.is_some_and(|order| order.lease_until.is_some()));
    scene.desk.mark_target_unlisted(&"t1".into());
    for _ in 0..30 {
        scene.pass(Duration::from_millis(200));
        scene.miss("t1");
        assert!(scene.starts.is_empty(), "6 s were granted");
    }
    scene.pass(Duration::from_millis(600));
    assert_eq!(scene.starts.len(), 1);
}

/// A target crashes and comes back under its id within a heartbeat. What ran there is over, and
/// starts again at once, without waiting for any lapse.
#[test]
fn reborn_target_frees_tasks() {
    let (mut scene, starts) = DeskScene::started(2000, vec![step(1, 1000)]);
    scene.see("t1", vec![running(&starts[0].1)], Vec::new());
    scene.desk.upsert_target(reborn(2000), scene.now);
    scene.run();
    assert!(
        scene.starts.is_empty(),
        "the new life has not seen the token"
    );
    let order = scene.desk.poll_order(&"t1".into(), scene.now);
    assert!(order.is_some());
    let sight = TargetReport {
        started_at: LATER,
        ..TargetReport::default()
    };
    let seen = PollAnswer::Seen(sight);
    scene
        .desk
        .apply_report(&"t1".into(), scene.now.boot, 0, &seen, scene.now);
    scene.run();
    assert_eq!(scene.starts.len(), 1);
}

/// A batch runs twice: a start was not answered, its target crashed and came back under its id,
/// and the start was carried out there. The new life knows nothing of the stop that closed the
/// start in the old one, so it is stopped there once more.
#[test]
fn doubtful_start_closes_in_next_life() {
    let mut scene = DeskScene::submitted(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.leave_unanswered(&id, &start);
    scene.see("t1", Vec::new(), Vec::new());
    scene.answer_stop(&id, &start, scene.now.boot);
    scene.see("t1", Vec::new(), Vec::new());
    assert_eq!(scene.stops(), 1);
    scene.desk.upsert_target(reborn(2000), scene.now);
    scene.run();
    assert_eq!(scene.stops(), 2);
}

/// A start is not answered and arrives seconds later. It is asked for, closed by a stop, and
/// the task starts elsewhere only when the stop was answered and the run is not there.
#[test]
fn unanswered_start_closes_first() {
    let mut scene = DeskScene::submitted(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.add("t2", 2000);
    scene.leave_unanswered(&id, &start);
    scene.run();
    scene.see("t1", Vec::new(), Vec::new());
    assert_eq!(scene.stops(), 1);
    assert!(scene.starts.is_empty());
    scene.answer_stop(&id, &start, scene.now.boot);
    scene.see("t1", Vec::new(), Vec::new());
    assert_eq!(scene.starts.len(), 1);
}

/// A service lacks a task for ten seconds though a host has room: the host was being emptied for
/// its maintenance, and could not be, since a task on it did not end. After a short while the
/// service comes first.
#[test]
fn starved_lasting_task_takes_emptying_host() {
    let mut scene = DeskScene::new(1);
    scene.add("t1", 2000);
    scene.empty("t1");
    scene.submit("a", &plan(vec![lasting(1)]));
    assert!(scene.starts.is_empty());
    for _ in 0..20 {
        scene.pass(Duration::from_millis(50));
    }
    assert_eq!(scene.starts.len(), 1);
}

/// A caller's job fails though only one target was broken: its task failed there, started there
/// again at once since the other target was full, and failed for the last time.
#[test]
fn failed_task_waits_for_another_target() {
    let (mut scene, starts) = DeskScene::started(1000, vec![step(1, 1000)]);
    let (_, start) = &starts[0];
    scene.add("t2", 1000);
    scene.submit("b", &plan(vec![step(1, 1000)]));
    let other = scene.start_all();
    scene.end("t1", start, EndKind::Failed);
    scene.pass(Duration::from_secs(2));
    assert!(scene.starts.is_empty());
    let (_, busy) = &other[0];
    scene.end("t2", busy, EndKind::Done);
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t2");
}

/// A log fills with one line again and again: a stray run is listed until its target has ended
/// it, which takes a moment after the stop was answered.
#[test]
fn stray_run_is_stopped_once() {
    let (mut scene, starts) = DeskScene::started(1000, vec![step(1, 1000)]);
    let (id, start) = &starts[0];
    scene.desk.cancel(&"a".into(), scene.now);
    scene.run();
    assert_eq!(scene.stops(), 1);
    scene.answer_stop(id, start, scene.now.boot);
    for _ in 0..5 {
        scene.see("t1", vec![running(start)], Vec::new());
    }
    assert_eq!(scene.stops(), 1);
    scene.pass(Duration::from_millis(600));
    scene.see("t1", vec![running(start)], Vec::new());
    assert_eq!(scene.stops(), 2, "a stop that had no effect is repeated");
}

/// A batch runs twice: the store was away when its task ended, the target was cut off and given
/// up, and came back with the same end. If the target were told to forget the end now and the
/// owner died before the store is back, a successor would find neither entry nor end.
#[rstest]
#[case::job_goes_on(vec![step(1, 1000), step(1, 1000)])]
#[case::job_completed(vec![step(1, 1000)])]
fn known_end_waits_for_store(#[case] steps: Vec<StepPlan>) {
    let (mut scene, starts) = DeskScene::started(2000, steps);
    let (_, start) = &starts[0];
    scene.store_away = true;
    let end = ended(1, &start.task, start.attempt, EndKind::Done);
    scene.see("t1", Vec::new(), vec![end.clone()]);
    scene.pass(Duration::from_secs(3));
    scene.miss("t1");
    scene.pass(Duration::from_secs(7));
    scene.see("t1", Vec::new(), vec![end]);
    let order = scene.desk.poll_order(&"t1".into(), scene.now);
    assert_eq!(order.map_or(0, |order| order.acked_end), 0);
}

/// A target gets more than it holds: of a gang one member's end stood for all, while the start of
/// another was not answered yet. Its room was given back, and the start was carried out seconds
/// later. It is closed by a stop, and the room stays taken until then.
#[test]
fn done_gang_closes_doubtful_member() {
    let mut scene = DeskScene::new(1);
    for target in ["t1", "t2"] {
        scene.add(target, 1000);
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
    scene.leave_unanswered(second, lost);
    scene.end(first, done, EndKind::Done);
    assert_eq!(scene.stops(), 1);
    scene.see(second, Vec::new(), Vec::new());
    scene.submit("b", &plan(vec![step(2, 1000)]));
    assert_eq!(
        scene.starts.len(),
        1,
        "the room of the doubtful start is not free"
    );
}

/// A batch runs twice: an owner that has lost the store goes on, its successor knows that a task
/// is done, and a target is born again. The new life has seen neither token; the old owner must
/// not be the first to give it orders.
#[test]
fn lone_owner_leaves_new_life() {
    let (mut scene, starts) = DeskScene::started(2000, vec![step(1, 1000)]);
    scene.see("t1", vec![running(&starts[0].1)], Vec::new());
    scene.desk.set_ownership_uncertain(true);
    let sight = TargetReport {
        started_at: LATER,
        ..TargetReport::default()
    };
    scene.now.boot += Duration::from_millis(100);
    let seen = PollAnswer::Seen(sight);
    scene
        .desk
        .apply_report(&"t1".into(), scene.now.boot, 0, &seen, scene.now);
    scene.pass(Duration::from_millis(100));
    assert!(scene.starts.is_empty());
    assert!(scene.desk.poll_order(&"t1".into(), scene.now).is_none());
}

/// A batch is late by seconds: its target answers looks, and nothing that it runs gets on. The
/// task is stopped and starts on another target, while one that gets on slowly is left alone.
#[test]
fn stalled_task_moves() {
    let (mut scene, starts) = DeskScene::started(2000, vec![step(2, 1000)]);
    scene.add("t2", 2000);
    let (stuck, slow) = (&starts[0].1, &starts[1].1);
    for percent in 0..4 {
        let slow = model::work::RunReport {
            percent: 10 + percent,
            ..running(slow)
        };
        scene.see("t1", vec![running(stuck), slow], Vec::new());
        scene.pass(Duration::from_millis(900));
    }
    assert_eq!(scene.stops(), 1);
    let end = ended(1, &stuck.task, stuck.attempt, EndKind::Stopped);
    scene.see("t1", vec![running(slow)], vec![end]);
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.starts[0].0, "t2");
}

/// A workspace sends many times its usual and fills the pool. What it sends beyond its weight
/// waits behind the jobs of others, also those that were handed in later.
#[test]
fn jobs_beyond_share_go_last() {
    let mut scene = DeskScene::new(1);
    scene.weigh(2);
    scene.add("t1", 1000);
    for job in ["a", "b", "c", "d"] {
        scene.submit(job, &plan(vec![step(1, 1000)]));
    }
    let order: Vec<bool> = scene
        .desk
        .job_table
        .jobs
        .values()
        .map(|job| job.beyond_share)
        .collect();
    assert_eq!(order, [false, false, true, true]);
    scene.pass(Duration::from_millis(500));
    scene.submit("e", &plan(vec![step(1, 1000)]));
    let starts = scene.start_all();
    let (_, first) = &starts[0];
    let mut next = (first.task.clone(), first.attempt);
    let mut ran = vec![next.0.job.clone()];
    for number in 1..3 {
        scene.see(
            "t1",
            Vec::new(),
            vec![ended(number, &next.0, next.1, EndKind::Done)],
        );
        let started = scene.start_all();
        next = (started[0].1.task.clone(), started[0].1.attempt);
        ran.push(next.0.job.clone());
    }
    assert_eq!(ran, ["a", "b", "e"]);
}

/// An operator is told that no job waits while all of them do: their starts were refused, and a
/// refused start is none.
#[test]
fn refused_start_leaves_job_pending() {
    let mut scene = DeskScene::submitted(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    let refused = model::work::StartAnswer::Refused(model::work::StartRefusal::NoRoom);
    scene
        .desk
        .handle_start_answer(&id, &start.task, start.attempt, &refused, scene.now);
    scene.run();
    assert_eq!(scene.desk.pending_jobs(desk::QUEUE, scene.now), 1);
    scene.pass(Duration::from_millis(600));
    scene.start_all();
    assert_eq!(scene.desk.pending_jobs(desk::QUEUE, scene.now), 0);
}

/// Guards against closing a target for a start that this process did not send, as it was not sure of
/// its lease.
#[test]
fn withdrawn_start_leaves_target_open() {
    let mut scene = DeskScene::submitted(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene
        .desk
        .withdraw_unsent_start(&id, &start.task, start.attempt);
    scene.run();
    assert_eq!(scene.start_all().len(), 1);
    let target = &scene.desk.targets[&id];
    assert!(target.accepts_tasks(scene.now.boot) && !target.unreachable_recorded);
}

/// Guards against a start that waited for its turn behind a narrow link and is refused as too late,
/// since the time that was granted with its decision is over.
#[test]
fn renew_start_grants_time_anew() {
    let mut scene = DeskScene::new(1);
    scene.add("t1", 2000);
    scene.submit("a", &plan(vec![step(1, 1000)]));
    let (id, mut start) = scene.starts.remove(0);
    let before = start.lease_until;
    let waited = Duration::from_secs(6);
    scene.now.boot += waited;
    scene.desk.renew_start_deadline(&id, &mut start, scene.now);
    // The target's clock may be 2 % slow.
    assert!(start.lease_until >= before + waited * 97 / 100);
    assert_eq!(scene.desk.targets[&id].last_grant, scene.now.boot);
}
