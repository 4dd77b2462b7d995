//! Maintenance and moves of hosts: which orders are sent when, and what must have left the host
//! first.

mod harness;

use std::{collections::BTreeSet, time::Duration};

use decide::work::{HostOrder, HostPlanner};
use harness::{POOL, SchedulerFixture, end_report, long_running_pair, plan, run_report, step};
use model::{
    BootTime,
    work::{
        EndKind, FleetHost, FleetPolicy, HostCondition, HostOrderAnswer, MaintenanceWave,
        PollAnswer, PoolPolicy, ResourceVector, RunReport, StartOrder, StepPlan,
    },
};

const STANDBY: &str = "standby";

fn host(name: &str, pool: &str, target: &str) -> FleetHost {
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
        ..FleetHost::default()
    }
}

fn add_standby_pool(scene: &mut SchedulerFixture) {
    let policy = FleetPolicy::clone(&scene.scheduler.policy);
    let standby = PoolPolicy {
        name: STANDBY.into(),
        standby: true,
    };
    let pools = policy.pools.iter().cloned().chain([standby]).collect();
    scene.scheduler.set_policy(std::sync::Arc::new(FleetPolicy {
        revision: policy.revision + 1,
        pools,
        ..policy
    }));
}

fn wave(hosts: &[&str], max_down: u32) -> MaintenanceWave {
    MaintenanceWave {
        wave: 1,
        hosts: hosts.iter().map(|host| (*host).into()).collect(),
        deadline: Duration::from_secs(20),
        max_down,
    }
}

fn at_work(start: &StartOrder) -> RunReport {
    RunReport {
        percent: 100,
        ..run_report(start)
    }
}

/// A service with `max_unavailable` of one loses two tasks at once: one target crashed, and a
/// second later it was still assumed to be running when the host of the other task was drained for
/// maintenance.
#[test]
fn drain_waits_for_unresponsive_sibling() {
    let mut scene = SchedulerFixture::new(1);
    for target in ["t1", "t2", "t3"] {
        scene.add_target(target, 2000);
    }
    scene.submit("a", &plan(vec![long_running_pair()]));
    let starts = scene.confirm_starts();
    assert_eq!(starts.len(), 2);
    for (target, start) in &starts {
        scene.report(target, vec![at_work(start)], Vec::new());
    }
    let (drained, start) = &starts[0];
    let mut planner = HostPlanner::default();
    planner.apply_host_list(vec![host("h1", POOL, drained)], scene.now.boot);
    planner.apply_waves(&[wave(&["h1"], 1)], &BTreeSet::new(), scene.now.boot);

    scene.advance(Duration::from_millis(1400));
    scene.report(drained, vec![at_work(start)], Vec::new());
    planner.plan(&mut scene.scheduler, scene.now.boot);
    scene.advance(Duration::from_millis(50));
    assert_eq!(
        scene.stop_count(),
        0,
        "the sibling's target has not answered for 1.4 s"
    );

    let (other, sibling) = &starts[1];
    scene.report(other, vec![at_work(sibling)], Vec::new());
    planner.plan(&mut scene.scheduler, scene.now.boot);
    scene.advance(Duration::from_millis(50));
    assert_eq!(scene.stop_count(), 1);
}

/// Two hosts of a wave are not maintained in time: each has a task of a service whose siblings run
/// on hosts that are polled once a second. The report of a poll that waited for a second is
/// current. If its age were counted from the sending, one of the siblings would always seem
/// unavailable.
#[test]
fn drain_trusts_long_polls() {
    let mut scene = SchedulerFixture::new(1);
    for target in ["t1", "t2", "t3"] {
        scene.add_target(target, 2000);
    }
    scene.submit("a", &plan(vec![long_running_pair()]));
    let starts = scene.confirm_starts();
    let mut planner = HostPlanner::default();
    planner.apply_host_list(vec![host("h1", POOL, &starts[0].0)], scene.now.boot);
    planner.apply_waves(&[wave(&["h1"], 1)], &BTreeSet::new(), scene.now.boot);
    for (target, start) in &starts {
        let sent = scene.now.boot - Duration::from_secs(1);
        let report = model::work::TargetReport {
            clock: scene.now.boot,
            started_at: Duration::from_secs(1),
            running: vec![at_work(start)],
            ended: Vec::new(),
        };
        scene
            .scheduler
            .apply_report(target, sent, 0, &PollAnswer::Seen(report), scene.now);
    }
    scene.now.boot += Duration::from_millis(600);
    planner.plan(&mut scene.scheduler, scene.now.boot);
    scene.advance(Duration::from_millis(50));
    assert_eq!(scene.stop_count(), 1);
}

