//! Stops of long-running tasks: each send of a stop checks again whether the step may lose a task.

mod harness;

use std::{collections::BTreeSet, time::Duration};

use decide::work::{HostPlanner, SchedulerAction};
use harness::{POOL, SchedulerFixture, plan, run_report, step, target};
use model::{
    HostId,
    work::{
        FleetHost, HostCondition, MaintenanceWave, OrderAnswer, PollAnswer, RunReport, StartAnswer,
        StartOrder, StepPlan, StopOrder, TargetEntry, TargetReport,
    },
};

const RESTARTED_AT: Duration = Duration::from_secs(500);
/// Long enough for an unanswered stop to be sent again.
const RETRY_STOP: Duration = Duration::from_millis(600);
/// Long enough for a target that is not polled to count as unavailable.
const UNAVAILABLE: Duration = Duration::from_millis(1400);

type Started = (HostId, StartOrder);

/// A service of two tasks, of which one may be unavailable, on two of three targets. The start of
/// the first is unanswered.
fn with_unconfirmed_start() -> (SchedulerFixture, Started, Started) {
    let mut scene = SchedulerFixture::new(1);
    for name in ["t1", "t2", "t3"] {
        scene.add_target(name, 2000);
    }
    scene.submit("a", &plan(vec![service()]));
    let mut starts = std::mem::take(&mut scene.starts);
    let (second, first) = (starts.remove(1), starts.remove(0));
    let (id, start) = &first;
    let unanswered = StartAnswer::Unanswered("timed out".to_owned());
    scene
        .scheduler
        .handle_start_answer(id, &start.task, start.attempt, &unanswered, scene.now);
    let answer = StartAnswer::Started {
        clock: scene.now.boot,
    };
    let (id, start) = &second;
    scene
        .scheduler
        .handle_start_answer(id, &start.task, start.attempt, &answer, scene.now);
    scene.report(id, vec![ready_run(start)], Vec::new());
    (scene, first, second)
}

/// The same with both tasks running and ready.
fn with_both_ready() -> (SchedulerFixture, Started, Started) {
    let (mut scene, first, second) = with_unconfirmed_start();
    scene.report(&first.0, vec![ready_run(&first.1)], Vec::new());
    (scene, first, second)
}

fn service() -> StepPlan {
    StepPlan {
        long_running: true,
        max_unavailable: 1,
        anti_affinity: 1,
        ..step(2, 1000)
    }
}

fn ready_run(start: &StartOrder) -> RunReport {
    RunReport {
        percent: 100,
        ..run_report(start)
    }
}

/// Drains the host of a target for its maintenance.
fn drain_host(scene: &mut SchedulerFixture, id: &HostId) {
    let host = FleetHost {
        host: "h1".into(),
        pool: POOL.into(),
        target: id.clone(),
        condition: HostCondition::Up,
        ..FleetHost::default()
    };
    let wave = MaintenanceWave {
        wave: 1,
        hosts: vec!["h1".into()],
        deadline: Duration::from_secs(20),
        max_down: 1,
    };
    let mut planner = HostPlanner::default();
    planner.apply_host_list(vec![host], scene.now.boot);
    planner.apply_waves(&[wave], &BTreeSet::new(), scene.now.boot);
    planner.plan(&mut scene.scheduler, scene.now.boot);
    scene.advance(Duration::from_millis(50));
}

/// Ordered stops that still have to be sent.
fn stops_to_send(scene: &mut SchedulerFixture) -> Vec<(HostId, StopOrder)> {
    let others = std::mem::take(&mut scene.other_actions);
    let stops = others.into_iter().filter_map(|order| match order {
        SchedulerAction::Stop(id, stop) => Some((id, stop)),
        _ => None,
    });
    let now = scene.now;
    let desk = &mut scene.scheduler;
    stops
        .filter(|(id, stop)| desk.should_send_stop(id, &stop.task, stop.attempt, now))
        .collect()
}

fn lose_stop_answer(scene: &mut SchedulerFixture, (id, stop): &(HostId, StopOrder)) {
    let lost = OrderAnswer::Unanswered("timed out".to_owned());
    let sent = scene.now.boot;
    scene
        .scheduler
        .handle_stop_answer(id, &stop.task, stop.attempt, sent, &lost, scene.now);
}

