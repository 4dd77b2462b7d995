//! What the log says of a task that runs a second time: why its earlier run counts as over.

mod harness;

use std::time::Duration;

use decide::work::{EarlierRun, LapsedLease, LossCause, PastRun, SchedulerEvent, TargetLoss};
use harness::{RESTARTED_AT, SchedulerFixture, plan, restarted_target, run_report, step, target};
use model::{
    HostId,
    work::{
        EndKind, OrderAnswer, PollAnswer, StartAnswer, StartOrder, StartRefusal, TargetEntry,
        TargetReport,
    },
};
use rstest::rstest;

/// Longer than a lease and the waits after it.
const LONG_OUTAGE: Duration = Duration::from_secs(16);
const ROUND: Duration = Duration::from_millis(500);

/// A fleet of two targets with one task that runs on the first.
fn running_fleet() -> (SchedulerFixture, StartOrder) {
    let (mut scene, mut starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    scene.add_target("t2", 4000);
    scene.scheduler.take_events();
    (scene, starts.remove(0).1)
}

/// Lets time pass while `t1` does not answer.
fn lose_first_target(scene: &mut SchedulerFixture) {
    let end = scene.now.boot + LONG_OUTAGE;
    while scene.now.boot < end {
        scene.advance(ROUND);
        scene.report_idle("t2");
        scene.time_out_poll("t1");
    }
}

fn losses(scene: &mut SchedulerFixture) -> Vec<(HostId, TargetLoss)> {
    let events = scene.scheduler.take_events().into_iter();
    let losses = events.filter_map(|event| match event {
        SchedulerEvent::TargetLost(id, loss) => Some((id, loss)),
        _ => None,
    });
    losses.collect()
}

/// What is known of the earlier runs of each task that was placed.
fn placements(scene: &mut SchedulerFixture) -> Vec<EarlierRun> {
    let events = scene.scheduler.take_events().into_iter();
    let placed = events.filter_map(|event| match event {
        SchedulerEvent::Placed(_, _, _, inputs) => Some(inputs.earlier),
        _ => None,
    });
    placed.collect()
}

fn past_run(start: &StartOrder, cause: &'static str) -> EarlierRun {
    EarlierRun::Last(PastRun {
        attempt: start.attempt,
        target: "t1".into(),
        cause,
    })
}

fn lapsed_lease(loss: &TargetLoss) -> LapsedLease {
    match loss.cause {
        LossCause::LeaseLapsed(lapsed) => lapsed,
        ref other => panic!("not a lapse: {other:?}"),
    }
}

/// Guards against a lapse of which the log does not say when the last lease was granted, nor that
/// this owner granted it.
#[test]
fn lapse_of_polled_target_logged() {
    let (mut scene, _) = running_fleet();
    lose_first_target(&mut scene);
    let lost = losses(&mut scene);
    let [(id, loss)] = lost.as_slice() else {
        panic!("{lost:?}");
    };
    assert_eq!((id.as_str(), loss.runs), ("t1", 1));
    let waited = loss.since_grant.unwrap_or_default();
    assert!(waited >= Duration::from_millis(6420), "{waited:?}");
    assert!(waited < Duration::from_secs(7), "{waited:?}");
    let lapsed = lapsed_lease(loss);
    assert!(lapsed.polled && !lapsed.inherited, "{lapsed:?}");
    assert_eq!((loss.cause.why(), loss.cause.fact()), ("lapsed", "lapse"));
}

/// Guards against a successor that gives up a target of its predecessor without a line: it knows of
/// no run there, and starts the tasks that may run there elsewhere.
#[test]
fn lapse_of_unpolled_target_logged() {
    let (first, _) = running_fleet();
    let mut second = first.successor(9);
    second.list_target("t1", 4000);
    second.add_target("t2", 4000);
    second.scheduler.take_events();
    lose_first_target(&mut second);
    let events = second.scheduler.take_events();
    let lost = events
        .iter()
        .position(|event| matches!(event, SchedulerEvent::TargetLost(id, _) if id == "t1"));
    let placed = events
        .iter()
        .position(|event| matches!(event, SchedulerEvent::Placed(..)));
    assert!(lost.is_some() && lost < placed, "{events:?}");
    let Some(SchedulerEvent::TargetLost(_, loss)) = lost.map(|at| &events[at]) else {
        panic!("{events:?}");
    };
    let lapsed = lapsed_lease(loss);
    assert!(lapsed.inherited && !lapsed.polled, "{lapsed:?}");
    assert!(!lapsed.handed_over);
    assert_eq!((lapsed.reached, lapsed.listed, loss.runs), (1, 2, 0));
    assert!(loss.since_grant.is_some());
}

/// Guards against a line for each idle target that restarts or is switched off.
#[test]
fn lapse_of_idle_target_not_logged() {
    let mut scene = SchedulerFixture::new(1);
    scene.add_target("t1", 4000);
    scene.add_target("t2", 4000);
    scene.scheduler.take_events();
    lose_first_target(&mut scene);
    assert_eq!(losses(&mut scene), Vec::new());
}

/// What ends an incarnation of a target or a run.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Lapse,
    NewEntry,
    NewReport,
    OtherAtAddress,
    PollRefused,
    StartRefused,
    StopRefused,
    HostOrder,
    HostAbsent,
    Reported(EndKind),
    Missing,
}

