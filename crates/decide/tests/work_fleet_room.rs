//! Jobs that the fleet can never hold.

mod harness;

use std::time::Duration;

use harness::{FleetFixture, plan, step};
use model::work::StepPlan;
use rstest::rstest;

/// Hosts that serve and hosts that are off, each of eight cores with room for 100 tasks by memory.
const HOSTS: (usize, usize) = (2, 2);
const CAPACITY: u64 = 8000;

fn gang(count: u32, cpu: u64) -> StepPlan {
    StepPlan {
        gang: true,
        ..step(count, cpu)
    }
}

fn fleet() -> FleetFixture {
    let mut fleet = FleetFixture::new(HOSTS.0, HOSTS.1, CAPACITY);
    fleet.advance(Duration::from_secs(1));
    fleet
}

/// Guards against accepting work that never ends, because of which other jobs are refused.
#[rstest]
#[case::large_task(step(1, CAPACITY + 1))]
#[case::many_large_tasks(step(10_000, CAPACITY + 1))]
#[case::label(StepPlan { required_label: "none".into(), ..step(1, 10) })]
#[case::wide_gang(gang(17, 2000))]
#[case::spread_gang(StepPlan { anti_affinity: 1, ..gang(5, 10) })]
#[case::large_gang(gang(10_000, 10))]
fn unfit_step_is_found(#[case] step: StepPlan) {
    let fleet = fleet();
    let scheduler = &fleet.fixture.scheduler;
    let unfit = |steps| fleet.planner.unfit_step(scheduler, &plan(steps));
    assert_eq!(unfit(vec![step.clone()]), Some(0));
    let later = StepPlan {
        after: vec![0],
        ..step
    };
    assert_eq!(unfit(vec![gang(2, 100), later]), Some(1));
}

/// Guards against refusing work that runs, or that will once hosts have moved or others have ended.
#[rstest]
#[case::whole_host(step(1, CAPACITY))]
#[case::many_tasks(step(10_000, CAPACITY))]
#[case::label(StepPlan { required_label: "kind".into(), ..step(1, 10) })]
#[case::gang_of_all_hosts(gang(16, 2000))]
#[case::spread_gang_of_all_hosts(StepPlan { anti_affinity: 1, ..gang(4, 10) })]
#[case::spread_tasks(StepPlan { anti_affinity: 1, ..step(100, 10) })]
#[case::best_effort(StepPlan { best_effort: true, ..step(1, 100 * CAPACITY) })]
fn unfit_step_passes_what_fits(#[case] step: StepPlan) {
    let fleet = fleet();
    let scheduler = &fleet.fixture.scheduler;
    assert_eq!(fleet.planner.unfit_step(scheduler, &plan(vec![step])), None);
}

/// Guards against refusing jobs before the hosts are known.
#[test]
fn unfit_step_without_hosts_is_none() {
    let fleet = FleetFixture::new(HOSTS.0, HOSTS.1, CAPACITY);
    let scheduler = &fleet.fixture.scheduler;
    let plan = plan(vec![step(1, 100 * CAPACITY)]);
    assert_eq!(fleet.planner.unfit_step(scheduler, &plan), None);
}
