//! On what evidence a target's life is taken for ended, and what becomes of its tasks then.

mod desk;

use std::time::Duration;

use desk::{DeskScene, LATER, plan, reborn, running, step, target};
use model::{
    HostId,
    work::{EndKind, EndReport, PollAnswer, RunReport, TargetEntry, TargetMode, TargetReport},
};

/// Looks at the later life of `t1`.
fn see_reborn(scene: &mut DeskScene, running: Vec<RunReport>, ended: Vec<EndReport>) {
    scene.now.boot += Duration::from_millis(1);
    let sent = scene.now.boot;
    scene.now.boot += Duration::from_millis(1);
    let sight = TargetReport {
        clock: Duration::from_secs(1),
        started_at: LATER,
        running,
        ended,
    };
    let seen = PollAnswer::Seen(sight);
    scene
        .desk
        .apply_report(&"t1".into(), sent, 0, &seen, scene.now);
    scene.run();
}

/// A batch runs twice: an idle target had restarted under its id, which nobody noticed, since idle
/// targets are not looked at and the store's answers came late. It took starts, and when its new
/// entry came they were taken for ended with the life before and started elsewhere.
#[test]
fn reborn_target_keeps_unseen_runs() {
    let (mut scene, starts) = DeskScene::started(2000, vec![step(2, 1000)]);
    scene.add("t2", 2000);
    scene.desk.upsert_target(reborn(2000), scene.now);
    scene.run();
    assert!(scene.starts.is_empty(), "the new life may run them");
    see_reborn(&mut scene, vec![running(&starts[0].1)], Vec::new());
    assert_eq!(scene.stops(), 0);
    assert_eq!(scene.starts.len(), 1, "the other ran in the life before");
    assert_eq!(scene.starts[0].1.task, starts[1].1.task);
}