/// Maintenance must not interrupt tasks. A host with a running task is drained and only ordered
/// once the task has ended.
#[test]
fn maintenance_waits_for_running_task() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 2000);
    scene.submit("a", &plan(vec![step(1, 1000)]));
    let starts = scene.confirm_starts();
    let (_, start) = &starts[0];
    let mut planner = HostPlanner::default();
    planner.apply_host_list(vec![host("h1", POOL, "t1")], scene.now.boot);
    planner.apply_waves(&[wave(&["h1"], 1)], &BTreeSet::new(), scene.now.boot);
    assert!(
        planner
            .plan(&mut scene.scheduler, scene.now.boot)
            .is_empty()
    );
    scene.submit("b", &plan(vec![step(1, 1000)]));
    assert!(scene.starts.is_empty(), "the host is draining");
    scene.report_end("t1", start, EndKind::Done);
    let orders = planner.plan(&mut scene.scheduler, scene.now.boot);
    assert_eq!(orders, [HostOrder::Maintain("h1".into(), 1)]);
}

/// At most `max_down` hosts of a wave are down at once, including those whose order was not
/// answered, since it may be carried out.
#[test]
fn wave_respects_max_down() {
    let mut scene = SchedulerFixture::new(1);
    let mut planner = HostPlanner::default();
    let names = ["h1", "h2", "h3"];
    let list = || {
        names
            .iter()
            .map(|name| host(name, POOL, name))
            .collect::<Vec<_>>()
    };
    planner.apply_host_list(list(), scene.now.boot);
    planner.apply_waves(&[wave(&names, 2)], &BTreeSet::new(), scene.now.boot);
    let orders = planner.plan(&mut scene.scheduler, scene.now.boot);
    assert_eq!(orders.len(), 2);
    let unanswered = HostOrderAnswer::Unanswered("timed out".to_owned());
    for order in &orders {
        assert!(!planner.apply_answer(order, &unanswered, scene.now.boot));
    }
    scene.advance(Duration::from_millis(500));
    let again = planner.plan(&mut scene.scheduler, scene.now.boot);
    assert_eq!(again, orders, "the same orders, and no third host");
    for order in &again {
        assert!(planner.apply_answer(order, &HostOrderAnswer::Done, scene.now.boot));
    }
    assert!(
        planner
            .plan(&mut scene.scheduler, scene.now.boot)
            .is_empty()
    );
    assert_eq!(planner.changed_waves(), [(1, false)]);
    scene.advance(Duration::from_millis(2500));
    let back: Vec<FleetHost> = names
        .iter()
        .map(|name| host(name, POOL, &format!("{name}-again")))
        .collect();
    planner.apply_host_list(back, scene.now.boot);
    let last = planner.plan(&mut scene.scheduler, scene.now.boot);
    assert_eq!(last, [HostOrder::Maintain("h3".into(), 1)]);
    assert!(planner.apply_answer(&last[0], &HostOrderAnswer::Done, scene.now.boot));
    assert_eq!(planner.changed_waves(), [(1, true)]);
}

