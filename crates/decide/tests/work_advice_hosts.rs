//! Hosts for steps of queues with an advice service.

mod harness;

use std::{collections::BTreeSet, time::Duration};

use decide::rendezvous;
use harness::{FleetFixture, POOL, QUICK_ADVICE, plan, step};
use model::{
    HostId,
    work::{PoolPolicy, StepPlan},
};

/// Hosts in the pool and on standby at the start.
const SERVING: usize = 4;
const STANDBY: usize = 44;
/// Further pools, each of which has a right to a few of the hosts.
const IDLE_POOLS: usize = 5;
/// Capacity of each host, in thousandths of a core.
const HOST_CPU: u64 = 16_000;
/// Time until a host that is ordered runs a task, and what it takes to ask about it.
const HOST_LEAD: Duration = Duration::from_secs(3);

fn fleet(is_allowed: fn(&str, &HostId) -> bool) -> FleetFixture {
    let mut fleet = FleetFixture::new(SERVING, STANDBY, HOST_CPU);
    fleet.fixture.change_policy(|policy| {
        policy.queues[0].advice = Some(QUICK_ADVICE);
        let idle = |number| PoolPolicy {
            name: format!("idle{number}").into(),
            standby: false,
        };
        policy.pools.extend((0..IDLE_POOLS).map(idle));
    });
    fleet.advice_allows = Box::new(move |step, target| is_allowed(&step.job, target));
    fleet.run_time = Some(Duration::from_millis(500));
    fleet.start_targets();
    fleet.advance(Duration::from_secs(1));
    fleet
}

fn started_jobs(fleet: &FleetFixture) -> BTreeSet<String> {
    let jobs = fleet.fixture.scheduler.job_table.jobs.iter();
    let started = jobs.filter(|(_, job)| job.started);
    started.map(|(id, _)| id.to_string()).collect()
}

/// Guards against a job that never starts because its pool keeps the few targets that the service
/// denied, while hosts that it would grant are on standby.
#[test]
fn denied_step_gets_hosts_that_were_not_asked() {
    let mut fleet = fleet(|job, target| rendezvous::score(job, target).is_multiple_of(5));
    for job in 0..20 {
        fleet
            .fixture
            .submit(&format!("j{job}"), &plan(vec![step(2, 1000)]));
        fleet.advance(Duration::from_millis(200));
    }
    // Each time some hosts are added; a target is granted with a chance of one in five.
    fleet.advance(HOST_LEAD * 4);
    assert_eq!(started_jobs(&fleet).len(), 20);
}

/// Guards against long-running tasks that stay away although hosts are on standby, because the
/// service grants fewer of the pool's targets than the tasks need with anti-affinity.
#[test]
fn denied_long_running_tasks_get_hosts() {
    let mut fleet = fleet(|job, target| rendezvous::score(job, target).is_multiple_of(3));
    fleet.run_time = None;
    let lasting = StepPlan {
        long_running: true,
        anti_affinity: 1,
        ..step(4, 1000)
    };
    fleet.fixture.submit("a", &plan(vec![lasting]));
    fleet.advance(HOST_LEAD * 4);
    let job = &fleet.fixture.scheduler.job_table.jobs["a"];
    assert_eq!(job.occurrences[&0].steps[0].placed, 4);
}

/// Guards against a step that is allowed nowhere and takes the hosts of the whole fleet.
#[test]
fn denied_everywhere_leaves_hosts_to_others() {
    let mut fleet = fleet(|_, _| false);
    fleet.fixture.submit("a", &plan(vec![step(2, 1000)]));
    fleet.advance(Duration::from_secs(30));
    assert!(fleet.hosts_in(POOL) <= (SERVING + STANDBY) / 3);
}
