//! A queue moves to another pool, and later the owner changes.

mod harness;

use std::time::Duration;

use harness::{
    OTHER_POOL, POOL, SchedulerFixture, end_report, long_running_pair, plan, run_report, step,
};
use model::work::{EndKind, RunReport, StartOrder, StepPlan};

const TICK: Duration = Duration::from_millis(50);

/// An owner with a job that runs on `t1`, whose queue has then moved to the other pool.
fn owner_with_moved_job(steps: Vec<StepPlan>) -> (SchedulerFixture, Vec<StartOrder>) {
    let (mut owner, starts) = SchedulerFixture::with_running_job(8000, steps);
    owner.move_queue(OTHER_POOL);
    (owner, starts.into_iter().map(|(_, start)| start).collect())
}

/// The successor of an owner, which has polled a target of the other pool but not `t1`.
fn successor_before_poll(owner: &SchedulerFixture) -> SchedulerFixture {
    let mut successor = owner.successor(9);
    successor.list_target("t1", 8000);
    successor.add_pool_target("o1", 8000, OTHER_POOL);
    successor.advance(TICK);
    successor
}

fn report_running(owner: &mut SchedulerFixture, starts: &[StartOrder]) {
    owner.report("t1", starts.iter().map(run_report).collect(), Vec::new());
    owner.advance(TICK);
}

/// Guards against running a task twice: the queue of a running job moved to another pool, and the
/// successor asked only whether the targets of the new pool had been polled.
#[test]
fn successor_waits_for_former_pool() {
    let (owner, starts) = owner_with_moved_job(vec![step(4, 1000)]);
    let mut successor = successor_before_poll(&owner);
    assert!(successor.starts.is_empty(), "the tasks may run on t1");
    report_running(&mut successor, &starts);
    assert!(successor.starts.is_empty());
    assert_eq!(successor.stop_count(), 0);
}

/// The same after the log was compacted, and after the next change of the owner.
#[test]
fn successor_waits_for_former_pool_of_compacted_log() {
    let (mut owner, _) = owner_with_moved_job(vec![step(4, 1000)]);
    owner.compact_log();
    let mut successor = successor_before_poll(&owner);
    assert!(successor.starts.is_empty(), "the tasks may run on t1");
    successor.compact_log();
    let next = successor_before_poll(&successor);
    assert!(next.starts.is_empty(), "the tasks may run on t1");
}

/// The same for a queue that moved twice: tasks may run in the pool between, which neither the
/// record of the job nor the policy names.
#[test]
fn successor_waits_for_pool_between() {
    let mut owner = SchedulerFixture::new(1);
    owner.add_pool_target("o1", 8000, OTHER_POOL);
    owner.submit("a", &plan(vec![step(4, 1000)]));
    owner.move_queue(OTHER_POOL);
    assert_eq!(owner.confirm_starts().len(), 4);
    owner.move_queue(POOL);

    let mut successor = owner.successor(9);
    successor.add_target("t1", 8000);
    successor.advance(TICK);
    assert!(successor.starts.is_empty(), "the tasks may run on o1");
}

/// The successor may not know of a move that the log lacks, so nothing starts in the new pool
/// before the move is stored.
#[test]
fn moved_queue_starts_once_move_is_stored() {
    let mut owner = SchedulerFixture::new(1);
    owner.add_pool_target("o1", 8000, OTHER_POOL);
    owner.submit("a", &plan(vec![step(4, 1000)]));
    owner.store_down = true;
    owner.move_queue(OTHER_POOL);
    owner.advance(TICK);
    assert!(owner.starts.is_empty(), "the move is not stored");
    owner.store_pending();
    owner.advance(TICK);
    assert_eq!(owner.starts.len(), 4);
}

/// A move is recorded once for a queue, whatever the number of its jobs.
#[test]
fn moved_queue_is_recorded_once() {
    let mut owner = SchedulerFixture::new(1);
    for job in ["a", "b", "c"] {
        owner.submit(job, &plan(vec![step(1, 1000)]));
    }
    let before = owner.stored.len();
    owner.move_queue(OTHER_POOL);
    owner.move_queue(POOL);
    owner.move_queue(OTHER_POOL);
    assert_eq!(owner.stored.len() - before, 1);
}