/// A batch runs twice: a new life was taken for unused, and fell silent while it ran a task that
/// had been sent to the life before. What the start granted has to lapse.
#[test]
fn reborn_target_lapses_first() {
    let mut scene = DeskScene::submitted(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.add("t2", 2000);
    scene.leave_unanswered(&id, &start);
    scene.desk.upsert_target(reborn(2000), scene.now);
    scene.run();
    for _ in 0..25 {
        scene.pass(Duration::from_millis(200));
        scene.miss("t1");
        scene.desk.mark_target_unlisted(&"t1".into());
        scene.run();
        assert!(scene.starts.is_empty(), "five seconds were granted");
    }
    scene.pass(Duration::from_millis(1600));
    assert_eq!(scene.starts.len(), 1);
}

/// A batch runs twice: a look told of a restart before the host list did, and a start that was
/// under way to the life before was taken for lost. It may still reach the new one.
#[test]
fn reborn_unlisted_target_closes_start() {
    let mut scene = DeskScene::submitted(2000, vec![step(1, 1000)]);
    assert_eq!(scene.starts.len(), 1);
    scene.starts.clear();
    scene.add("t2", 2000);
    scene.desk.mark_target_unlisted(&"t1".into());
    see_reborn(&mut scene, Vec::new(), Vec::new());
    assert!(scene.starts.is_empty(), "it may still arrive");
    assert_eq!(scene.stops(), 1);
}

/// A batch runs twice after it was done: a target restarted unnoticed, ran the batch, and was told
/// with the next look to forget its ends up to the number that the life before had reached. A
/// target that has not been heard for a while is asked without that first.
#[test]
fn look_after_pause_forgets_no_ends() {
    let (mut scene, starts) = DeskScene::started(2000, vec![step(1, 1000)]);
    scene.end("t1", &starts[0].1, EndKind::Done);
    let order = scene.desk.poll_order(&"t1".into(), scene.now);
    assert_eq!(order.map(|order| order.acked_end), Some(1));
    let seen = PollAnswer::Seen(TargetReport {
        clock: scene.now.boot,
        started_at: Duration::from_secs(1),
        ..TargetReport::default()
    });
    let sent = scene.now.boot;
    scene
        .desk
        .apply_report(&"t1".into(), sent, 1, &seen, scene.now);
    scene.pass(Duration::from_secs(5));
    scene.submit("b", &plan(vec![step(1, 1000)]));
    assert_eq!(scene.start_all().len(), 1);
    let order = scene.desk.poll_order(&"t1".into(), scene.now);
    assert_eq!(order.map(|order| order.acked_end), Some(0));
    scene.raise("t1");
    let order = scene.desk.poll_order(&"t1".into(), scene.now);
    assert_eq!(order.map(|order| order.acked_end), Some(1));
}

/// A batch runs twice: all entries of targets had lapsed while the store was away, and the entry
/// of the life before came back first. It ended the life that ran the batch.
#[test]
fn older_life_ends_no_unlisted_life() {
    let (mut scene, starts) = DeskScene::started(2000, vec![step(1, 2000)]);
    scene.see("t1", vec![running(&starts[0].1)], Vec::new());
    scene.add("t2", 2000);
    scene.desk.mark_target_unlisted(&"t1".into());
    let older = TargetEntry {
        started_at: Duration::from_millis(1),
        address: "t1:80".into(),
        ..target("t0", 2000)
    };
    scene.desk.upsert_target(older, scene.now);
    scene.run();
    assert!(scene.starts.is_empty(), "it runs on t1");
}

/// A batch runs twice: an entry of another writer, without the time of a start or of a pool that
/// nobody knows, named the address of a target that ran it.
#[test]
fn foreign_entry_ends_nothing() {
    let foreign = TargetEntry {
        address: "t1:80".into(),
        ..target("foreign", 2000)
    };
    let unborn = TargetEntry {
        started_at: Duration::ZERO,
        ..foreign.clone()
    };
    let unknown = TargetEntry {
        pool: "nowhere".into(),
        started_at: LATER,
        ..foreign
    };
    for entry in [unborn, unknown] {
        let mut scene = DeskScene::new(1);
        scene.add("t1", 2000);
        scene.submit("a", &plan(vec![step(1, 2000)]));
        let starts = scene.start_all();
        scene.see("t1", vec![running(&starts[0].1)], Vec::new());
        scene.add("t2", 2000);
        scene.desk.upsert_target(entry, scene.now);
        scene.run();
        assert!(scene.starts.is_empty(), "it runs on t1");
    }
}

/// A pool lacks a host for the rest of a term: the successor had not looked at a target yet when
/// the entry of the life before showed once more, and took the present one for ended.
#[test]
fn older_life_ends_no_inherited_life() {
    let mut first = DeskScene::new(1);
    first.add("t1", 2000);
    let mut second = first.successor(9);
    second.list("t1", 2000);
    let older = TargetEntry {
        started_at: Duration::from_millis(1),
        address: "t1:80".into(),
        ..target("t0", 2000)
    };
    second.desk.upsert_target(older, second.now);
    assert_eq!(second.desk.listed_targets(), [HostId::from("t1")]);
}

/// A target takes more than it holds: it had restarted as a smaller one under its id, and an event
/// of the store about the life before came after the new entry.
#[test]
fn older_entry_changes_nothing() {
    let mut scene = DeskScene::new(1);
    scene.add("t1", 4000);
    scene.desk.upsert_target(reborn(1000), scene.now);
    let older = TargetEntry {
        mode: TargetMode::Draining,
        ..target("t1", 4000)
    };
    scene.desk.upsert_target(older, scene.now);
    see_reborn(&mut scene, Vec::new(), Vec::new());
    scene.submit("a", &plan(vec![step(2, 1000)]));
    assert_eq!(scene.starts.len(), 1);
}

/// A batch runs twice: its target had left the host list while the store was away, and two lists
/// of hosts lacked its life though it answered every look.
#[test]
fn answering_life_outlasts_lists() {
    let (mut scene, starts) = DeskScene::started(2000, vec![step(1, 1000)]);
    scene.add("t2", 2000);
    scene.desk.mark_target_unlisted(&"t1".into());
    let lives = ["t2".into()].into();
    for _ in 0..6 {
        scene.see("t1", vec![running(&starts[0].1)], Vec::new());
        scene.pass(Duration::from_millis(500));
        scene
            .desk
            .update_incarnations(&lives, scene.now.boot, scene.now);
        scene.pass(Duration::from_millis(450));
        scene
            .desk
            .update_incarnations(&lives, scene.now.boot, scene.now);
        scene.run();
        assert!(scene.starts.is_empty(), "it runs on t1");
    }
    scene.pass(Duration::from_millis(1000));
    scene
        .desk
        .update_incarnations(&lives, scene.now.boot, scene.now);
    scene
        .desk
        .update_incarnations(&lives, scene.now.boot, scene.now);
    scene.run();
    assert_eq!(scene.starts.len(), 1, "it answers no more");
}

/// A target is lost for the rest of a term: it had just come back under its id when the answer
/// to a call that was sent before named another life at its address.
#[test]
fn late_answer_ends_no_later_life() {
    let mut scene = DeskScene::new(1);
    scene.add("t1", 2000);
    let sent = scene.now.boot;
    scene.pass(Duration::from_millis(100));
    scene.desk.upsert_target(reborn(2000), scene.now);
    let other = PollAnswer::OtherLife;
    scene
        .desk
        .apply_report(&"t1".into(), sent, 0, &other, scene.now);
    assert_eq!(scene.desk.listed_targets(), [HostId::from("t1")]);
    scene
        .desk
        .apply_report(&"t1".into(), scene.now.boot, 0, &other, scene.now);
    assert!(scene.desk.listed_targets().is_empty());
}

/// A task of a cancelled job runs on: its start was not answered and held back by the target, and
/// had been stopped meanwhile. The target restarted, where nobody knew of that stop, and nobody
/// looks at a target that is taken to be idle.
#[test]
fn stopped_start_closes_in_next_life() {
    let mut scene = DeskScene::submitted(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.cancel("a");
    assert_eq!(scene.stops(), 1);
    scene.leave_unanswered(&id, &start);
    scene.answer_stop(&id, &start, scene.now.boot);
    scene.raise("t1");
    scene.desk.upsert_target(reborn(2000), scene.now);
    scene.run();
    assert_eq!(scene.stops(), 2, "one in each life");
}

/// A batch runs twice: the answer to a stop in the life before came after the next life had begun,
/// and was taken for the answer to the stop there.
#[test]
fn stop_answer_counts_for_its_life() {
    let mut scene = DeskScene::submitted(2000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    scene.add("t2", 2000);
    scene.leave_unanswered(&id, &start);
    scene.raise("t1");
    assert_eq!(scene.stops(), 1);
    let sent = scene.now.boot;
    scene.pass(Duration::from_millis(100));
    scene.desk.upsert_target(reborn(2000), scene.now);
    scene.run();
    assert!(scene.stops() > 1, "the new life knows nothing of the first");
    scene.answer_stop(&id, &start, sent);
    see_reborn(&mut scene, Vec::new(), Vec::new());
    assert!(scene.starts.is_empty(), "the second is not answered");
    let sent = scene.now.boot;
    scene.answer_stop(&id, &start, sent);
    see_reborn(&mut scene, Vec::new(), Vec::new());
    assert_eq!(scene.starts.len(), 1);
}