/// A burst begins: arrivals rise within a second from nothing to more than the pool can run. Hosts
/// that are switched off are ordered ahead of the need, while there is still capacity.
#[test]
fn plan_rising_arrivals_adds_hosts() {
    let mut scene = SchedulerFixture::new(1);
    add_standby_pool(&mut scene);
    let mut planner = HostPlanner::default();
    let mut list = vec![host("h1", POOL, "t1"), host("h2", POOL, "t2")];
    list.extend((3..9).map(|number| host(&format!("h{number}"), STANDBY, "")));
    planner.apply_host_list(list, scene.now.boot);
    let mut ordered = 0;
    for _ in 0..5 {
        scene.advance(Duration::from_millis(200));
        for _ in 0..2 {
            planner
                .meter
                .record_arrival(&POOL.into(), 1.0, scene.now.boot);
        }
        ordered += planner.plan(&mut scene.scheduler, scene.now.boot).len();
    }
    assert!(
        ordered >= 4,
        "ten core-seconds a second need twelve cores, the pool has four: {ordered}"
    );
}

/// A burst begins while the cell is handed over. The successor orders hosts as early as its
/// predecessor would have, without first measuring the rise of the arrival rate for a second.
#[test]
fn replay_arrivals_successor_adds_hosts() {
    let mut first = SchedulerFixture::new(1);
    first.add_target("t1", 4000);
    for number in 1..=10 {
        first.advance(Duration::from_millis(100));
        first.submit(&format!("a{number}"), &plan(vec![step(1, 1000)]));
        let starts = first.confirm_starts();
        let end = end_report(
            number,
            &starts[0].1.task,
            starts[0].1.attempt,
            EndKind::Done,
        );
        first.report("t1", Vec::new(), vec![end]);
    }
    let mut second = first.successor(9);
    add_standby_pool(&mut second);
    let mut planner = HostPlanner::default();
    planner.replay_arrivals(&second.scheduler.job_table, second.now.boot);
    let mut list = vec![host("h1", POOL, "t1"), host("h2", POOL, "t2")];
    list.extend((3..9).map(|number| host(&format!("h{number}"), STANDBY, "")));
    planner.apply_host_list(list, second.now.boot);
    let orders = planner.plan(&mut second.scheduler, second.now.boot);
    assert!(
        orders.len() >= 4,
        "ten core-seconds a second need twelve cores, the pool has four: {orders:?}"
    );
}

/// An idle pool costs money. Its hosts are switched off after a while, except for the few that the
/// first tasks of a burst need.
#[test]
fn plan_switches_idle_hosts_off() {
    let mut scene = SchedulerFixture::new(1);
    add_standby_pool(&mut scene);
    let mut planner = HostPlanner::default();
    let list: Vec<FleetHost> = (0..6)
        .map(|number| host(&format!("h{number}"), POOL, &format!("t{number}")))
        .collect();
    planner.apply_host_list(list, scene.now.boot);
    assert!(
        planner
            .plan(&mut scene.scheduler, scene.now.boot)
            .is_empty(),
        "no host is switched off at once"
    );
    scene.advance(Duration::from_secs(3));
    let orders = planner.plan(&mut scene.scheduler, scene.now.boot);
    assert_eq!(orders.len(), 4);
    assert!(
        orders
            .iter()
            .all(|order| matches!(order, HostOrder::Move(_, pool) if pool == STANDBY))
    );
}

/// A burst begins within a second, and hosts that are switched off start too late for its first
/// jobs. An idle pool of a fleet of 18 hosts keeps a third of its share of nine.
#[test]
fn plan_idle_pool_keeps_third_of_share() {
    let mut scene = SchedulerFixture::new(1);
    add_standby_pool(&mut scene);
    let policy = FleetPolicy::clone(&scene.scheduler.policy);
    let other = PoolPolicy {
        name: "other".into(),
        standby: false,
    };
    let pools = policy.pools.iter().cloned().chain([other]).collect();
    let policy = FleetPolicy { pools, ..policy };
    scene.scheduler.set_policy(std::sync::Arc::new(policy));
    let mut planner = HostPlanner::default();
    let list = (0..18).map(|number| host(&format!("h{number:02}"), POOL, &format!("t{number}")));
    planner.apply_host_list(list.collect(), scene.now.boot);
    planner.plan(&mut scene.scheduler, scene.now.boot);
    scene.advance(Duration::from_secs(3));
    let orders = planner.plan(&mut scene.scheduler, scene.now.boot);
    let to = |pool: &str| {
        let moved = |order: &&HostOrder| matches!(order, HostOrder::Move(_, to) if to == pool);
        orders.iter().filter(moved).count()
    };
    assert_eq!((to("other"), to(STANDBY)), (3, 12));
}

