//! Ways by which a task may be started while an earlier run of it goes on.

mod harness;

use std::time::Duration;

use harness::{
    RESTARTED_AT, SchedulerFixture, SimTarget, plan, restarted_target, run_report, step,
};
use model::work::{EndKind, PollOrder};
use wire::work::{LogEntry, log_entry::Event};

const STEP: Duration = Duration::from_millis(100);
/// Lease, the margins after it, and one tick.
const LEASE_EXPIRY: Duration = Duration::from_millis(8500);

/// How long it takes until `holds` is true of an owner to which nobody answers.
fn time_until(owner: &mut SchedulerFixture, holds: impl Fn(&SchedulerFixture) -> bool) -> Duration {
    let begun = owner.now.boot;
    while !holds(owner) {
        assert!(owner.now.boot - begun < Duration::from_secs(30));
        owner.advance(STEP);
    }
    owner.now.boot - begun
}

/// How long the third owner waits before it starts a task that may run on a target that it can't
/// reach. The second owner did not hand over; the first one did if `handed_over`.
fn wait_of_third_owner(handed_over: bool) -> Duration {
    let (mut first, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    if handed_over {
        let event = Some(Event::HandedOver(1));
        first.stored.push(LogEntry { event });
    }
    let mut second = first.successor(9);
    second.list_target("t1", 4000);
    second.report("t1", vec![run_report(&starts[0].1)], Vec::new());
    second.submit("b", &plan(vec![step(1, 1000)]));

    let mut third = second.successor(17);
    third.add_target("t2", 4000);
    time_until(&mut third, |third| {
        third.starts.iter().any(|(_, start)| start.task.job == "a")
    })
}

/// Guards against running a task twice: an owner took over by a hand-over and was cut off later,
/// while it went on to extend leases. Its successor read the earlier hand-over in the log and did
/// not wait for the time in which a predecessor that is cut off does so.
#[test]
fn lapse_deadline_older_hand_over_waits() {
    let (after_hand_over, without) = (wait_of_third_owner(true), wait_of_third_owner(false));
    assert!(
        after_hand_over >= without,
        "{after_hand_over:?} instead of {without:?}"
    );
}

/// Guards against running a task twice: two of its targets are recorded as unreachable, each with a
/// run of it, because it was started on the second one when the lease on the first one had expired.
/// The successor took the earlier run for the present one, and when that target answered without it,
/// started the task beside the later one.
#[test]
fn adopt_unreachable_later_run_counts() {
    let (mut first, starts) = SchedulerFixture::with_running_job(1000, vec![step(1, 1000)]);
    first.report("t1", vec![run_report(&starts[0].1)], Vec::new());
    first.time_out_poll("t1");
    first.run_planning();
    first.add_target("t2", 1000);
    first.advance(Duration::from_secs(2));
    first.time_out_poll("t1");
    first.advance(LEASE_EXPIRY);
    let later = first.confirm_starts();
    assert_eq!((later.len(), later[0].0.as_str()), (1, "t2"));
    first.report("t2", vec![run_report(&later[0].1)], Vec::new());
    first.time_out_poll("t2");
    first.run_planning();

    let mut next = first.successor(9);
    next.add_target("t3", 1000);
    next.list_target("t1", 1000);
    next.report_idle("t1");
    next.advance(Duration::from_secs(1));
    assert!(next.starts.is_empty(), "it may run on t2");
}

/// How long a successor that reaches no target waits until it gives one up.
fn wait_of_successor(listed: bool) -> Duration {
    let (first, _) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    let mut next = first.successor(9);
    if listed {
        next.list_target("t1", 4000);
    }
    time_until(&mut next, |next| {
        let target = next.scheduler.targets.get("t1");
        !target.is_some_and(|t1| t1.inherited)
    })
}

/// Guards against running a task twice: the successor had reached no target, and had not read the
/// host list either. It took all of none for half of the targets, and did not wait for a predecessor
/// that nobody had told of it.
#[test]
fn lapse_deadline_without_host_list_waits() {
    let (without, listed) = (wait_of_successor(false), wait_of_successor(true));
    assert!(without >= listed, "{without:?} instead of {listed:?}");
}

/// Length of a task in the tests with a simulated target.
const TASK_TIME: Duration = Duration::from_secs(60);

/// Lets the owner poll a simulated target `t1`.
fn poll_target(scene: &mut SchedulerFixture, target: &mut SimTarget) -> Option<PollOrder> {
    let order = scene
        .scheduler
        .poll_order(&"t1".into(), scene.now.boot, scene.now)?;
    answer_poll(scene, target, &order);
    Some(order)
}

fn answer_poll(scene: &mut SchedulerFixture, target: &mut SimTarget, order: &PollOrder) {
    let (sent, observed) = (scene.now.boot, order.acked_end);
    scene.now.boot += Duration::from_millis(1);
    let (answer, _) = target.poll(order, scene.now.boot);
    scene
        .scheduler
        .apply_report(&"t1".into(), sent, observed, &answer, scene.now);
    scene.run_planning();
}

/// The next incarnation of the target under the same id, whose clock begins anew.
fn restarted_sim(now: Duration) -> SimTarget {
    SimTarget {
        started_at: RESTARTED_AT,
        clock_start: now,
        up: true,
        ..SimTarget::default()
    }
}

/// Guards against running a task twice: a poll that granted time was held up, its target restarted
/// under its id, and the poll extended the lease there after the owner had counted it.
#[test]
fn leases_expired_at_counts_held_up_poll() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(1000, vec![step(1, 1000)]);
    scene.report("t1", vec![run_report(&starts[0].1)], Vec::new());
    let held_up = scene
        .scheduler
        .poll_order(&"t1".into(), scene.now.boot, scene.now);
    let Some(held_up) = held_up.filter(|order| order.lease_until.is_some()) else {
        panic!("the lease has to be extended");
    };
    scene
        .scheduler
        .upsert_target(restarted_target(1000), scene.now);
    let mut target = restarted_sim(scene.now.boot);
    poll_target(&mut scene, &mut target);
    let (_, start) = scene.starts[0].clone();
    target.start(&start, scene.now.boot, scene.now.boot + TASK_TIME);
    scene.confirm_starts();
    poll_target(&mut scene, &mut target);
    scene.add_target("t2", 1000);
    // The target is out of reach from here on.
    for step in 0.. {
        if step == 45 {
            target.poll(&held_up, scene.now.boot);
        }
        scene.advance(STEP);
        target.end_due_runs(scene.now.boot);
        if !scene.starts.is_empty() {
            break;
        }
        scene.time_out_poll("t1");
        assert!(step < 300);
    }
    assert!(target.runs.is_empty(), "{:?}", target.runs);
}

