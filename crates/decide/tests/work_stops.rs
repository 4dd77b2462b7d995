//! Stops of tasks that last: whether one may still be sent, or sent again, is asked each time.

mod desk;

use std::{collections::BTreeSet, time::Duration};

use decide::work::{HostPlanner, SchedulerAction};
use desk::{DeskScene, POOL, plan, running, step, target};
use model::{
    HostId,
    work::{
        FleetHost, HostCondition, MaintenanceWave, OrderAnswer, PollAnswer, RunReport, StartAnswer,
        StartOrder, StepPlan, StopOrder, TargetEntry, TargetReport,
    },
};

const LATER: Duration = Duration::from_secs(500);
/// Long enough for an unanswered stop to be sent again.
const AGAIN: Duration = Duration::from_millis(600);
/// Long enough for a target that is not looked at to count as away.
const UNHEARD: Duration = Duration::from_millis(1400);

type Started = (HostId, StartOrder);

/// A service of two tasks, of which one may be missing, on two of three targets; the start of
/// the first is not answered.
fn with_unsure_start() -> (DeskScene, Started, Started) {
    let mut scene = DeskScene::new(1);
    for name in ["t1", "t2", "t3"] {
        scene.add(name, 2000);
    }
    scene.submit("a", &plan(vec![service()]));
    let mut starts = std::mem::take(&mut scene.starts);
    let (second, first) = (starts.remove(1), starts.remove(0));
    let (id, start) = &first;
    let unanswered = StartAnswer::Unanswered("timed out".to_owned());
    scene
        .desk
        .handle_start_answer(id, &start.task, start.attempt, &unanswered, scene.now);
    let answer = StartAnswer::Started {
        clock: scene.now.boot,
    };
    let (id, start) = &second;
    scene
        .desk
        .handle_start_answer(id, &start.task, start.attempt, &answer, scene.now);
    scene.see(id, vec![at_work(start)], Vec::new());
    (scene, first, second)
}

