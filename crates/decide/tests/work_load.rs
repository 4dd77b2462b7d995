//! Planning while a pool is full and many jobs wait.

mod harness;

use std::sync::Arc;

use harness::{
    SchedulerFixture, end_report, long_running_pair, plan, policy_with_limit, run_report, step,
};
use model::work::{EndKind, StartOrder};

/// Creates a scene whose workspace has no limit.
fn scene() -> SchedulerFixture {
    let mut scene = SchedulerFixture::new(1);
    scene.scheduler.set_policy(Arc::new(policy_with_limit(0)));
    scene
}

/// In a burst the pool is full, 300 jobs wait, and each end frees the resources of one task. Only
/// the first task in starting order must get them.
#[test]
fn plan_full_pool_starts_one_task_per_end() {
    let mut scene = scene();
    scene.add_target("t1", 2000);
    for job in 0..300 {
        scene.submit(&format!("job{job:03}"), &plan(vec![step(1, 1000)]));
    }
    let mut running_tasks = scene.confirm_starts();
    assert_eq!(running_tasks.len(), 2);
    for number in 1..=20 {
        let (_, first) = running_tasks.remove(0);
        let remaining = running_tasks
            .iter()
            .map(|(_, start)| run_report(start))
            .collect();
        let end = end_report(number, &first.task, first.attempt, EndKind::Done);
        scene.report("t1", remaining, vec![end]);
        let started = scene.confirm_starts();
        assert_eq!(started.len(), 1);
        running_tasks.extend(started);
    }
}

/// A burst behind a link that carries four starts at a time. Guards against a backlog whose order is
/// fixed long before the link carries it, so that more urgent tasks wait behind all of it.
#[test]
fn plan_burst_behind_narrow_link_leaves_order_open() {
    let mut scene = scene();
    scene.max_waiting_starts = 4;
    scene.add_target("t1", 100_000);
    scene.add_target("t2", 100_000);
    for job in 0..300 {
        scene.submit(&format!("job{job:03}"), &plan(vec![step(1, 100)]));
    }
    assert_eq!(scene.confirm_starts().len(), 4);
    scene.submit("service", &plan(vec![long_running_pair()]));
    assert_eq!(scene.confirm_starts().len(), 4);
    let started = scene.confirm_starts();
    let of_service = |(_, start): &&(_, StartOrder)| start.task.job == "service";
    assert_eq!(started.iter().filter(of_service).count(), 2);
}

/// Guards against tasks that are forgotten once the link had no room for them.
#[test]
fn plan_burst_behind_narrow_link_starts_all() {
    let mut scene = scene();
    scene.max_waiting_starts = 4;
    scene.add_target("t1", 100_000);
    scene.submit("wide", &plan(vec![step(30, 100)]));
    for job in 0..30 {
        scene.submit(&format!("job{job:02}"), &plan(vec![step(1, 100)]));
    }
    let batches: Vec<usize> = (0..9).map(|_| scene.confirm_starts().len()).collect();
    // A step starts as a whole.
    assert_eq!(batches, [30, 4, 4, 4, 4, 4, 4, 4, 2]);
}

/// The first waiting task needs more resources than any target has free. A smaller task behind it
/// must start instead of waiting.
#[test]
fn plan_full_pool_fits_smaller() {
    let mut scene = scene();
    scene.add_target("t1", 1500);
    scene.submit("first", &plan(vec![step(1, 1000)]));
    assert_eq!(scene.confirm_starts().len(), 1);
    scene.submit("large", &plan(vec![step(1, 1000)]));
    scene.submit("small", &plan(vec![step(2, 300)]));
    let started = scene.confirm_starts();
    let jobs: Vec<&str> = started
        .iter()
        .map(|(_, start)| start.task.job.as_str())
        .collect();
    assert_eq!(jobs, ["small"]);
}

/// The free resources of the pool suffice in total but not on any single target. The task must not
/// start.
#[test]
fn plan_full_pool_checks_each_target() {
    let mut scene = scene();
    scene.add_target("t1", 2000);
    scene.add_target("t2", 2000);
    scene.submit("wide", &plan(vec![step(2, 1500)]));
    assert_eq!(scene.confirm_starts().len(), 2);
    scene.submit("next", &plan(vec![step(1, 600)]));
    assert!(scene.confirm_starts().is_empty());
}