/// Guards against a service that loses both tasks: an unanswered start was fenced by a stop, which
/// was lost. The start was executed late, and the next stop ended the task while the other one was
/// unavailable.
#[test]
fn retry_stop_late_start_kept() {
    let (mut scene, (id, start), _) = with_unconfirmed_start();
    scene.report_idle(&id);
    let stops = stops_to_send(&mut scene);
    assert_eq!(stops.len(), 1, "the start is fenced");
    lose_stop_answer(&mut scene, &stops[0]);
    for _ in 0..5 {
        scene.advance(RETRY_STOP);
        scene.report(&id, vec![ready_run(&start)], Vec::new());
        stops_to_send(&mut scene);
    }
    scene.advance(RETRY_STOP);
    assert!(
        stops_to_send(&mut scene).is_empty(),
        "the other is unavailable"
    );
}

/// Guards against a service that loses both tasks: its target restarted, and the new incarnation
/// had already executed the previous one's start when it was polled. The report led to a stop of
/// the running task.
#[test]
fn fence_start_next_incarnation_late_start_kept() {
    let (mut scene, (id, start), _) = with_unconfirmed_start();
    scene.advance(UNAVAILABLE);
    scene.other_actions.clear();
    let report = TargetReport {
        clock: scene.now.boot,
        started_at: RESTARTED_AT,
        running: vec![ready_run(&start)],
        ended: Vec::new(),
    };
    let sent = scene.now.boot;
    scene
        .scheduler
        .apply_report(&id, sent, 0, &PollAnswer::Seen(report), scene.now);
    scene.run_planning();
    assert!(
        stops_to_send(&mut scene).is_empty(),
        "the other is unavailable"
    );
}

/// Guards against a service that loses both tasks: a run without a known placement was adopted from
/// a report, and the stop that had fenced its start ended it afterwards.
#[test]
fn adopt_run_not_stopped() {
    let (mut scene, (id, start), _) = with_unconfirmed_start();
    scene.report(&id, vec![ready_run(&start)], Vec::new());
    let restarted = TargetEntry {
        started_at: RESTARTED_AT,
        ..target(&id, 2000)
    };
    // No other target can run the task meanwhile.
    for other in ["t2", "t3"] {
        scene.scheduler.mark_target_unlisted(&other.into());
    }
    scene.scheduler.upsert_target(restarted, scene.now);
    scene.run_planning();
    scene.starts.clear();
    stops_to_send(&mut scene);
    let report = TargetReport {
        clock: scene.now.boot,
        started_at: RESTARTED_AT,
        running: vec![ready_run(&start)],
        ended: Vec::new(),
    };
    let sent = scene.now.boot;
    scene
        .scheduler
        .apply_report(&id, sent, 0, &PollAnswer::Seen(report), scene.now);
    scene.run_planning();
    scene.advance(UNAVAILABLE);
    assert!(
        stops_to_send(&mut scene).is_empty(),
        "the other is unavailable"
    );
}

/// Guards against a service that loses both tasks: the stop that drains a host was unanswered, the
/// other task's target became unresponsive, and the stop was sent again.
#[test]
fn retry_stop_waits_for_sibling() {
    let (mut scene, (id, start), (other, sibling)) = with_both_ready();
    drain_host(&mut scene, &id);
    let stops = stops_to_send(&mut scene);
    assert_eq!(stops.len(), 1);
    lose_stop_answer(&mut scene, &stops[0]);
    scene.advance(UNAVAILABLE);
    scene.report(&id, vec![ready_run(&start)], Vec::new());
    stops_to_send(&mut scene);
    scene.advance(RETRY_STOP);
    assert!(
        stops_to_send(&mut scene).is_empty(),
        "the other is unavailable"
    );
    scene.report(&other, vec![ready_run(&sibling)], Vec::new());
    scene.report(&id, vec![ready_run(&start)], Vec::new());
    scene.advance(RETRY_STOP);
    assert_eq!(stops_to_send(&mut scene).len(), 1, "it is back");
}

/// Guards against a service that loses both tasks: a stop waited for a connection to its target
/// until the other task was unavailable.
#[test]
fn should_send_stop_checks_again() {
    let (mut scene, (id, start), (other, sibling)) = with_both_ready();
    drain_host(&mut scene, &id);
    assert_eq!(scene.stop_count(), 1);
    scene.now.boot += UNAVAILABLE;
    assert!(
        stops_to_send(&mut scene).is_empty(),
        "the other is unavailable"
    );
    scene.report(&other, vec![ready_run(&sibling)], Vec::new());
    scene.report(&id, vec![ready_run(&start)], Vec::new());
    scene.advance(Duration::from_millis(50));
    assert_eq!(stops_to_send(&mut scene).len(), 1, "it is back");
}