/// Ends the run of `start` on `t1`, or the target's incarnation.
fn end_by(scene: &mut SchedulerFixture, start: &StartOrder, ending: Ending) {
    let first = HostId::from("t1");
    let now = scene.now;
    match ending {
        Ending::Lapse => lose_first_target(scene),
        Ending::NewEntry => scene.scheduler.upsert_target(restarted_target(4000), now),
        Ending::NewReport => {
            let report = TargetReport {
                started_at: RESTARTED_AT,
                clock: now.boot,
                ..TargetReport::default()
            };
            answer_poll(scene, &PollAnswer::Seen(report));
        }
        Ending::OtherAtAddress => {
            let entry = TargetEntry {
                address: target("t1", 4000).address,
                started_at: RESTARTED_AT,
                ..target("t3", 4000)
            };
            scene.scheduler.upsert_target(entry, now);
        }
        Ending::PollRefused => answer_poll(scene, &PollAnswer::OtherLife),
        Ending::StartRefused => {
            scene.submit("b", &plan(vec![step(6, 1000)]));
            let starts = std::mem::take(&mut scene.starts);
            let (_, other) = starts
                .iter()
                .find(|(id, _)| *id == first)
                .unwrap_or(&starts[0]);
            let answer = StartAnswer::Refused(StartRefusal::OtherLife);
            scene
                .scheduler
                .handle_start_answer(&first, &other.task, other.attempt, &answer, now);
        }
        Ending::StopRefused => {
            let answer = OrderAnswer::OtherLife;
            scene.scheduler.handle_stop_answer(
                &first,
                &start.task,
                start.attempt,
                now.boot,
                &answer,
                now,
            );
        }
        Ending::HostOrder => scene.scheduler.end_target_after_host_order(&first, now),
        Ending::HostAbsent => {
            scene.scheduler.mark_target_unlisted(&first);
            scene.now.boot += Duration::from_secs(2);
            let listed = ["t2".into()].into_iter().collect();
            for _ in 0..2 {
                let now = scene.now;
                scene.scheduler.update_incarnations(&listed, now.boot, now);
            }
        }
        Ending::Reported(kind) => scene.report_end("t1", start, kind),
        Ending::Missing => scene.report_idle("t1"),
    }
    scene.run_planning();
}

fn answer_poll(scene: &mut SchedulerFixture, answer: &PollAnswer) {
    scene.now.boot += Duration::from_millis(1);
    let sent = scene.now.boot;
    scene
        .scheduler
        .apply_report(&"t1".into(), sent, 0, answer, scene.now);
}

