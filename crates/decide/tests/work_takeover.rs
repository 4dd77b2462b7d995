//! A successor takes over the work of its predecessor.

mod harness;

use std::time::Duration;

use decide::call_budget::CallClass;
use harness::{SchedulerFixture, end_report, long_running_pair, plan, run_report, step};
use model::{
    HostId,
    work::{EndKind, PollAnswer, StartOrder, StepPlan},
};

/// Guards against restarting running tasks after an owner was killed: the successor replays the
/// log, polls the target and finds the runs. Treating them as unwanted would stop them and start
/// them again.
#[test]
fn successor_adopts_runs() {
    let (first, starts) = SchedulerFixture::with_running_job(4000, vec![step(2, 1000)]);
    assert_eq!(starts.len(), 2);

    let mut second = first.successor(9);
    second.list_target("t1", 4000);
    second.report(
        "t1",
        starts.iter().map(|(_, start)| run_report(start)).collect(),
        Vec::new(),
    );
    second.advance(Duration::from_millis(50));
    assert_eq!(second.stop_count(), 0);
    assert!(second.starts.is_empty());
}

/// Guards against starts that delay a new owner's polls of its predecessor's targets: leases there
/// would expire, and ended tasks would be started again.
#[test]
fn successor_polls_unpolled_before_starts() {
    let (first, _) = SchedulerFixture::with_running_job(4000, vec![step(2, 1000)]);
    let mut second = first.successor(9);
    second.list_target("t1", 4000);
    second.list_target("new", 4000);
    let class =
        |scene: &SchedulerFixture, id: &str| scene.scheduler.poll_class(&id.into(), scene.now);
    assert!(class(&second, "t1").is_some_and(|class| class < CallClass::Start));
    assert_eq!(class(&second, "new"), Some(CallClass::Poll));
    second.time_out_poll("t1");
    assert_eq!(class(&second, "t1"), Some(CallClass::Probe));
}

/// Guards against overcommitting a target, which slows down everything on it. A job failed, the
/// owner stopped its other runs, the log was compacted and the owner left. Its successor finds a
/// run that is still being stopped, of a job whose steps are no longer in the log, and has to count
/// its resources.
#[test]
fn successor_counts_stopping_runs() {
    let (mut first, starts) = SchedulerFixture::with_running_job(4000, vec![step(2, 1500)]);
    first.cancel("a");
    first.compact_log();

    let mut second = first.successor(9);
    second.list_target("t1", 4000);
    second.report(
        "t1",
        starts.iter().map(|(_, start)| run_report(start)).collect(),
        Vec::new(),
    );
    second.submit("b", &plan(vec![step(1, 2000)]));
    second.advance(Duration::from_millis(50));
    assert!(second.starts.is_empty(), "1000 of 4000 are free");
    let ends = starts.iter().zip(1..).map(|((_, start), number)| {
        end_report(number, &start.task, start.attempt, EndKind::Stopped)
    });
    second.report("t1", Vec::new(), ends.collect());
    second.advance(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1);
}