/// Guards against running a task twice: a poll repeated the number of an end that the target had
/// forgotten already, was held up, and made the next incarnation forget an end that nobody knew.
#[test]
fn poll_order_acks_forgotten_ends_no_more() {
    let (mut scene, starts) = SchedulerFixture::with_running_job(1000, vec![step(1, 1000)]);
    scene.report_end("t1", &starts[0].1, EndKind::Done);
    scene.submit("b", &plan(vec![step(1, 1000)]));
    let (_, start) = scene.starts[0].clone();
    scene.confirm_starts();
    let mut target = SimTarget {
        started_at: Duration::from_secs(1),
        up: true,
        ..SimTarget::default()
    };
    target.start(&start, scene.now.boot, scene.now.boot + TASK_TIME);
    let acked = poll_target(&mut scene, &mut target);
    assert_eq!(acked.map(|order| order.acked_end), Some(1));
    let held_up = scene
        .scheduler
        .poll_order(&"t1".into(), scene.now.boot, scene.now);

    scene
        .scheduler
        .upsert_target(restarted_target(1000), scene.now);
    let mut target = restarted_sim(scene.now.boot);
    poll_target(&mut scene, &mut target);
    let (_, start) = scene.starts[0].clone();
    target.start(&start, scene.now.boot, scene.now.boot + STEP);
    scene.confirm_starts();
    poll_target(&mut scene, &mut target);
    scene.advance(STEP);
    target.end_due_runs(scene.now.boot);
    if let Some(held_up) = held_up {
        target.poll(&held_up, scene.now.boot);
    }
    poll_target(&mut scene, &mut target);
    assert!(scene.starts.is_empty(), "it is done");
}
