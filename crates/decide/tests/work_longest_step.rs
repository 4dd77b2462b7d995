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

/// Guards against an owner that loses its lease because a schedule is far behind: all of it was
/// opened at once, by each owner anew.
#[rstest]
#[case::one_task(one_task())]
#[case::many_tasks(plan(vec![step(10_000, 500)]))]
#[case::long_chain(chain(256, |number| number.checked_sub(1).into_iter().collect()))]
fn step_overdue_schedule_is_short(#[case] plan: JobPlan) {
    let mut owner = TimedOwner::new(TARGETS);
    owner.submit_schedule("a", &plan, 1_000_000, 1_000_000);
    owner.run_rounds(20);
    check(&owner);
    let mut next = owner.successor(9);
    next.run_rounds(5);
    next.cancel("a");
    next.run_rounds(1);
    check(&next);
}

/// Many schedules that are behind at once, of which each is small.
#[test]
fn step_many_overdue_schedules_is_short() {
    let mut owner = TimedOwner::new(TARGETS);
    for number in 0..200 {
        owner.submit_schedule(&format!("a{number}"), &one_task(), 500, 500);
    }
    owner.run_rounds(10);
    check(&owner);
}

/// A change of the policy and a change of the owner visit all jobs.
#[test]
fn step_many_jobs_is_short() {
    let mut owner = TimedOwner::new(1_200);
    for number in 0..2_000 {
        owner.submit(&format!("a{number}"), &plan(vec![step(8, 4000)]));
    }
    owner.run_rounds(2);
    owner.set_policy();
    owner.run_rounds(1);
    check(&owner);
    let mut next = owner.successor(9);
    next.run_rounds(2);
    check(&next);
}
