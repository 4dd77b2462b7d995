//! Gangs start as a whole, and what can't start holds up nothing else.

mod harness;

use std::time::Duration;

use harness::{SchedulerFixture, end_report, plan, step};
use model::work::{EndKind, StartOrder, StepPlan};

fn gang(count: u32, cpu: u64) -> StepPlan {
    StepPlan {
        gang: true,
        ..step(count, cpu)
    }
}

/// Guards against a pool in which nothing starts although a target is free: the first job in order
/// is a gang for which there is not enough room, and what its members had claimed for a moment
/// still counted as used when the next job was tried.
#[test]
fn gang_without_room_holds_up_nothing() {
    let mut owner = SchedulerFixture::new(1);
    owner.add_target("t1", 4000);
    owner.submit("a", &plan(vec![gang(3, 1750)]));
    assert!(owner.starts.is_empty());
    owner.submit("b", &plan(vec![step(1, 2000)]));
    owner.advance(Duration::from_millis(50));
    assert_eq!(owner.starts.len(), 1);
    assert_eq!(owner.starts[0].1.task.job, "b");
}

/// The gang starts once there is room for all of its members.
#[test]
fn gang_starts_with_room_for_all() {
    let mut owner = SchedulerFixture::new(1);
    owner.add_target("t1", 4000);
    owner.submit("a", &plan(vec![gang(3, 1750)]));
    owner.add_target("t2", 4000);
    owner.advance(Duration::from_millis(50));
    assert_eq!(owner.starts.len(), 3);
}

/// Guards against a pass that never ends: a gang without room was placed as far as possible and
/// released again, and what it released counted as new room.
#[test]
fn gang_without_room_is_not_tried_again_at_once() {
    let mut owner = SchedulerFixture::new(1);
    for number in 0..50 {
        owner.add_target(&format!("t{number}"), 4000);
    }
    owner.submit("a", &plan(vec![gang(1000, 1750)]));
    let before = owner.scheduler.counters.candidates.get();
    owner.scheduler.plan_starts(owner.now, usize::MAX);
    assert_eq!(owner.scheduler.counters.candidates.get(), before);
}

/// Guards against a gang that waits although there is room for all of its members: the others were
/// placed on the only target that was left for one that had failed elsewhere.
#[test]
fn gang_starts_around_failed_member() {
    let mut owner = SchedulerFixture::new(1);
    owner.add_target("t1", 4000);
    owner.add_target("t2", 8000);
    owner.submit("a", &plan(vec![gang(3, 1750)]));
    let starts = owner.confirm_starts();
    assert_eq!(starts.len(), 3);
    let (id, failed) = starts.last().cloned().expect("a start");
    let ends = |kind: EndKind, other: EndKind| {
        let of_target = starts.iter().filter(|(target, _)| *target == id);
        let report = |(number, (_, start)): (u64, &(_, StartOrder))| {
            let kind = if start.task == failed.task {
                kind
            } else {
                other
            };
            end_report(number, &start.task, start.attempt, kind)
        };
        (1..).zip(of_target).map(report).collect::<Vec<_>>()
    };
    owner.report(&id, Vec::new(), ends(EndKind::Failed, EndKind::GangBroken));
    for other in ["t1", "t2"].into_iter().filter(|other| id != *other) {
        let broken = starts.iter().filter(|(target, _)| target == other);
        let broken = (1..).zip(broken).map(|(number, (_, start))| {
            end_report(number, &start.task, start.attempt, EndKind::GangBroken)
        });
        owner.report(other, Vec::new(), broken.collect());
    }
    owner.advance(Duration::from_millis(50));
    assert_eq!(owner.starts.len(), 3);
    let again = owner
        .starts
        .iter()
        .find(|(_, start)| start.task == failed.task);
    assert!(again.is_some_and(|(target, _)| *target != id));
}