/// Two owners must not order the same host in turn. The predecessor's last order to a host is two
/// seconds old: the host gets no order for one more second, and other hosts are ordered at once.
#[test]
fn earlier_order_delays_host() {
    let mut scene = SchedulerFixture::new(1);
    add_standby_pool(&mut scene);
    let mut planner = HostPlanner::default();
    let list = (0..4).map(|number| host(&format!("h{number}"), POOL, &format!("t{number}")));
    planner.apply_host_list(list.collect(), scene.now.boot);
    let ordered = [("h0".to_owned(), scene.now.unix)].into();
    let pause = Duration::from_secs(3);
    planner.plan(&mut scene.scheduler, scene.now.boot);
    scene.advance(Duration::from_secs(2));
    planner.apply_earlier_orders(&ordered, pause, Duration::ZERO, scene.now);
    let orders = planner.plan(&mut scene.scheduler, scene.now.boot);
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.host() != "h0"));
}

/// The wall clock of a killed predecessor was four seconds slow, so its last orders look older than
/// they are. These hosts must not be ordered yet; other hosts are ordered at once.
#[test]
fn earlier_order_with_slow_clock_delays_host() {
    let mut scene = SchedulerFixture::new(1);
    add_standby_pool(&mut scene);
    let mut planner = HostPlanner::default();
    let list = (0..4).map(|number| host(&format!("h{number}"), POOL, &format!("t{number}")));
    planner.apply_host_list(list.collect(), scene.now.boot);
    let ordered = [("h0".to_owned(), scene.now.unix - Duration::from_secs(4))].into();
    planner.plan(&mut scene.scheduler, scene.now.boot);
    scene.advance(Duration::from_secs(2));
    let (pause, min_pause) = (Duration::from_secs(3), Duration::from_millis(1700));
    planner.apply_earlier_orders(&ordered, pause, min_pause, scene.now);
    let orders = planner.plan(&mut scene.scheduler, scene.now.boot);
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.host() != "h0"));
}

/// A wave may have one host down. The owner was killed right after it had ordered one, which the
/// list does not show yet; its successor must not order another one.
#[test]
fn wave_counts_earlier_order() {
    let mut scene = SchedulerFixture::new(1);
    let mut planner = HostPlanner::default();
    let list = (0..2).map(|number| host(&format!("h{number}"), POOL, &format!("t{number}")));
    planner.apply_host_list(list.collect(), scene.now.boot);
    planner.apply_waves(&[wave(&["h0", "h1"], 1)], &BTreeSet::new(), scene.now.boot);
    let ordered = [("h0".to_owned(), scene.now.unix)].into();
    let pause = Duration::from_secs(3);
    planner.apply_earlier_orders(&ordered, pause, pause, scene.now);
    assert!(
        planner
            .plan(&mut scene.scheduler, scene.now.boot)
            .is_empty()
    );
    scene.advance(pause);
    assert_eq!(planner.plan(&mut scene.scheduler, scene.now.boot).len(), 1);
}

