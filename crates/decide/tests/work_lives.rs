//! On what evidence a target's life is taken for ended, and what becomes of its tasks then.

mod desk;

use std::time::Duration;

use desk::{DeskScene, plan, step, target};
use model::work::{LookAnswer, StartAnswer, TargetEntry};

const LATER: Duration = Duration::from_secs(500);

/// The entry of a later life of `t1`, under the same id.
fn reborn(cpu: u64) -> TargetEntry {
    TargetEntry {
        born: LATER,
        ..target("t1", cpu)
    }
}

/// A look at a target that is not answered.
fn miss(scene: &mut DeskScene, id: &str) {
    let silent = LookAnswer::Unanswered("timed out".to_owned());
    scene
        .desk
        .saw(&id.into(), scene.now.boot, 0, &silent, scene.now);
}

/// A batch runs twice: a new life was taken for unused, and fell silent while it ran a task that
/// had been sent to the life before. What the start granted has to lapse.
#[test]
fn reborn_target_lapses_first() {
    let mut scene = DeskScene::new(1);
    scene.add("t1", 2000);
    scene.submit("a", &plan(vec![step(1, 1000)]));
    let (id, start) = scene.starts.remove(0);
    scene.add("t2", 2000);
    let unanswered = StartAnswer::Unanswered("timed out".to_owned());
    scene
        .desk
        .started(&id, &start.task, start.attempt, &unanswered, scene.now);
    scene.desk.list_target(reborn(2000), scene.now);
    scene.run();
    for _ in 0..25 {
        scene.pass(Duration::from_millis(200));
        miss(&mut scene, "t1");
        scene.desk.unlist_target(&"t1".into());
        scene.run();
        assert!(scene.starts.is_empty(), "five seconds were granted");
    }
    scene.pass(Duration::from_millis(1600));
    assert_eq!(scene.starts.len(), 1);
}
