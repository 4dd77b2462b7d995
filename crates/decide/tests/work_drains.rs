//! Data centres that operators drain: where tasks start, which tasks leave, and which hosts count as
//! capacity.

mod harness;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use decide::work::{HostDrainState, HostOrder, HostPlanner};
use harness::{
    POOL, STANDBY, SchedulerFixture, long_running_pair, plan, policy_with_limit, run_report, step,
    target,
};
use model::{
    BootTime, DataCentreId, HostId,
    work::{
        FleetHost, FleetPolicy, HostCondition, PoolPolicy, ResourceVector, RunReport, StartOrder,
        TargetEntry,
    },
};

const NORTH: &str = "north";
const SOUTH: &str = "south";

fn names(names: &[&str]) -> BTreeSet<DataCentreId> {
    names.iter().map(|name| DataCentreId::from(*name)).collect()
}

fn entry_in(id: &str, data_centre: &str) -> TargetEntry {
    TargetEntry {
        data_centre: data_centre.into(),
        ..target(id, 2000)
    }
}

fn add_target_in(fixture: &mut SchedulerFixture, id: &str, data_centre: &str) {
    fixture
        .scheduler
        .upsert_target(entry_in(id, data_centre), fixture.now);
    fixture.run_planning();
    fixture.report_idle(id);
}

fn drain(fixture: &mut SchedulerFixture, drained: &[&str]) {
    fixture.scheduler.set_drained_data_centres(names(drained));
    fixture.run_planning();
}

fn at_work(start: &StartOrder) -> RunReport {
    RunReport {
        percent: 100,
        ..run_report(start)
    }
}

fn started_on(starts: &[(HostId, StartOrder)]) -> BTreeSet<&str> {
    starts.iter().map(|(id, _)| id.as_str()).collect()
}

/// Guards against starts in a drained data centre: the least free target was there.
#[test]
fn drained_data_centre_gets_no_starts() {
    let mut fixture = SchedulerFixture::new(1);
    add_target_in(&mut fixture, "n1", NORTH);
    add_target_in(&mut fixture, "s1", SOUTH);
    drain(&mut fixture, &[NORTH]);
    fixture.submit("a", &plan(vec![step(2, 1000)]));
    let starts = fixture.confirm_starts();
    assert_eq!(started_on(&starts), BTreeSet::from(["s1"]));
}

/// Guards against starts on a target that is listed after its data centre was drained.
#[test]
fn drained_data_centre_covers_new_targets() {
    let mut fixture = SchedulerFixture::new(1);
    drain(&mut fixture, &[NORTH]);
    add_target_in(&mut fixture, "n1", NORTH);
    fixture.submit("a", &plan(vec![step(1, 1000)]));
    assert!(fixture.starts.is_empty());
}

/// Guards against work that waits for ever after the drain has ended.
#[test]
fn restored_data_centre_gets_waiting_work() {
    let mut fixture = SchedulerFixture::new(1);
    add_target_in(&mut fixture, "n1", NORTH);
    drain(&mut fixture, &[NORTH]);
    fixture.submit("a", &plan(vec![step(1, 1000)]));
    assert!(fixture.starts.is_empty());
    drain(&mut fixture, &[]);
    assert_eq!(fixture.confirm_starts().len(), 1);
}

/// Guards against a long-running task that accepts a drained data centre because it has waited for
/// long.
#[test]
fn drained_data_centre_is_no_last_resort() {
    let mut fixture = SchedulerFixture::new(1);
    add_target_in(&mut fixture, "n1", NORTH);
    drain(&mut fixture, &[NORTH]);
    fixture.submit("a", &plan(vec![long_running_pair()]));
    for _ in 0..20 {
        fixture.advance(Duration::from_millis(200));
        fixture.report_idle("n1");
    }
    assert!(fixture.starts.is_empty());
}

/// Guards against a start that waited for a connection and is sent after the drain.
#[test]
fn drained_data_centre_stops_decided_starts() {
    let mut fixture = SchedulerFixture::new(1);
    add_target_in(&mut fixture, "n1", NORTH);
    fixture.submit("a", &plan(vec![step(1, 1000)]));
    let (id, _) = fixture.starts[0].clone();
    assert!(!fixture.scheduler.is_data_centre_drained(&id));
    drain(&mut fixture, &[NORTH]);
    assert!(fixture.scheduler.is_data_centre_drained(&id));
}

fn running_pair(targets: &[(&str, &str)]) -> (SchedulerFixture, Vec<(HostId, StartOrder)>) {
    let mut fixture = SchedulerFixture::new(1);
    for (id, data_centre) in targets {
        add_target_in(&mut fixture, id, data_centre);
    }
    fixture.submit("a", &plan(vec![long_running_pair()]));
    let starts = fixture.confirm_starts();
    for (id, start) in &starts {
        fixture.report(id, vec![at_work(start)], Vec::new());
    }
    (fixture, starts)
}