/// Guards against a workspace that exceeds its limit: what it may use in the former pool has to be
/// counted until the targets there have been polled.
#[test]
fn successor_counts_usage_in_former_pool() {
    let (owner, starts) = owner_with_moved_job(vec![step(4, 2000)]);
    let mut successor = successor_before_poll(&owner);
    successor.submit("b", &plan(vec![step(4, 2000)]));
    successor.advance(TICK);
    assert!(
        successor.starts.is_empty(),
        "8 of 8 cores may be in use on t1"
    );
    report_running(&mut successor, &starts);
    assert!(successor.starts.is_empty(), "8 of 8 cores are in use on t1");
}

/// The same for a job that was cancelled while its tasks ran.
#[test]
fn successor_counts_cancelled_usage_in_former_pool() {
    let (mut owner, _) = owner_with_moved_job(vec![step(4, 2000)]);
    owner.cancel("a");
    let mut successor = successor_before_poll(&owner);
    successor.submit("b", &plan(vec![step(1, 1000)]));
    successor.advance(TICK);
    assert!(successor.starts.is_empty(), "a may still run on t1");
    successor.report_idle("t1");
    successor.advance(TICK);
    assert_eq!(successor.starts.len(), 1);
}

/// A long-running task must not get a second copy on another pool either.
#[test]
fn successor_waits_for_long_running_in_former_pool() {
    let mut owner = SchedulerFixture::new(1);
    owner.add_target("t1", 8000);
    owner.add_target("t2", 8000);
    owner.submit("a", &plan(vec![long_running_pair()]));
    assert_eq!(owner.confirm_starts().len(), 2);
    owner.move_queue(OTHER_POOL);

    let mut successor = owner.successor(9);
    successor.add_pool_target("o1", 8000, OTHER_POOL);
    successor.add_pool_target("o2", 8000, OTHER_POOL);
    successor.advance(Duration::from_secs(1));
    assert!(
        successor.starts.is_empty(),
        "both may run in the first pool"
    );
}

/// Guards against a job that a process with an older policy passes on: it would run in the former
/// The work of a moved queue ends where it runs, and its later steps start in the new pool.
#[test]
fn moved_job_continues_in_new_pool() {
    let later = StepPlan {
        after: vec![0],
        ..step(1, 1000)
    };
    let (mut owner, starts) = owner_with_moved_job(vec![step(1, 1000), later]);
    owner.add_pool_target("o1", 8000, OTHER_POOL);
    let end = end_report(1, &starts[0].task, starts[0].attempt, EndKind::Done);
    owner.report("t1", Vec::new(), vec![end]);
    owner.advance(TICK);
    assert_eq!(owner.starts.len(), 1);
    assert_eq!(owner.starts[0].0, "o1");
}

/// A job that the successor accepted has run nowhere, so it waits for no target.
#[test]
fn successor_starts_new_job_of_moved_queue() {
    let (owner, _) = owner_with_moved_job(vec![step(1, 1000)]);
    let mut successor = successor_before_poll(&owner);
    successor.submit("b", &plan(vec![step(1, 1000)]));
    successor.advance(TICK);
    assert_eq!(successor.starts.len(), 1);
    assert_eq!(successor.starts[0].0, "o1");
}

/// pool until the policy changes again.
#[test]
fn accepted_job_follows_policy() {
    let mut owner = SchedulerFixture::new(1);
    owner.add_target("t1", 8000);
    owner.add_pool_target("o1", 8000, OTHER_POOL);
    owner.move_queue(OTHER_POOL);
    owner.submit("a", &plan(vec![step(1, 1000)]));
    assert_eq!(owner.starts.len(), 1);
    assert_eq!(owner.starts[0].0, "o1");
}

/// Guards against a service without a task: operators moved its queue, and its task had to leave a
/// host. It was stopped because its former pool had room, although only the new pool takes it.
#[test]
fn evacuate_moved_task_needs_room_in_new_pool() {
    let (mut owner, starts) = owner_with_moved_job(vec![StepPlan {
        long_running: true,
        max_unavailable: 1,
        ..step(1, 1000)
    }]);
    let at_work = RunReport {
        percent: 100,
        ..run_report(&starts[0])
    };
    owner.add_target("t2", 8000);
    owner.start_draining("t1");
    for _ in 0..20 {
        owner.report("t1", vec![at_work.clone()], Vec::new());
        owner.advance(Duration::from_millis(100));
    }
    assert_eq!(owner.stop_count(), 0, "no target of the new pool");
    owner.add_pool_target("o1", 8000, OTHER_POOL);
    owner.report("t1", vec![at_work], Vec::new());
    owner.advance(TICK);
    assert_eq!(owner.stop_count(), 1);
}
