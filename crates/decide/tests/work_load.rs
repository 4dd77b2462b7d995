//! Planning while a pool is full and many jobs wait.

mod desk;

use std::sync::Arc;

use desk::{DeskScene, ended, plan, running, step, terms_with_limit};
use model::work::EndKind;

/// A scene without a limit on its workspace.
fn scene() -> DeskScene {
    let mut scene = DeskScene::new(1);
    scene.desk.set_policy(Arc::new(terms_with_limit(0)));
    scene
}

/// A queue's turn: its pool is full, 300 jobs wait, and each end frees the room of one task. The
/// task that is to go first takes it, and nothing else does.
#[test]
fn plan_full_pool_starts_one_task_per_end() {
    let mut scene = scene();
    scene.add("t1", 2000);
    for job in 0..300 {
        scene.submit(&format!("job{job:03}"), &plan(vec![step(1, 1000)]));
    }
    let mut at_work = scene.start_all();
    assert_eq!(at_work.len(), 2);
    for number in 1..=20 {
        let (_, first) = at_work.remove(0);
        let others = at_work.iter().map(|(_, start)| running(start)).collect();
        let end = ended(number, &first.task, first.attempt, EndKind::Done);
        scene.see("t1", others, vec![end]);
        let started = scene.start_all();
        assert_eq!(started.len(), 1);
        at_work.extend(started);
    }
}

/// The first that waits needs more room than any target has left. A smaller task behind it takes
/// what there is, in place of waiting for nothing.
#[test]
fn plan_full_pool_fits_smaller() {
    let mut scene = scene();
    scene.add("t1", 1500);
    scene.submit("first", &plan(vec![step(1, 1000)]));
    assert_eq!(scene.start_all().len(), 1);
    scene.submit("large", &plan(vec![step(1, 1000)]));
    scene.submit("small", &plan(vec![step(2, 300)]));
    let started = scene.start_all();
    let jobs: Vec<&str> = started
        .iter()
        .map(|(_, start)| start.task.job.as_str())
        .collect();
    assert_eq!(jobs, ["small"]);
}

/// Of two resources one target lacks the first and another the second. Each by itself there is
/// enough in the pool; nothing is started where it does not fit.
#[test]
fn plan_full_pool_checks_each_target() {
    let mut scene = scene();
    scene.add("t1", 2000);
    scene.add("t2", 2000);
    scene.submit("wide", &plan(vec![step(2, 1500)]));
    assert_eq!(scene.start_all().len(), 2);
    scene.submit("next", &plan(vec![step(1, 600)]));
    assert!(scene.start_all().is_empty());
}