/// Guards against running a task twice. The owner is killed while a task runs on a target that its
/// successor can't reach and that has left the host list. The successor waits until the task's
/// lease expires before it starts the task elsewhere.
#[test]
fn successor_waits_for_unreachable_target() {
    let (first, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    assert_eq!(starts.len(), 1);

    let mut second = first.successor(9);
    second.add_target("t2", 4000);
    second.advance(Duration::from_secs(5));
    assert!(second.starts.is_empty(), "it may still run on t1");
    second.advance(Duration::from_secs(12));
    assert_eq!(second.starts.len(), 1);
    assert_eq!(second.starts[0].0, "t2");
}

/// Guards against a service that lacks a task for fourteen seconds: its target had crashed before
/// the owner changed, and most of the targets in the log were incarnations of hosts that had been
/// moved since. They don't make the wait any longer.
#[test]
fn successor_does_not_count_gone_targets() {
    let mut first = SchedulerFixture::new(1);
    for target in ["t1", "t2", "t3", "t4", "t5"] {
        first.add_target(target, 4000);
    }
    first.submit("a", &plan(vec![step(1, 1000)]));
    assert_eq!(first.confirm_starts().len(), 1);

    let mut second = first.successor(9);
    second.add_target("t6", 4000);
    second.advance(Duration::from_secs(9));
    assert_eq!(
        second.starts.len(),
        1,
        "all leases of the predecessor have expired"
    );
}

/// Guards against a service that lacks a task for twelve seconds while processes are restarted one
/// after the other: each owner handed over before the wait for an unreachable target in the log was
/// over. The target was an incarnation of a host that had been moved long before.
#[test]
fn successor_frees_incarnations_without_host() {
    let (first, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    assert_eq!(starts.len(), 1);

    let mut second = first.successor(9);
    second.add_target("t2", 4000);
    let listed_incarnations = ["t2".into(), "t3".into()].into();
    second
        .scheduler
        .update_incarnations(&listed_incarnations, second.now.boot, second.now);
    second.advance(Duration::from_millis(500));
    assert!(
        second.starts.is_empty(),
        "one list may have omitted its host"
    );
    second
        .scheduler
        .update_incarnations(&listed_incarnations, second.now.boot, second.now);
    second.advance(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1);
    let released = |entry: &wire::work::LogEntry| {
        entry.event == Some(wire::work::log_entry::Event::Released("t1".to_owned()))
    };
    assert!(second.stored.iter().any(released));
}

/// Guards against running a task twice: a target cut off by a network partition leaves the host
/// list while its tasks run, and its host still has that incarnation. Its lease has to expire.
#[test]
fn successor_keeps_incarnations_with_host() {
    let (first, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    assert_eq!(starts.len(), 1);

    let mut second = first.successor(9);
    second.add_target("t2", 4000);
    for _ in 0..8 {
        second.scheduler.update_incarnations(
            &["t1".into(), "t2".into()].into(),
            second.now.boot,
            second.now,
        );
        second
            .scheduler
            .update_incarnations(&Default::default(), second.now.boot, second.now);
        second.advance(Duration::from_millis(500));
    }
    assert!(second.starts.is_empty(), "it may still run on t1");
}

/// Guards against a service that loses two tasks at once although only one may be unavailable: the
/// owner ordered one stopped and handed over, and its successor saw the task still reported as
/// ready and stopped another.
#[test]
fn successor_waits_before_stopping() {
    let mut first = SchedulerFixture::new(1);
    for target in ["t1", "t2", "t3"] {
        first.add_target(target, 4000);
    }
    first.submit("a", &plan(vec![long_running_pair()]));
    let starts = first.confirm_starts();

    let mut second = first.successor(9);
    for target in ["t1", "t2", "t3"] {
        second.list_target(target, 4000);
    }
    let at_work = |index: usize| model::work::RunReport {
        percent: 100,
        ..run_report(&starts[index].1)
    };
    second.report(&starts[0].0, vec![at_work(0)], Vec::new());
    second.report(&starts[1].0, vec![at_work(1)], Vec::new());
    second.report_idle("t3");
    second.start_draining(&starts[0].0);
    second.advance(Duration::from_millis(100));
    assert_eq!(second.stop_count(), 0);
    second.advance(Duration::from_millis(1300));
    second.report(&starts[0].0, vec![at_work(0)], Vec::new());
    second.report(&starts[1].0, vec![at_work(1)], Vec::new());
    second.advance(Duration::from_millis(50));
    assert_eq!(second.stop_count(), 1);
}

/// A successor that has polled no target, and the starts of a gang of two on two targets.
fn successor_of_gang_owner() -> (SchedulerFixture, Vec<(HostId, StartOrder)>) {
    let mut first = SchedulerFixture::new(1);
    first.add_target("t1", 4000);
    first.add_target("t2", 4000);
    let gang = StepPlan {
        gang: true,
        ..step(2, 3000)
    };
    first.submit("a", &plan(vec![gang]));
    let starts = first.confirm_starts();
    assert_eq!(starts.len(), 2);
    let mut second = first.successor(9);
    second.list_target("t1", 4000);
    second.list_target("t2", 4000);
    (second, starts)
}

/// Guards against losing the progress of a gang: the successor has polled the target of one member,
/// takes the gang for incomplete and stops that member, while the other one runs on a target that
/// has not been polled.
#[test]
fn successor_keeps_gang_until_polled() {
    let (mut second, starts) = successor_of_gang_owner();
    for (id, start) in &starts {
        second.report(id, vec![run_report(start)], Vec::new());
        second.advance(Duration::from_millis(50));
        assert_eq!(second.stop_count(), 0);
    }
}

/// Guards against a member that runs alone for good: the other one is not on any target.
#[test]
fn successor_stops_gang_once_polled() {
    let (mut second, starts) = successor_of_gang_owner();
    let (id, start) = &starts[0];
    second.report(id, vec![run_report(start)], Vec::new());
    second.report_idle(&starts[1].0);
    second.advance(Duration::from_millis(50));
    assert_eq!(second.stop_count(), 1);
}

/// A job accepted by the successor can't run anywhere yet, so it must not wait for a target that
/// has not been polled.
#[test]
fn successor_starts_new_jobs() {
    let mut first = SchedulerFixture::new(1);
    first.add_target("t1", 4000);

    let mut second = first.successor(9);
    second.add_target("t2", 4000);
    second.submit("b", &plan(vec![step(1, 1000)]));
    assert_eq!(second.starts.len(), 1);
}

/// An end that the predecessor recorded is reported again because the target was not told to forget
/// it. Counting it twice would fail a job that has an attempt left.
#[test]
fn successor_counts_failure_once() {
    let (mut first, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    let (_, start) = &starts[0];
    let end = end_report(1, &start.task, start.attempt, EndKind::Failed);
    first.report("t1", Vec::new(), vec![end.clone()]);

    let mut second = first.successor(9);
    second.list_target("t1", 4000);
    second.report("t1", Vec::new(), vec![end]);
    second.advance(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1, "one attempt is left");
}

/// Guards against running a finished task again: the owner can't reach the store and can't record
/// the end of a task. Its successor finds the end in the target's first report and has to count it.
#[test]
fn successor_counts_unstored_end() {
    let (first, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    let (_, start) = &starts[0];

    let mut second = first.successor(9);
    second.list_target("t1", 4000);
    let end = end_report(1, &start.task, start.attempt, EndKind::Done);
    second.report("t1", Vec::new(), vec![end]);
    second.advance(Duration::from_millis(50));
    assert!(second.starts.is_empty());
    assert_eq!(
        second.scheduler.job_phase("a"),
        Some(wire::work::JobPhase::Completed)
    );
}

/// Guards against running a task more often than its queue allows: the owner recorded the last
/// failure and crashed before the page with the failure of the job was written. The successor fails
/// the job instead of starting it.
#[test]
fn successor_fails_job_without_attempts() {
    let mut first = SchedulerFixture::with_job(4000, vec![step(1, 1000)]);
    for number in 1..3 {
        first.advance(Duration::from_secs(4));
        let starts = first.confirm_starts();
        let (_, start) = &starts[0];
        let end = end_report(number, &start.task, start.attempt, EndKind::Failed);
        first.report("t1", Vec::new(), vec![end]);
    }
    let failed = |entry: &wire::work::LogEntry| {
        matches!(entry.event, Some(wire::work::log_entry::Event::Failed(_)))
    };
    assert!(first.stored.iter().any(failed));
    first.stored.retain(|entry| !failed(entry));

    let mut second = first.successor(9);
    second.add_target("t1", 4000);
    second.advance(Duration::from_secs(4));
    assert!(second.starts.is_empty(), "two attempts are allowed");
    assert_eq!(
        second.scheduler.job_phase("a"),
        Some(wire::work::JobPhase::Failed)
    );
    assert!(second.stored.iter().any(failed));
}

/// Guards against exceeding a workspace's limit: a job was cancelled while its tasks ran on a
/// target that the new owner had not polled, and other tasks were started as well.
#[test]
fn successor_counts_cancelled_job_on_unpolled_target() {
    let (first, starts) = SchedulerFixture::with_running_job(8000, vec![step(4, 2000)]);
    assert_eq!(starts.len(), 4);

    let mut second = first.successor(9);
    second.add_target("t2", 8000);
    second.cancel("a");
    second.submit("b", &plan(vec![step(1, 1000)]));
    second.advance(Duration::from_millis(50));
    assert!(second.starts.is_empty(), "a may still run on t1");
    second.report_idle("t1");
    second.advance(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1);
}

/// The same when the predecessor recorded the cancellation and was killed.
#[test]
fn successor_counts_job_cancelled_before_on_unpolled_target() {
    let (mut first, starts) = SchedulerFixture::with_running_job(8000, vec![step(4, 2000)]);
    assert_eq!(starts.len(), 4);
    first.cancel("a");

    let mut second = first.successor(9);
    second.add_target("t2", 8000);
    second.submit("b", &plan(vec![step(1, 1000)]));
    second.advance(Duration::from_millis(50));
    assert!(second.starts.is_empty(), "a may still run on t1");
    second.report_idle("t1");
    second.advance(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1);
}

/// Guards against starting another step of a job that turns out to have failed in the same planning
/// pass.
#[test]
fn successor_starts_no_step_of_failed_job() {
    let mut first = SchedulerFixture::with_job(4000, vec![step(1, 1000), step(1, 1000)]);
    for number in 1..3 {
        first.advance(Duration::from_secs(4));
        let starts = first.confirm_starts();
        let (_, start) = starts
            .iter()
            .find(|(_, start)| start.task.step == 0)
            .unwrap_or(&starts[0]);
        let end = end_report(number, &start.task, start.attempt, EndKind::Failed);
        first.report("t1", Vec::new(), vec![end]);
    }
    first
        .stored
        .retain(|entry| !matches!(entry.event, Some(wire::work::log_entry::Event::Failed(_))));
    let mut second = first.successor(9);
    second.add_target("t1", 4000);
    second.advance(Duration::from_secs(4));
    assert!(second.starts.is_empty(), "{:?}", second.starts);
}

/// Guards against a pool that is blocked after a handover until the lease of a target expires
/// although the target answered that another incarnation is at its address.
#[test]
fn successor_frees_pool_of_replaced_target() {
    let (first, starts) = SchedulerFixture::with_running_job(4000, vec![step(1, 1000)]);
    assert_eq!(starts.len(), 1);

    let mut second = first.successor(9);
    second.add_target("t2", 4000);
    second.advance(Duration::from_millis(50));
    assert!(second.starts.is_empty(), "it may run on t1");
    let sent = second.now.boot;
    let other = PollAnswer::OtherLife;
    second
        .scheduler
        .apply_report(&"t1".into(), sent, 0, &other, second.now);
    second.advance(Duration::from_millis(100));
    assert_eq!(second.starts.len(), 1);
}
