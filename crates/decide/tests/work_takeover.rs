//! What a successor makes of the work that its predecessor has left.

mod desk;

use std::time::Duration;

use decide::call_budget::CallClass;
use desk::{DeskScene, ended, lasting_pair, plan, running, step};
use model::work::{EndKind, PollAnswer};

/// A caller sees its job run on though the owner was killed. The successor reads the log, looks
/// at the target and finds the run; taking it for a stray one would stop it and start it again.
#[test]
fn successor_adopts_runs() {
    let (first, starts) = DeskScene::started(4000, vec![step(2, 1000)]);
    assert_eq!(starts.len(), 2);

    let mut second = first.successor(9);
    second.list("t1", 4000);
    second.see(
        "t1",
        starts.iter().map(|(_, start)| running(start)).collect(),
        Vec::new(),
    );
    second.pass(Duration::from_millis(50));
    assert_eq!(second.stops(), 0);
    assert!(second.starts.is_empty());
}

/// Guards against starts that keep a new owner from looking at its predecessor's targets: what runs
/// there lapses, and what has ended is started again.
#[test]
fn successor_looks_at_unreached_before_starts() {
    let (first, _) = DeskScene::started(4000, vec![step(2, 1000)]);
    let mut second = first.successor(9);
    second.list("t1", 4000);
    second.list("new", 4000);
    let class = |scene: &DeskScene, id: &str| scene.desk.poll_class(&id.into(), scene.now);
    assert!(class(&second, "t1").is_some_and(|class| class < CallClass::Start));
    assert_eq!(class(&second, "new"), Some(CallClass::Poll));
    second.miss("t1");
    assert_eq!(class(&second, "t1"), Some(CallClass::Probe));
}

/// A target is filled beyond its room, and all on it slows down. A job fails, the owner stops its
/// other runs, the log is made shorter and the owner goes. Its successor finds a run that is still
/// being stopped, of a job whose steps the log does not tell any more, and has to count its room.
#[test]
fn successor_counts_stopping_runs() {
    let (mut first, starts) = DeskScene::started(4000, vec![step(2, 1500)]);
    first.cancel("a");
    first.compact();

    let mut second = first.successor(9);
    second.list("t1", 4000);
    second.see(
        "t1",
        starts.iter().map(|(_, start)| running(start)).collect(),
        Vec::new(),
    );
    second.submit("b", &plan(vec![step(1, 2000)]));
    second.pass(Duration::from_millis(50));
    assert!(second.starts.is_empty(), "1000 of 4000 are free");
    let ends = starts
        .iter()
        .zip(1..)
        .map(|((_, start), number)| ended(number, &start.task, start.attempt, EndKind::Stopped));
    second.see("t1", Vec::new(), ends.collect());
    second.pass(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1);
}

/// A caller's batch must not run twice. The owner is killed while a task runs on a target that
/// its successor can't reach and that has left the host list; the successor waits until the
/// task's time has lapsed before it starts it elsewhere.
#[test]
fn successor_waits_for_unreached_target() {
    let (first, starts) = DeskScene::started(4000, vec![step(1, 1000)]);
    assert_eq!(starts.len(), 1);

    let mut second = first.successor(9);
    second.add("t2", 4000);
    second.pass(Duration::from_secs(5));
    assert!(second.starts.is_empty(), "it may still run on t1");
    second.pass(Duration::from_secs(12));
    assert_eq!(second.starts.len(), 1);
    assert_eq!(second.starts[0].0, "t2");
}

/// A service lacks a task for fourteen seconds: its target had crashed before the owner changed,
/// and most of the targets in the log were lives of hosts that had been moved since. They say
/// nothing of whether the predecessor still gives orders.
#[test]
fn successor_does_not_count_gone_targets() {
    let mut first = DeskScene::new(1);
    for target in ["t1", "t2", "t3", "t4", "t5"] {
        first.add(target, 4000);
    }
    first.submit("a", &plan(vec![step(1, 1000)]));
    assert_eq!(first.start_all().len(), 1);

    let mut second = first.successor(9);
    second.add("t6", 4000);
    second.pass(Duration::from_secs(9));
    assert_eq!(
        second.starts.len(),
        1,
        "6.4 s of the grant and 1.8 s of the predecessor"
    );
}