/// A service loses a task for twenty seconds: its host was maintained, each other host of the pool
/// had a sibling with anti-affinity, and the capacity of the pool looked sufficient. A pool must
/// have one host more than its tasks with anti-affinity need.
#[test]
fn anti_affinity_adds_replacement_host() {
    let mut scene = SchedulerFixture::new(1);
    add_standby_pool(&mut scene);
    let mut list = Vec::new();
    for number in 0..3 {
        let target = format!("t{number}");
        scene.add_target(&target, 2000);
        list.push(host(&format!("h{number}"), POOL, &target));
    }
    list.push(host("h9", STANDBY, ""));
    let with_anti_affinity = StepPlan {
        long_running: true,
        anti_affinity: 1,
        ..step(3, 100)
    };
    scene.submit("a", &plan(vec![with_anti_affinity]));
    assert_eq!(scene.confirm_starts().len(), 3);
    let mut planner = HostPlanner::default();
    planner.apply_host_list(list, scene.now.boot);
    let orders = planner.plan(&mut scene.scheduler, scene.now.boot);
    assert_eq!(orders, [HostOrder::Move("h9".into(), POOL.into())]);
}

/// A service loses a second task although only one may be unavailable: the owner handed over, and
/// its successor listed the hosts before the first poll was answered. It considered the host empty
/// and ordered its maintenance, which ended the task that ran there.
#[test]
fn plan_successor_orders_no_host_before_poll() {
    let mut first = SchedulerFixture::new(1);
    first.add_target("t1", 2000);
    let long_running = StepPlan {
        long_running: true,
        ..step(1, 1000)
    };
    first.submit("a", &plan(vec![long_running]));
    let starts = first.confirm_starts();

    let mut second = first.successor(9);
    second.list_target("t1", 2000);
    let mut planner = HostPlanner::default();
    planner.apply_host_list(vec![host("h1", POOL, "t1")], second.now.boot);
    planner.apply_waves(&[wave(&["h1"], 1)], &BTreeSet::new(), second.now.boot);
    assert!(
        planner
            .plan(&mut second.scheduler, second.now.boot)
            .is_empty()
    );

    second.report("t1", vec![at_work(&starts[0].1)], Vec::new());
    assert!(
        planner
            .plan(&mut second.scheduler, second.now.boot)
            .is_empty()
    );
    let end = end_report(1, &starts[0].1.task, starts[0].1.attempt, EndKind::Stopped);
    second.report("t1", Vec::new(), vec![end]);
    let orders = planner.plan(&mut second.scheduler, second.now.boot);
    assert_eq!(orders, [HostOrder::Maintain("h1".into(), 1)]);
}

/// An unanswered poll marks the target as unresponsive; the first test depends on it.
#[test]
fn unanswered_poll_marks_target_unresponsive() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 2000);
    scene.now.boot += BootTime::from_secs(2);
    let unanswered = PollAnswer::Unanswered("timed out".to_owned());
    scene
        .scheduler
        .apply_report(&"t1".into(), scene.now.boot, 0, &unanswered, scene.now);
    scene.submit("a", &plan(vec![step(1, 1000)]));
    assert!(
        scene.starts.is_empty(),
        "an unresponsive target gets no task"
    );
}

/// A batch task runs twice: a new owner received its host list before its target list, and ordered
/// a host whose target was then listed and given tasks before the answer. The target was considered
/// ended then, although the order had been carried out earlier and had ended nothing.
#[test]
fn ordered_target_gets_no_tasks_once_listed() {
    let mut scene = SchedulerFixture::new(1);
    let mut planner = HostPlanner::default();
    planner.apply_host_list(vec![host("h1", POOL, "t1")], scene.now.boot);
    planner.apply_waves(&[wave(&["h1"], 1)], &BTreeSet::new(), scene.now.boot);
    let orders = planner.plan(&mut scene.scheduler, scene.now.boot);
    assert_eq!(orders.len(), 1, "nothing can be running there");
    scene.add_target("t1", 2000);
    scene.submit("a", &plan(vec![step(1, 1000)]));
    assert!(
        scene.starts.is_empty(),
        "the maintenance of its host may have begun"
    );
    planner.apply_answer(&orders[0], &HostOrderAnswer::Busy, scene.now.boot);
    planner.plan(&mut scene.scheduler, scene.now.boot);
    scene.run_planning();
    assert_eq!(scene.starts.len(), 1, "the host is not maintained");
}
