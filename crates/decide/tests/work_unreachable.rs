//! Records of unreachable targets in the job log, and what a successor does with them.

mod harness;

use std::time::Duration;

use decide::work::SchedulerAction;
use harness::{SchedulerFixture, plan, run_report, step};
use model::work::{StartAnswer, StartOrder};

/// Lease, the margins after it, and one tick.
const LEASE_EXPIRY: Duration = Duration::from_millis(8500);

/// Job `a` runs on `t1`, job `b` waits for capacity, and `t1` has become unreachable.
fn with_unreachable_target() -> (SchedulerFixture, StartOrder) {
    let (mut scene, mut starts) = SchedulerFixture::with_running_job(1000, vec![step(1, 1000)]);
    let (_, start) = starts.remove(0);
    scene.report("t1", vec![run_report(&start)], Vec::new());
    scene.submit("b", &plan(vec![step(1, 1000)]));
    scene.time_out_poll("t1");
    scene.run_planning();
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
    next.add_target("t2", 2000);
    assert_eq!(jobs_of(&next.confirm_starts()), ["b"]);
}

/// Guards against running a task twice: it may still run on its unreachable target.
#[test]
fn successor_unreachable_run_waits_for_lease() {
    let (scene, _) = with_unreachable_target();
    let mut next = scene.successor(2);
    next.add_target("t2", 2000);
    next.confirm_starts();
    next.advance(Duration::from_secs(5));
    assert!(next.starts.is_empty());
    next.advance(LEASE_EXPIRY.saturating_sub(Duration::from_secs(5)));
    next.advance(Duration::from_millis(50));
    assert_eq!(jobs_of(&next.starts), ["a"]);
}

/// Guards against losing a run on a target that is reachable again before its lease expires.
#[test]
fn successor_reachable_again_adopts_run() {
    let (scene, start) = with_unreachable_target();
    let mut next = scene.successor(2);
    next.list_target("t1", 1000);
    next.report("t1", vec![run_report(&start)], Vec::new());
    next.advance(LEASE_EXPIRY);
    assert_eq!(next.stop_count(), 0);
    assert!(next.starts.is_empty());
}

/// Guards against stopping a run that replaced the one recorded for an unreachable target.
#[test]
fn successor_later_run_elsewhere_kept() {
    let (mut scene, _) = with_unreachable_target();
    scene.add_target("t2", 2000);
    scene.confirm_starts();
    scene.advance(Duration::from_secs(2));
    scene.time_out_poll("t1");
    scene.advance(LEASE_EXPIRY);
    let later = scene.confirm_starts();
    assert_eq!(jobs_of(&later), ["a"]);
    let mut next = scene.successor(2);
    next.list_target("t2", 2000);
    next.report("t2", vec![run_report(&later[0].1)], Vec::new());
    assert_eq!(next.stop_count(), 0);
}

/// Guards against a start on an unreachable target that the log does not show as used.
#[test]
fn start_unreachable_target_waits_for_record() {
    let (mut scene, start) = with_unreachable_target();
    scene.report("t1", vec![run_report(&start)], Vec::new());
    scene.cancel("a");
    assert!(
        !scene
            .confirm_starts()
            .iter()
            .any(|(_, start)| start.task.job == "b")
    );
    scene.store_down = true;
    scene.time_out_poll("t1");
    scene.run_planning();
    let recorded = |order: &SchedulerAction| matches!(order, SchedulerAction::AppendLog(_));
    assert!(scene.other_actions.iter().any(recorded));
    scene.report("t1", Vec::new(), Vec::new());
    scene.advance(Duration::from_millis(100));
    assert!(scene.starts.is_empty());
}

/// Guards against a target that is lost for the rest of a term: a start could not be sent to it, and
/// as nothing runs there, nothing asked whether it is reachable again.
#[test]
fn unreachable_idle_target_is_polled() {
    let mut scene = SchedulerFixture::with_job(1000, vec![step(1, 1000)]);
    let (id, start) = scene.starts.remove(0);
    let not_sent = StartAnswer::NotSent("no connection".to_owned());
    let now = scene.now;
    scene
        .scheduler
        .handle_start_answer(&id, &start.task, start.attempt, &not_sent, now);
    scene.run_planning();
    assert!(scene.scheduler.poll_class(&id, scene.now).is_some());
    scene.advance(Duration::from_secs(1));
    scene.report_idle("t1");
    scene.advance(Duration::from_millis(50));
    assert_eq!(jobs_of(&scene.starts), ["a"]);
}

/// An idle target that answers costs no polls.
#[test]
fn reachable_idle_target_is_not_polled() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 1000);
    assert_eq!(scene.scheduler.poll_class(&"t1".into(), scene.now), None);
}
