//! What an owner makes of silence while it hears few targets of the fleet, as behind a full link.

mod desk;

use std::time::Duration;

use decide::work::SchedulerEvent;
use desk::{DeskScene, ended, plan, step};
use model::work::{EndKind, PollAnswer, StartOrder};
use rstest::rstest;

const TARGETS: usize = 40;
const ROUND: Duration = Duration::from_millis(500);
/// More than the granted time and the silence before it.
const LONG: Duration = Duration::from_secs(20);

fn name(target: usize) -> String {
    format!("t{target:02}")
}

/// A fleet with one task at work on its first target.
fn busy_fleet() -> (DeskScene, StartOrder) {
    let mut scene = DeskScene::new(1);
    scene.add(&name(0), 4000);
    scene.submit("a", &plan(vec![step(1, 1000)]));
    let mut starts = scene.start_all();
    for target in 1..TARGETS {
        scene.add(&name(target), 4000);
    }
    (scene, starts.remove(0).1)
}

/// Lets time pass in which the first `silent` targets don't answer and all others do.
fn pass(scene: &mut DeskScene, time: Duration, silent: usize) {
    let end = scene.now.boot + time;
    while scene.now.boot < end {
        scene.pass(ROUND);
        for target in 0..TARGETS {
            if target >= silent {
                scene.raise(&name(target));
                continue;
            }
            let answer = PollAnswer::Unanswered("timed out".to_owned());
            let sent = scene.now.boot;
            scene
                .desk
                .apply_report(&name(target).as_str().into(), sent, 0, &answer, scene.now);
            scene.run();
        }
    }
}

/// Guards against a batch that runs twice: its target listed the end, the answer was lost on the
/// owner's full link, and the owner took the silence of most targets for their end.
#[test]
fn silence_of_most_ends_no_run() {
    let (mut scene, start) = busy_fleet();
    pass(&mut scene, LONG, TARGETS / 2);
    assert!(scene.starts.is_empty(), "its end may have been listed");
    scene.end(&name(0), &start, EndKind::Done);
    pass(&mut scene, LONG, 0);
    assert!(scene.starts.is_empty(), "it has ended");
}

/// Guards against filling a link that is full already with records of targets that are missed.
#[rstest]
#[case::rack(4, true)]
#[case::full_link(TARGETS / 4, false)]
fn missed_targets_are_recorded(#[case] unheard: usize, #[case] recorded: bool) {
    let (mut scene, _) = busy_fleet();
    scene.desk.take_events();
    for _ in 0..3 {
        pass(&mut scene, ROUND, unheard);
    }
    let missed = |event: &SchedulerEvent| matches!(event, SchedulerEvent::TargetUnreachable(..));
    let events = scene.desk.take_events();
    let count = events.iter().filter(|event| missed(event)).count();
    assert_eq!(count == unheard, recorded);
    assert!(count < 8);
}

/// Guards against a wait for many silent targets that no line of the log tells of.
#[test]
fn silence_of_most_is_told_once() {
    let (mut scene, _) = busy_fleet();
    scene.desk.take_events();
    pass(&mut scene, LONG, TARGETS / 2);
    let told = |event: &SchedulerEvent| matches!(event, SchedulerEvent::MassUnresponsive(TARGETS));
    let events = scene.desk.take_events();
    assert_eq!(events.iter().filter(|event| told(event)).count(), 1);
}

/// Guards against work that stands still for as long as a cut parts its owner from half of the fleet.
#[test]
fn silence_of_most_has_an_end() {
    let (mut scene, _) = busy_fleet();
    pass(&mut scene, LONG * 2, TARGETS / 2);
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against the same where fewer targets are silent, those to which no connection stood when
/// the link filled up: that it is full shows at the store, whose answers come late too.
#[test]
fn silence_of_some_beside_late_store_ends_no_run() {
    let (mut scene, start) = busy_fleet();
    for _ in 0..10 {
        scene.desk.set_ownership_uncertain(true);
        pass(&mut scene, ROUND, 9);
        scene.desk.set_ownership_uncertain(false);
        pass(&mut scene, ROUND * 3, 9);
    }
    assert!(scene.starts.is_empty(), "its end may have been listed");
    scene.end(&name(0), &start, EndKind::Done);
    pass(&mut scene, LONG, 0);
    assert!(scene.starts.is_empty(), "it has ended");
}

/// Guards against the same where one target is silent, and looks at many of them mostly fail, though not
/// for so long that these count as silent.
#[test]
fn silence_beside_failing_looks_ends_no_run() {
    let (mut scene, start) = busy_fleet();
    for _ in 0..10 {
        pass(&mut scene, ROUND * 3, 12);
        pass(&mut scene, ROUND, 1);
    }
    assert!(scene.starts.is_empty(), "its end may have been listed");
    scene.end(&name(0), &start, EndKind::Done);
    pass(&mut scene, LONG, 0);
    assert!(scene.starts.is_empty(), "it has ended");
}

/// Guards against waiting for targets that the owner alone can't reach, on a link that is well.
#[test]
fn silence_of_some_beside_good_store_ends_runs() {
    let (mut scene, _) = busy_fleet();
    pass(&mut scene, LONG, 9);
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against a task that never runs again since its target is down.
#[test]
fn silence_of_few_ends_runs() {
    let (mut scene, _) = busy_fleet();
    pass(&mut scene, LONG, 3);
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against a lost data centre that keeps the rest from taking its tasks: its targets leave
/// the host list, and their silence does not speak against the owner's link.
#[test]
fn silence_of_unlisted_ends_runs() {
    let (mut scene, _) = busy_fleet();
    for target in 0..TARGETS / 2 {
        scene
            .desk
            .mark_target_unlisted(&name(target).as_str().into());
    }
    pass(&mut scene, LONG, TARGETS / 2);
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against writing a target off at the first moment after a full link, before it could be
/// heard again.
#[test]
fn heard_fleet_gets_time_to_answer() {
    let (mut scene, start) = busy_fleet();
    pass(&mut scene, LONG, TARGETS / 2);
    pass(&mut scene, ROUND * 2, 1);
    assert!(scene.starts.is_empty(), "the others answer only now");
    scene.end(&name(0), &start, EndKind::Done);
    pass(&mut scene, LONG, 0);
    assert!(scene.starts.is_empty(), "it has ended");
}

/// Guards against a successor that starts a task again which ended under its predecessor, since
/// the looks at most targets were lost on its full link until the granted time had passed.
#[test]
fn successor_waits_while_few_are_reached() {
    let (first, start) = busy_fleet();
    let mut second = first.successor(9);
    for target in 0..TARGETS {
        second.list(&name(target), 4000);
    }
    pass(&mut second, LONG, TARGETS / 2);
    assert!(second.starts.is_empty(), "it may have ended there");
    let end = ended(1, &start.task, start.attempt, EndKind::Done);
    second.see(&name(0), Vec::new(), vec![end]);
    pass(&mut second, LONG, 0);
    assert!(second.starts.is_empty(), "it has ended");
}