/// A service lacks a task for twelve seconds while processes are restarted one after the other:
/// each owner handed over within the time that the next waits for a target which the log names
/// and nobody reaches, and which was a life of a host that had been moved long before.
#[test]
fn successor_frees_lives_without_host() {
    let (first, starts) = DeskScene::started(4000, vec![step(1, 1000)]);
    assert_eq!(starts.len(), 1);

    let mut second = first.successor(9);
    second.add("t2", 4000);
    let lives = ["t2".into(), "t3".into()].into();
    second
        .desk
        .update_incarnations(&lives, second.now.boot, second.now);
    second.pass(Duration::from_millis(500));
    assert!(
        second.starts.is_empty(),
        "one list may have missed its host"
    );
    second
        .desk
        .update_incarnations(&lives, second.now.boot, second.now);
    second.pass(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1);
    let released = |entry: &wire::work::LogEntry| {
        entry.event == Some(wire::work::log_entry::Event::Released("t1".to_owned()))
    };
    assert!(second.stored.iter().any(released));
}

/// A batch must not run twice: a target that is cut off from everybody leaves the host list while
/// its tasks run on, and its host still lives that life. Its granted time has to lapse.
#[test]
fn successor_keeps_lives_with_host() {
    let (first, starts) = DeskScene::started(4000, vec![step(1, 1000)]);
    assert_eq!(starts.len(), 1);

    let mut second = first.successor(9);
    second.add("t2", 4000);
    for _ in 0..8 {
        second.desk.update_incarnations(
            &["t1".into(), "t2".into()].into(),
            second.now.boot,
            second.now,
        );
        second
            .desk
            .update_incarnations(&Default::default(), second.now.boot, second.now);
        second.pass(Duration::from_millis(500));
    }
    assert!(second.starts.is_empty(), "it may still run on t1");
}

/// A service loses two tasks at once though one may be missing: the owner ordered one stopped and
/// handed over, and its successor saw the task still listed at work and stopped another.
#[test]
fn successor_waits_before_stopping() {
    let mut first = DeskScene::new(1);
    for target in ["t1", "t2", "t3"] {
        first.add(target, 4000);
    }
    first.submit("a", &plan(vec![lasting_pair()]));
    let starts = first.start_all();

    let mut second = first.successor(9);
    for target in ["t1", "t2", "t3"] {
        second.list(target, 4000);
    }
    let at_work = |index: usize| model::work::RunReport {
        percent: 100,
        ..running(&starts[index].1)
    };
    second.see(&starts[0].0, vec![at_work(0)], Vec::new());
    second.see(&starts[1].0, vec![at_work(1)], Vec::new());
    second.raise("t3");
    second.empty(&starts[0].0);
    second.pass(Duration::from_millis(100));
    assert_eq!(second.stops(), 0);
    second.pass(Duration::from_millis(1300));
    second.see(&starts[0].0, vec![at_work(0)], Vec::new());
    second.see(&starts[1].0, vec![at_work(1)], Vec::new());
    second.pass(Duration::from_millis(50));
    assert_eq!(second.stops(), 1);
}

/// A job that the successor itself accepted can't run anywhere yet, and need not wait for a
/// target that was not reached.
#[test]
fn successor_starts_new_jobs() {
    let mut first = DeskScene::new(1);
    first.add("t1", 4000);

    let mut second = first.successor(9);
    second.add("t2", 4000);
    second.submit("b", &plan(vec![step(1, 1000)]));
    assert_eq!(second.starts.len(), 1);
}

/// An end that the predecessor recorded is listed again, since the target was not told. Counting
/// it twice would fail a job that has an attempt left.
#[test]
fn successor_counts_failure_once() {
    let (mut first, starts) = DeskScene::started(4000, vec![step(1, 1000)]);
    let (_, start) = &starts[0];
    let end = ended(1, &start.task, start.attempt, EndKind::Failed);
    first.see("t1", Vec::new(), vec![end.clone()]);

    let mut second = first.successor(9);
    second.list("t1", 4000);
    second.see("t1", Vec::new(), vec![end]);
    second.pass(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1, "one attempt is left");
}

/// A batch runs twice though it was done once. The owner can't reach the store, so it can't
/// record the end of a task; its successor finds the end on the target in its first look, and
/// has to count it.
#[test]
fn successor_counts_unstored_end() {
    let (first, starts) = DeskScene::started(4000, vec![step(1, 1000)]);
    let (_, start) = &starts[0];

    let mut second = first.successor(9);
    second.list("t1", 4000);
    let end = ended(1, &start.task, start.attempt, EndKind::Done);
    second.see("t1", Vec::new(), vec![end]);
    second.pass(Duration::from_millis(50));
    assert!(second.starts.is_empty());
    assert_eq!(
        second.desk.job_phase("a"),
        Some(wire::work::JobPhase::Completed)
    );
}

