//! Records of unreachable targets in the job log, and what a successor does with them.

mod desk;

use std::time::Duration;

use decide::work::SchedulerAction;
use desk::{DeskScene, plan, running, step};
use model::work::StartOrder;

/// Lease, the margins after it, and one tick.
const LEASE_EXPIRY: Duration = Duration::from_millis(8500);

/// Job `a` runs on `t1`, job `b` waits for capacity, and `t1` has become unreachable.
fn with_unreachable_target() -> (DeskScene, StartOrder) {
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

/// Guards against a pool that is blocked after a change of the owner because one of its targets was
/// already unreachable.
#[test]
fn successor_unreachable_target_starts_others() {
    let (scene, _) = with_unreachable_target();
    let mut next = scene.successor(2);
    next.add("t2", 2000);
    assert_eq!(jobs_of(&next.start_all()), ["b"]);
}

/// Guards against running a task twice: it may still run on its unreachable target.
#[test]
fn successor_unreachable_run_waits_for_lease() {
    let (scene, _) = with_unreachable_target();
    let mut next = scene.successor(2);
    next.add("t2", 2000);
    next.start_all();
    next.pass(Duration::from_secs(5));
    assert!(next.starts.is_empty());
    next.pass(LEASE_EXPIRY.saturating_sub(Duration::from_secs(5)));
    next.pass(Duration::from_millis(50));
    assert_eq!(jobs_of(&next.starts), ["a"]);
}

/// Guards against losing a run on a target that is reachable again before its lease expires.
#[test]
fn successor_reachable_again_adopts_run() {
    let (scene, start) = with_unreachable_target();
    let mut next = scene.successor(2);
    next.list("t1", 1000);
    next.see("t1", vec![running(&start)], Vec::new());
    next.pass(LEASE_EXPIRY);
    assert_eq!(next.stops(), 0);
    assert!(next.starts.is_empty());
}

/// Guards against stopping a run that replaced the one recorded for an unreachable target.
#[test]
fn successor_later_run_elsewhere_kept() {
    let (mut scene, _) = with_unreachable_target();
    scene.add("t2", 2000);
    scene.start_all();
    scene.pass(Duration::from_secs(2));
    scene.miss("t1");
    scene.pass(LEASE_EXPIRY);
    let later = scene.start_all();
    assert_eq!(jobs_of(&later), ["a"]);
    let mut next = scene.successor(2);
    next.list("t2", 2000);
    next.see("t2", vec![running(&later[0].1)], Vec::new());
    assert_eq!(next.stops(), 0);
}

/// Guards against a start on an unreachable target that the log does not show as used.
#[test]
fn start_unreachable_target_waits_for_record() {
    let (mut scene, start) = with_unreachable_target();
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
