//! Gangs start as a whole, and what can't start holds up nothing else.

mod harness;

use std::time::Duration;

use harness::{SchedulerFixture, plan, step};
use model::work::StepPlan;

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