/// A task runs more often than its queue allows: the owner recorded its last failure, and died
/// before the page that told of the job's own. The successor fails the job in place of starting it.
#[test]
fn successor_fails_hopeless_job() {
    let mut first = DeskScene::submitted(4000, vec![step(1, 1000)]);
    for number in 1..3 {
        first.pass(Duration::from_secs(4));
        let starts = first.start_all();
        let (_, start) = &starts[0];
        let end = ended(number, &start.task, start.attempt, EndKind::Failed);
        first.see("t1", Vec::new(), vec![end]);
    }
    let failed = |entry: &wire::work::LogEntry| {
        matches!(entry.event, Some(wire::work::log_entry::Event::Failed(_)))
    };
    assert!(first.stored.iter().any(failed));
    first.stored.retain(|entry| !failed(entry));

    let mut second = first.successor(9);
    second.add("t1", 4000);
    second.pass(Duration::from_secs(4));
    assert!(second.starts.is_empty(), "two attempts are allowed");
    assert_eq!(
        second.desk.job_phase("a"),
        Some(wire::work::JobPhase::Failed)
    );
    assert!(second.stored.iter().any(failed));
}

/// A workspace had more running than it may: a job was cancelled while its tasks ran on a target
/// that the new owner had not reached, and others were started beside them.
#[test]
fn successor_counts_cancelled_job_on_unreached_target() {
    let (first, starts) = DeskScene::started(8000, vec![step(4, 2000)]);
    assert_eq!(starts.len(), 4);

    let mut second = first.successor(9);
    second.add("t2", 8000);
    second.cancel("a");
    second.submit("b", &plan(vec![step(1, 1000)]));
    second.pass(Duration::from_millis(50));
    assert!(second.starts.is_empty(), "a may still run on t1");
    second.raise("t1");
    second.pass(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1);
}

/// The same, where the predecessor had recorded the cancellation and was killed.
#[test]
fn successor_counts_job_cancelled_before_on_unreached_target() {
    let (mut first, starts) = DeskScene::started(8000, vec![step(4, 2000)]);
    assert_eq!(starts.len(), 4);
    first.cancel("a");

    let mut second = first.successor(9);
    second.add("t2", 8000);
    second.submit("b", &plan(vec![step(1, 1000)]));
    second.pass(Duration::from_millis(50));
    assert!(second.starts.is_empty(), "a may still run on t1");
    second.raise("t1");
    second.pass(Duration::from_millis(50));
    assert_eq!(second.starts.len(), 1);
}

/// Guards against starting another step of a job that turns out to have failed in the same plan.
#[test]
fn successor_starts_no_step_beside_hopeless_one() {
    let mut first = DeskScene::submitted(4000, vec![step(1, 1000), step(1, 1000)]);
    for number in 1..3 {
        first.pass(Duration::from_secs(4));
        let starts = first.start_all();
        let (_, start) = starts
            .iter()
            .find(|(_, start)| start.task.step == 0)
            .unwrap_or(&starts[0]);
        let end = ended(number, &start.task, start.attempt, EndKind::Failed);
        first.see("t1", Vec::new(), vec![end]);
    }
    first
        .stored
        .retain(|entry| !matches!(entry.event, Some(wire::work::log_entry::Event::Failed(_))));
    let mut second = first.successor(9);
    second.add("t1", 4000);
    second.pass(Duration::from_secs(4));
    assert!(second.starts.is_empty(), "{:?}", second.starts);
}

/// Guards against a pool that stands still after a hand-over for as long as a target had been granted
/// time that has answered that another life is at its address.
#[test]
fn successor_frees_pool_of_replaced_target() {
    let (first, starts) = DeskScene::started(4000, vec![step(1, 1000)]);
    assert_eq!(starts.len(), 1);

    let mut second = first.successor(9);
    second.add("t2", 4000);
    second.pass(Duration::from_millis(50));
    assert!(second.starts.is_empty(), "it may run on t1");
    let sent = second.now.boot;
    let other = PollAnswer::OtherLife;
    second
        .desk
        .apply_report(&"t1".into(), sent, 0, &other, second.now);
    second.pass(Duration::from_millis(100));
    assert_eq!(second.starts.len(), 1);
}
