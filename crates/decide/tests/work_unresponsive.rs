//! Unresponsive targets: when the owner waits for them and when it gives up their runs. If many are
//! unresponsive at once, the owner's own link may be saturated.

mod harness;

use std::time::Duration;

use decide::work::SchedulerEvent;
use harness::{SchedulerFixture, end_report, plan, step};
use model::work::{EndKind, PollAnswer, StartOrder};
use rstest::rstest;

const TARGETS: usize = 40;
const ROUND: Duration = Duration::from_millis(500);
/// Longer than a lease and the time until a target counts as unresponsive.
const LONG_OUTAGE: Duration = Duration::from_secs(20);

fn name(target: usize) -> String {
    format!("t{target:02}")
}

/// A fleet with one task that runs on its first target.
fn busy_fleet() -> (SchedulerFixture, StartOrder) {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target(&name(0), 4000);
    scene.submit("a", &plan(vec![step(1, 1000)]));
    let mut starts = scene.confirm_starts();
    for target in 1..TARGETS {
        scene.add_target(&name(target), 4000);
    }
    (scene, starts.remove(0).1)
}

/// Lets time pass while the first `unresponsive` targets don't answer polls and all others do.
fn pass(scene: &mut SchedulerFixture, time: Duration, unresponsive: usize) {
    let end = scene.now.boot + time;
    while scene.now.boot < end {
        scene.advance(ROUND);
        for target in 0..TARGETS {
            if target >= unresponsive {
                scene.report_idle(&name(target));
                continue;
            }
            let answer = PollAnswer::Unanswered("timed out".to_owned());
            let sent = scene.now.boot;
            scene.scheduler.apply_report(
                &name(target).as_str().into(),
                sent,
                0,
                &answer,
                scene.now,
            );
            scene.run_planning();
        }
    }
}

/// Guards against running a task twice: its target reported the end, the answer was lost on the
/// owner's saturated link, and the owner gave up most targets.
#[test]
fn give_up_most_unresponsive_keeps_runs() {
    let (mut scene, start) = busy_fleet();
    pass(&mut scene, LONG_OUTAGE, TARGETS / 2);
    assert!(scene.starts.is_empty(), "its end may have been reported");
    scene.report_end(&name(0), &start, EndKind::Done);
    pass(&mut scene, LONG_OUTAGE, 0);
    assert!(scene.starts.is_empty(), "it has ended");
}

/// Guards against overloading a saturated link with records of unreachable targets.
#[rstest]
#[case::rack(4, true)]
#[case::full_link(TARGETS / 4, false)]
fn record_unreachable_unless_link_full(#[case] unresponsive: usize, #[case] recorded: bool) {
    let (mut scene, _) = busy_fleet();
    scene.scheduler.take_events();
    for _ in 0..3 {
        pass(&mut scene, ROUND, unresponsive);
    }
    let is_unreachable =
        |event: &SchedulerEvent| matches!(event, SchedulerEvent::TargetUnreachable(..));
    let events = scene.scheduler.take_events();
    let count = events.iter().filter(|event| is_unreachable(event)).count();
    assert_eq!(count == unresponsive, recorded);
    assert!(count < 8);
}

/// Guards against waiting for many unresponsive targets without a log line.
#[test]
fn mass_unresponsive_logged_once() {
    let (mut scene, _) = busy_fleet();
    scene.scheduler.take_events();
    pass(&mut scene, LONG_OUTAGE, TARGETS / 2);
    let is_logged =
        |event: &SchedulerEvent| matches!(event, SchedulerEvent::MassUnresponsive(TARGETS));
    let events = scene.scheduler.take_events();
    assert_eq!(events.iter().filter(|event| is_logged(event)).count(), 1);
}

/// Guards against work that is blocked for as long as a network partition separates its owner from
/// half of the fleet.
#[test]
fn mass_unresponsive_wait_is_bounded() {
    let (mut scene, _) = busy_fleet();
    pass(&mut scene, LONG_OUTAGE * 2, TARGETS / 2);
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against running a task twice when fewer targets are unresponsive, those without a
/// connection when the link became saturated. The late answers of the store show the saturation.
#[test]
fn give_up_some_with_late_store_keeps_runs() {
    let (mut scene, start) = busy_fleet();
    for _ in 0..10 {
        scene.scheduler.set_ownership_uncertain(true);
        pass(&mut scene, ROUND, 9);
        scene.scheduler.set_ownership_uncertain(false);
        pass(&mut scene, ROUND * 3, 9);
    }
    assert!(scene.starts.is_empty(), "its end may have been reported");
    scene.report_end(&name(0), &start, EndKind::Done);
    pass(&mut scene, LONG_OUTAGE, 0);
    assert!(scene.starts.is_empty(), "it has ended");
}

/// Guards against running a task twice when one target is unresponsive and polls of many others
/// mostly fail, but not for long enough to count as unresponsive.
#[test]
fn give_up_one_with_failing_polls_keeps_runs() {
    let (mut scene, start) = busy_fleet();
    for _ in 0..10 {
        pass(&mut scene, ROUND * 3, 12);
        pass(&mut scene, ROUND, 1);
    }
    assert!(scene.starts.is_empty(), "its end may have been reported");
    scene.report_end(&name(0), &start, EndKind::Done);
    pass(&mut scene, LONG_OUTAGE, 0);
    assert!(scene.starts.is_empty(), "it has ended");
}

/// Guards against waiting for targets that only the owner can't reach, on a healthy link.
#[test]
fn give_up_some_with_good_store_ends_runs() {
    let (mut scene, _) = busy_fleet();
    pass(&mut scene, LONG_OUTAGE, 9);
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against a task that never runs again because its target is down.
#[test]
fn give_up_few_ends_runs() {
    let (mut scene, _) = busy_fleet();
    pass(&mut scene, LONG_OUTAGE, 3);
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against a lost data centre that keeps the others from running its tasks: its targets
/// leave the host list, and their missing answers say nothing about the owner's link.
#[test]
fn give_up_unlisted_ends_runs() {
    let (mut scene, _) = busy_fleet();
    for target in 0..TARGETS / 2 {
        scene
            .scheduler
            .mark_target_unlisted(&name(target).as_str().into());
    }
    pass(&mut scene, LONG_OUTAGE, TARGETS / 2);
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against giving up a target right after the link was saturated, before the target could
/// answer again.
#[test]
fn give_up_waits_after_recovery() {
    let (mut scene, start) = busy_fleet();
    pass(&mut scene, LONG_OUTAGE, TARGETS / 2);
    pass(&mut scene, ROUND * 2, 1);
    assert!(scene.starts.is_empty(), "the others only answer now");
    scene.report_end(&name(0), &start, EndKind::Done);
    pass(&mut scene, LONG_OUTAGE, 0);
    assert!(scene.starts.is_empty(), "it has ended");
}

/// Guards against a successor that restarts a task which ended under its predecessor: polls of most
/// targets were lost on its saturated link until the lease expired.
#[test]
fn successor_few_reachable_waits() {
    let (first, start) = busy_fleet();
    let mut second = first.successor(9);
    for target in 0..TARGETS {
        second.list_target(&name(target), 4000);
    }
    pass(&mut second, LONG_OUTAGE, TARGETS / 2);
    assert!(second.starts.is_empty(), "it may have ended there");
    let end = end_report(1, &start.task, start.attempt, EndKind::Done);
    second.report(&name(0), Vec::new(), vec![end]);
    pass(&mut second, LONG_OUTAGE, 0);
    assert!(second.starts.is_empty(), "it has ended");
}