/// Lets time pass while all runs are reported as at work.
fn run_on(fixture: &mut SchedulerFixture, starts: &[(HostId, StartOrder)], time: Duration) {
    let end = fixture.now.boot + time;
    while fixture.now.boot < end {
        fixture.advance(Duration::from_millis(100));
        for (id, start) in starts {
            fixture.report(id, vec![at_work(start)], Vec::new());
        }
    }
}

/// Guards against long-running tasks that stay in a drained data centre, and against stopping both
/// tasks of a step at once.
#[test]
fn long_running_tasks_leave_one_by_one() {
    let targets = [("n1", NORTH), ("n2", NORTH)];
    let (mut fixture, starts) = running_pair(&targets);
    assert_eq!(started_on(&starts), BTreeSet::from(["n1", "n2"]));
    for id in ["s1", "s2"] {
        add_target_in(&mut fixture, id, SOUTH);
    }
    run_on(&mut fixture, &starts, Duration::from_secs(2));
    assert_eq!(fixture.stop_count(), 0);
    drain(&mut fixture, &[NORTH]);
    fixture.advance(Duration::from_millis(100));
    assert_eq!(fixture.stop_count(), 1);
}

/// Guards against stopping a long-running task that no other data centre has capacity for: unlike
/// a host before maintenance, a data centre need not become empty.
#[test]
fn long_running_tasks_stay_without_alternative() {
    let targets = [("n1", NORTH), ("n2", NORTH)];
    let (mut fixture, starts) = running_pair(&targets);
    drain(&mut fixture, &[NORTH]);
    run_on(&mut fixture, &starts, Duration::from_secs(8));
    assert_eq!(fixture.stop_count(), 0);
}

fn host(name: &str, pool: &str, target: &str, data_centre: &str) -> FleetHost {
    FleetHost {
        host: name.into(),
        pool: pool.into(),
        condition: HostCondition::Up,
        capacity: ResourceVector {
            cpu: 2000,
            memory_mb: 10_000,
            gpu: 0,
        },
        target: target.into(),
        data_centre: data_centre.into(),
        ..FleetHost::default()
    }
}

/// A pool with hosts `n1` and `s1` and a host that is switched off in each data centre.
fn fleet_fixture() -> (SchedulerFixture, HostPlanner) {
    let mut fixture = SchedulerFixture::new(1);
    let mut policy: FleetPolicy = policy_with_limit(1_000_000);
    policy.pools.push(PoolPolicy {
        name: STANDBY.into(),
        standby: true,
    });
    fixture.scheduler.set_policy(Arc::new(policy));
    add_target_in(&mut fixture, "n1", NORTH);
    add_target_in(&mut fixture, "s1", SOUTH);
    let mut planner = HostPlanner::default();
    let hosts = vec![
        host("host-n1", POOL, "n1", NORTH),
        host("host-s1", POOL, "s1", SOUTH),
        host("host-n2", STANDBY, "", NORTH),
        host("host-s2", STANDBY, "", SOUTH),
    ];
    planner.apply_host_list(hosts, fixture.now.boot);
    (fixture, planner)
}

fn planned_orders(
    fixture: &mut SchedulerFixture,
    planner: &mut HostPlanner,
    time: Duration,
) -> Vec<HostOrder> {
    let mut orders = Vec::new();
    let end: BootTime = fixture.now.boot + time;
    while fixture.now.boot < end {
        fixture.advance(Duration::from_millis(100));
        let now = fixture.now.boot;
        orders.extend(planner.plan(&mut fixture.scheduler, now));
    }
    orders
}

/// Guards against a pool that lacks capacity because hosts in a drained data centre count as such,
/// and against replacements that are in the drained data centre themselves.
#[test]
fn drained_hosts_are_replaced_from_elsewhere() {
    let (mut fixture, mut planner) = fleet_fixture();
    fixture.submit("a", &plan(vec![step(2, 1000), step(2, 1000)]));
    drain(&mut fixture, &[NORTH]);
    let orders = planned_orders(&mut fixture, &mut planner, Duration::from_millis(500));
    let wanted = HostOrder::Move("host-s2".into(), POOL.into());
    assert!(orders.contains(&wanted), "{orders:?}");
    let brought = |order: &HostOrder| order == &HostOrder::Move("host-n2".into(), POOL.into());
    assert!(!orders.iter().any(brought), "{orders:?}");
}

/// Guards against paying for hosts on which nothing may start.
#[test]
fn drained_hosts_are_switched_off_when_idle() {
    let (mut fixture, mut planner) = fleet_fixture();
    drain(&mut fixture, &[NORTH]);
    let orders = planned_orders(&mut fixture, &mut planner, Duration::from_secs(3));
    let wanted = HostOrder::Move("host-n1".into(), STANDBY.into());
    assert!(orders.contains(&wanted), "{orders:?}");
    let drained = fixture
        .scheduler
        .targets
        .get("n1")
        .map(|target| target.drain);
    assert_eq!(drained, Some(HostDrainState::Ordered));
}