/// Guards against a service that loses both tasks: a stop of the first was unanswered and might
/// still arrive, and the second was stopped while the first seemed to be ready.
#[test]
fn unconfirmed_stop_counts_as_unavailable() {
    let (mut scene, (id, start), (other, sibling)) = with_unconfirmed_start();
    scene.report_idle(&id);
    let stops = stops_to_send(&mut scene);
    lose_stop_answer(&mut scene, &stops[0]);
    let report_running = |scene: &mut SchedulerFixture| {
        scene.report(&id, vec![ready_run(&start)], Vec::new());
        scene.report(&other, vec![ready_run(&sibling)], Vec::new());
    };
    report_running(&mut scene);
    drain_host(&mut scene, &other);
    assert!(
        stops_to_send(&mut scene).is_empty(),
        "the stop may still arrive"
    );
    scene.now.boot += Duration::from_secs(14);
    report_running(&mut scene);
    scene.advance(Duration::from_millis(50));
    assert_eq!(stops_to_send(&mut scene).len(), 1);
}

/// Guards against a service that loses both tasks: an owner that had lost the store drained one
/// host while its successor drained another.
#[test]
fn evacuate_uncertain_owner_stops_nothing() {
    let (mut scene, (id, start), (other, sibling)) = with_both_ready();
    scene.scheduler.set_ownership_uncertain(true);
    drain_host(&mut scene, &id);
    assert!(stops_to_send(&mut scene).is_empty());
    scene.scheduler.set_ownership_uncertain(false);
    scene.report(&id, vec![ready_run(&start)], Vec::new());
    scene.report(&other, vec![ready_run(&sibling)], Vec::new());
    scene.advance(Duration::from_millis(50));
    assert_eq!(stops_to_send(&mut scene).len(), 1);
}

/// Guards against a service that loses both tasks: the stop that fences a start was unanswered, and
/// so were the polls after it. The start was executed meanwhile, and the next stop ended the task.
#[test]
fn fence_start_waits_for_poll() {
    let (mut scene, (id, start), _) = with_unconfirmed_start();
    scene.report_idle(&id);
    let stops = stops_to_send(&mut scene);
    assert_eq!(stops.len(), 1, "a poll has just shown that it is not there");
    lose_stop_answer(&mut scene, &stops[0]);
    scene.advance(UNAVAILABLE);
    assert!(
        scene
            .other_actions
            .contains(&SchedulerAction::Poll(id.clone()))
    );
    assert!(
        stops_to_send(&mut scene).is_empty(),
        "the start may have been executed by now"
    );
    scene.report_idle(&id);
    assert_eq!(stops_to_send(&mut scene).len(), 1, "it is not there");
    lose_stop_answer(&mut scene, &stops[0]);
    scene.advance(UNAVAILABLE);
    scene.report(&id, vec![ready_run(&start)], Vec::new());
    scene.advance(RETRY_STOP);
    assert!(stops_to_send(&mut scene).is_empty(), "it is ready");
}

/// Guards against a service that loses both tasks: the host list showed that a target had
/// restarted, and its new incarnation had already executed the previous one's start.
#[test]
fn fence_start_next_incarnation_polled_first() {
    let (mut scene, (id, start), _) = with_unconfirmed_start();
    scene.advance(UNAVAILABLE);
    scene.other_actions.clear();
    let restarted = TargetEntry {
        started_at: RESTARTED_AT,
        ..target(&id, 2000)
    };
    scene.scheduler.upsert_target(restarted, scene.now);
    scene.run_planning();
    assert!(
        scene
            .other_actions
            .contains(&SchedulerAction::Poll(id.clone()))
    );
    assert!(
        stops_to_send(&mut scene).is_empty(),
        "the start may have been executed by now"
    );
    let report_running = |scene: &mut SchedulerFixture, running| {
        let report = TargetReport {
            clock: scene.now.boot,
            started_at: RESTARTED_AT,
            running,
            ended: Vec::new(),
        };
        let sent = scene.now.boot;
        scene
            .scheduler
            .apply_report(&id, sent, 0, &PollAnswer::Seen(report), scene.now);
        scene.run_planning();
    };
    report_running(&mut scene, Vec::new());
    assert_eq!(stops_to_send(&mut scene).len(), 1, "it is not there");
    report_running(&mut scene, vec![ready_run(&start)]);
    scene.advance(RETRY_STOP);
    assert!(stops_to_send(&mut scene).is_empty(), "it is ready");
}
