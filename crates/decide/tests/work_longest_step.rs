//! Longest step of an owner under the largest loads that callers can cause. While a step runs, the
//! owner answers no call and renews no lease.

mod harness;

use std::time::Duration;

use harness::{TimedOwner, plan, step};
use model::work::{JobPlan, StepPlan};
use rstest::rstest;

/// Length of the lease on the ownership.
const OWNER_LEASE: Duration = Duration::from_millis(1100);
/// A step may take this part of the lease, on a quarter of a core.
const MAX_STEP: Duration = OWNER_LEASE.checked_div(4 * 4).unwrap();
const TARGETS: usize = 50;

fn one_task() -> JobPlan {
    plan(vec![step(1, 500)])
}

fn chain(steps: u32, after: impl Fn(u32) -> Vec<u32>) -> JobPlan {
    let steps = (0..steps).map(|number| StepPlan {
        after: after(number),
        ..step(1, 500)
    });
    plan(steps.collect())
}

fn check(owner: &TimedOwner) {
    let (took, name) = owner.longest;
    assert!(took <= MAX_STEP, "{name} takes {took:?} of {MAX_STEP:?}");
}

/// Guards against an owner that loses its lease because each start and each end of a schedule is
/// compared with all of its open occurrences.
#[test]
fn step_open_occurrences_is_short() {
    let mut owner = TimedOwner::new(TARGETS);
    owner.submit_schedule("a", &one_task(), 5_000, 5_000);
    owner.run_rounds(10);
    check(&owner);
    assert!(owner.started.len() > TARGETS);
}

/// The largest jobs without a schedule: many tasks, long chains and chains with many dependencies.
#[rstest]
#[case::many_tasks(plan(vec![step(10_000, 500)]))]
#[case::long_chain(chain(256, |number| number.checked_sub(1).into_iter().collect()))]
#[case::dense_chain(chain(256, |number| (0..number).collect()))]
#[case::wide(chain(256, |_| Vec::new()))]
fn step_large_job_is_short(#[case] plan: JobPlan) {
    let mut owner = TimedOwner::new(TARGETS);
    owner.submit("a", &plan);
    owner.run_rounds(20);
    check(&owner);
    let mut next = owner.successor(9);
    next.run_rounds(5);
    check(&next);
    next.cancel("a");
    check(&next);
}