/// The same with both at work.
fn at_work_both() -> (DeskScene, Started, Started) {
    let (mut scene, first, second) = with_unsure_start();
    scene.see(&first.0, vec![at_work(&first.1)], Vec::new());
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

fn at_work(start: &StartOrder) -> RunReport {
    RunReport {
        percent: 100,
        ..running(start)
    }
}

/// Has the host of a target emptied for its maintenance.
fn empty(scene: &mut DeskScene, id: &HostId) {
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
    planner.plan(&mut scene.desk, scene.now.boot);
    scene.pass(Duration::from_millis(50));
}

/// What was ordered to be stopped and is still to be sent.
fn wanted_stops(scene: &mut DeskScene) -> Vec<(HostId, StopOrder)> {
    let others = std::mem::take(&mut scene.others);
    let stops = others.into_iter().filter_map(|order| match order {
        SchedulerAction::Stop(id, stop) => Some((id, stop)),
        _ => None,
    });
    let now = scene.now;
    let desk = &mut scene.desk;
    stops
        .filter(|(id, stop)| desk.should_send_stop(id, &stop.task, stop.attempt, now))
        .collect()
}

fn lose_answer(scene: &mut DeskScene, (id, stop): &(HostId, StopOrder)) {
    let lost = OrderAnswer::Unanswered("timed out".to_owned());
    let sent = scene.now.boot;
    scene
        .desk
        .handle_stop_answer(id, &stop.task, stop.attempt, sent, &lost, scene.now);
}

/// A service loses both of its tasks: a start that was not answered was closed by a stop, which
/// was lost. The start was carried out late, and the next stop ended the task though the other
/// one was away.
#[test]
fn repeated_stop_spares_late_start() {
    let (mut scene, (id, start), _) = with_unsure_start();
    scene.raise(&id);
    let stops = wanted_stops(&mut scene);
    assert_eq!(stops.len(), 1, "the start is closed");
    lose_answer(&mut scene, &stops[0]);
    for _ in 0..5 {
        scene.pass(AGAIN);
        scene.see(&id, vec![at_work(&start)], Vec::new());
        wanted_stops(&mut scene);
    }
    scene.pass(AGAIN);
    assert!(wanted_stops(&mut scene).is_empty(), "the other is away");
}

/// A service loses both of its tasks: its target began another life, which had taken the start of
/// the life before when the look came. The look brought the stop of what it showed at work.
#[test]
fn stop_in_next_life_spares_late_start() {
    let (mut scene, (id, start), _) = with_unsure_start();
    scene.pass(UNHEARD);
    scene.others.clear();
    let sight = TargetReport {
        clock: scene.now.boot,
        started_at: LATER,
        running: vec![at_work(&start)],
        ended: Vec::new(),
    };
    let sent = scene.now.boot;
    scene
        .desk
        .apply_report(&id, sent, 0, &PollAnswer::Seen(sight), scene.now);
    scene.run();
    assert!(wanted_stops(&mut scene).is_empty(), "the other is away");
}

/// A service loses both of its tasks: a task that no target was taken to run was taken over when a
/// look showed it, and the stop that had closed its start ended it afterwards.
#[test]
fn adopted_run_is_not_stopped() {
    let (mut scene, (id, start), _) = with_unsure_start();
    scene.see(&id, vec![at_work(&start)], Vec::new());
    let reborn = TargetEntry {
        started_at: LATER,
        ..target(&id, 2000)
    };
    // Nothing takes the task meanwhile.
    for other in ["t2", "t3"] {
        scene.desk.mark_target_unlisted(&other.into());
    }
    scene.desk.upsert_target(reborn, scene.now);
    scene.run();
    scene.starts.clear();
    wanted_stops(&mut scene);
    let sight = TargetReport {
        clock: scene.now.boot,
        started_at: LATER,
        running: vec![at_work(&start)],
        ended: Vec::new(),
    };
    let sent = scene.now.boot;
    scene
        .desk
        .apply_report(&id, sent, 0, &PollAnswer::Seen(sight), scene.now);
    scene.run();
    scene.pass(UNHEARD);
    assert!(wanted_stops(&mut scene).is_empty(), "the other is away");
}

/// A service loses both of its tasks: the stop that was to empty a host was not answered, the other
/// task's target fell silent, and the stop was sent again.
#[test]
fn repeated_stop_waits_for_sibling() {
    let (mut scene, (id, start), (other, sibling)) = at_work_both();
    empty(&mut scene, &id);
    let stops = wanted_stops(&mut scene);
    assert_eq!(stops.len(), 1);
    lose_answer(&mut scene, &stops[0]);
    scene.pass(UNHEARD);
    scene.see(&id, vec![at_work(&start)], Vec::new());
    wanted_stops(&mut scene);
    scene.pass(AGAIN);
    assert!(wanted_stops(&mut scene).is_empty(), "the other is away");
    scene.see(&other, vec![at_work(&sibling)], Vec::new());
    scene.see(&id, vec![at_work(&start)], Vec::new());
    scene.pass(AGAIN);
    assert_eq!(wanted_stops(&mut scene).len(), 1, "it is back");
}

/// A service loses both of its tasks: a stop waited for a connection to its target until the
/// other task was away.
#[test]
fn waiting_stop_is_asked_anew() {
    let (mut scene, (id, start), (other, sibling)) = at_work_both();
    empty(&mut scene, &id);
    assert_eq!(scene.stops(), 1);
    scene.now.boot += UNHEARD;
    assert!(wanted_stops(&mut scene).is_empty(), "the other is away");
    scene.see(&other, vec![at_work(&sibling)], Vec::new());
    scene.see(&id, vec![at_work(&start)], Vec::new());
    scene.pass(Duration::from_millis(50));
    assert_eq!(wanted_stops(&mut scene).len(), 1, "it is back");
}

/// A service loses both of its tasks: a stop of the first was not answered and might still come,
/// and the second was stopped while the first seemed to be at work.
#[test]
fn late_stop_counts_as_away() {
    let (mut scene, (id, start), (other, sibling)) = with_unsure_start();
    scene.raise(&id);
    let stops = wanted_stops(&mut scene);
    lose_answer(&mut scene, &stops[0]);
    let look = |scene: &mut DeskScene| {
        scene.see(&id, vec![at_work(&start)], Vec::new());
        scene.see(&other, vec![at_work(&sibling)], Vec::new());
    };
    look(&mut scene);
    empty(&mut scene, &other);
    assert!(wanted_stops(&mut scene).is_empty(), "the stop may come yet");
    scene.now.boot += Duration::from_secs(14);
    look(&mut scene);
    scene.pass(Duration::from_millis(50));
    assert_eq!(wanted_stops(&mut scene).len(), 1);
}

/// A service loses both of its tasks: an owner that had lost the store emptied one host while its
/// successor emptied another.
#[test]
fn lone_owner_empties_no_host() {
    let (mut scene, (id, start), (other, sibling)) = at_work_both();
    scene.desk.set_ownership_uncertain(true);
    empty(&mut scene, &id);
    assert!(wanted_stops(&mut scene).is_empty());
    scene.desk.set_ownership_uncertain(false);
    scene.see(&id, vec![at_work(&start)], Vec::new());
    scene.see(&other, vec![at_work(&sibling)], Vec::new());
    scene.pass(Duration::from_millis(50));
    assert_eq!(wanted_stops(&mut scene).len(), 1);
}

/// A service loses both of its tasks: the stop that was to close a start was not answered, nor were
/// the looks after it. The start was carried out meanwhile, and the next stop ended the task.
#[test]
fn closing_stop_waits_for_look() {
    let (mut scene, (id, start), _) = with_unsure_start();
    scene.raise(&id);
    let stops = wanted_stops(&mut scene);
    assert_eq!(stops.len(), 1, "a look has just shown that it is not there");
    lose_answer(&mut scene, &stops[0]);
    scene.pass(UNHEARD);
    assert!(scene.others.contains(&SchedulerAction::Poll(id.clone())));
    assert!(
        wanted_stops(&mut scene).is_empty(),
        "it may be there by now"
    );
    scene.raise(&id);
    assert_eq!(wanted_stops(&mut scene).len(), 1, "it is not there");
    lose_answer(&mut scene, &stops[0]);
    scene.pass(UNHEARD);
    scene.see(&id, vec![at_work(&start)], Vec::new());
    scene.pass(AGAIN);
    assert!(wanted_stops(&mut scene).is_empty(), "it is at work");
}

/// A service loses both of its tasks: the host list told that a target has begun another life,
/// where the start of the life before had been carried out already.
#[test]
fn next_life_is_looked_at_before_stop() {
    let (mut scene, (id, start), _) = with_unsure_start();
    scene.pass(UNHEARD);
    scene.others.clear();
    let reborn = TargetEntry {
        started_at: LATER,
        ..target(&id, 2000)
    };
    scene.desk.upsert_target(reborn, scene.now);
    scene.run();
    assert!(scene.others.contains(&SchedulerAction::Poll(id.clone())));
    assert!(
        wanted_stops(&mut scene).is_empty(),
        "it may be there by now"
    );
    let look = |scene: &mut DeskScene, running| {
        let sight = TargetReport {
            clock: scene.now.boot,
            started_at: LATER,
            running,
            ended: Vec::new(),
        };
        let sent = scene.now.boot;
        scene
            .desk
            .apply_report(&id, sent, 0, &PollAnswer::Seen(sight), scene.now);
        scene.run();
    };
    look(&mut scene, Vec::new());
    assert_eq!(wanted_stops(&mut scene).len(), 1, "it is not there");
    look(&mut scene, vec![at_work(&start)]);
    scene.pass(AGAIN);
    assert!(wanted_stops(&mut scene).is_empty(), "it is at work");
}
