//! A rack is dark and the owner changes: what the log tells of targets that were not heard.

mod desk;

use std::time::Duration;

use decide::work::SchedulerAction;
use desk::{DeskScene, plan, running, step};
use model::work::StartOrder;

/// Granted time, the margins after it, and a tick.
const LAPSE: Duration = Duration::from_millis(8500);

/// A task of job `a` runs on `t1`, job `b` waits for room, and `t1` is not heard any more.
fn missed() -> (DeskScene, StartOrder) {
    let (mut scene, mut starts) = DeskScene::started(1000, vec![step(1, 1000)]);
    let (_, start) = starts.remove(0);
    scene.see("t1", vec![running(&start)], Vec::new());
    scene.submit("b", &plan(vec![step(1, 1000)]));
    scene.miss("t1");
    scene.run();
    (scene, start)
}

fn jobs_of(starts: &[(model::HostId, StartOrder)]) -> Vec<&str> {
    let jobs = starts.iter().map(|(_, start)| start.task.job.as_str());
    jobs.collect()
}

/// Guards against a pool that stands still after a change of the owner, since one target of it was
/// out of reach before.
#[test]
fn successor_missed_target_starts_others() {
    let (scene, _) = missed();
    let mut next = scene.successor(2);
    next.add("t2", 2000);
    assert_eq!(jobs_of(&next.start_all()), ["b"]);
}

/// Guards against running a task twice that may go on where its target is out of reach.
#[test]
fn successor_missed_run_waits_for_lapse() {
    let (scene, _) = missed();
    let mut next = scene.successor(2);
    next.add("t2", 2000);
    next.start_all();
    next.pass(Duration::from_secs(5));
    assert!(next.starts.is_empty());
    next.pass(LAPSE.saturating_sub(Duration::from_secs(5)));
    next.pass(Duration::from_millis(50));
    assert_eq!(jobs_of(&next.starts), ["a"]);
}

/// Guards against losing what went on at a target that is back before its time has lapsed.
#[test]
fn successor_missed_run_is_adopted() {
    let (scene, start) = missed();
    let mut next = scene.successor(2);
    next.list("t1", 1000);
    next.see("t1", vec![running(&start)], Vec::new());
    next.pass(LAPSE);
    assert_eq!(next.stops(), 0);
    assert!(next.starts.is_empty());
}

/// Guards against stopping a run that followed the one which is recorded of a missed target.
#[test]
fn successor_later_run_elsewhere_is_kept() {
    let (mut scene, _) = missed();
    scene.add("t2", 2000);
    scene.start_all();
    scene.pass(Duration::from_secs(2));
    scene.miss("t1");
    scene.pass(LAPSE);
    let later = scene.start_all();
    assert_eq!(jobs_of(&later), ["a"]);
    let mut next = scene.successor(2);
    next.list("t2", 2000);
    next.see("t2", vec![running(&later[0].1)], Vec::new());
    assert_eq!(next.stops(), 0);
}

/// Guards against a start on a missed target that no entry of the log tells of.
#[test]
fn missed_target_takes_nothing_until_recorded() {
    let (mut scene, start) = missed();
    scene.see("t1", vec![running(&start)], Vec::new());
    scene.cancel("a");
    assert!(
        !scene
            .start_all()
            .iter()
            .any(|(_, start)| start.task.job == "b")
    );
    scene.store_away = true;
    scene.miss("t1");
    scene.run();
    let recorded = |order: &SchedulerAction| matches!(order, SchedulerAction::AppendLog(_));
    assert!(scene.others.iter().any(recorded));
    scene.see("t1", Vec::new(), Vec::new());
    scene.pass(Duration::from_millis(100));
    assert!(scene.starts.is_empty());
}