/// Guards against a lost target of which the log does not say which fact showed it.
#[rstest]
#[case(Ending::NewEntry, "reborn", "entry")]
#[case(Ending::NewReport, "reborn", "report")]
#[case(Ending::OtherAtAddress, "replaced", "address")]
#[case(Ending::PollRefused, "replaced", "poll-refused")]
#[case(Ending::StartRefused, "replaced", "start-refused")]
#[case(Ending::StopRefused, "replaced", "stop-refused")]
#[case(Ending::HostOrder, "ordered", "host-order")]
#[case(Ending::HostAbsent, "no-host", "host-lists")]
fn loss_names_fact(#[case] ending: Ending, #[case] why: &str, #[case] fact: &str) {
    let (mut scene, start) = running_fleet();
    scene.report("t1", vec![run_report(&start)], Vec::new());
    end_by(&mut scene, &start, ending);
    let lost = losses(&mut scene);
    let [(id, loss)] = lost.as_slice() else {
        panic!("{lost:?}");
    };
    assert_eq!(id, "t1");
    assert_eq!((loss.cause.why(), loss.cause.fact()), (why, fact));
    assert!(loss.runs >= 1 && loss.since_grant.is_some(), "{loss:?}");
}

/// Guards against a second run whose line does not say which run it follows and why that one counts
/// as over.
#[rstest]
#[case(Ending::Lapse, "lapsed")]
#[case(Ending::NewEntry, "reborn")]
#[case(Ending::PollRefused, "replaced")]
#[case(Ending::HostOrder, "ordered")]
#[case(Ending::HostAbsent, "no-host")]
#[case(Ending::Reported(EndKind::Failed), "failed")]
#[case(Ending::Reported(EndKind::Stopped), "stopped")]
#[case(Ending::Reported(EndKind::LeaseExpired), "expired")]
#[case(Ending::Missing, "vanished")]
fn placed_after_names_earlier_run(#[case] ending: Ending, #[case] cause: &'static str) {
    let (mut scene, start) = running_fleet();
    scene.report("t1", vec![run_report(&start)], Vec::new());
    end_by(&mut scene, &start, ending);
    assert_eq!(placements(&mut scene), vec![past_run(&start, cause)]);
}

/// Guards against a task that looks as if it had run before, although its start was refused, and the
/// other way round.
#[test]
fn placed_after_tells_first_start_from_refused_one() {
    let mut scene = SchedulerFixture::with_job(4000, vec![step(1, 1000)]);
    assert_eq!(placements(&mut scene), vec![EarlierRun::Never]);
    let (id, start) = scene.starts.remove(0);
    let answer = StartAnswer::Refused(StartRefusal::OldAttempt);
    scene
        .scheduler
        .handle_start_answer(&id, &start.task, start.attempt, &answer, scene.now);
    scene.run_planning();
    assert_eq!(placements(&mut scene), vec![past_run(&start, "refused")]);
}

/// Guards against a task whose start was held up and then fenced by a stop: without a cause of its own
/// it looks as if its target had listed an end.
#[test]
fn placed_after_names_answered_stop() {
    let mut scene = SchedulerFixture::with_job(4000, vec![step(1, 1000)]);
    scene.scheduler.take_events();
    let (id, start) = scene.starts.remove(0);
    scene.time_out_start(&id, &start);
    scene.report_idle("t1");
    scene.confirm_stop(&id, &start, scene.now.boot);
    scene.report_idle("t1");
    scene.advance(Duration::from_secs(1));
    assert_eq!(
        placements(&mut scene),
        vec![past_run(&start, "stop-answered")]
    );
}

/// Guards against a successor that claims a task has never run, although it only found no run of it.
#[test]
fn placed_after_unseen_under_successor() {
    let (first, _) = running_fleet();
    let mut second = first.successor(9);
    second.add_target("t2", 4000);
    lose_first_target(&mut second);
    assert_eq!(placements(&mut second), vec![EarlierRun::Unseen]);
    second.submit("b", &plan(vec![step(1, 1000)]));
    assert_eq!(placements(&mut second), vec![EarlierRun::Never]);
}

/// Guards against a run that was given up too early and is found alive beside the second run,
/// without a line that says so.
#[test]
fn found_run_names_why_given_up() {
    let (mut scene, start) = running_fleet();
    scene.report("t1", vec![run_report(&start)], Vec::new());
    lose_first_target(&mut scene);
    scene.scheduler.take_events();
    scene.report("t1", vec![run_report(&start)], Vec::new());
    let found = SchedulerEvent::Unwanted(
        start.task.clone(),
        start.attempt,
        "t1".into(),
        Some("lapsed"),
    );
    let events = scene.scheduler.take_events();
    assert!(events.contains(&found), "{events:?}");
}
