//! A queue or a workspace is removed from the policy while jobs of it are open.

mod harness;

use std::time::Duration;

use decide::work::WorkJob;
use harness::{AdviceFixture, SchedulerFixture, ServiceMode, end_report, plan, step};
use model::work::{AdvicePolicy, EndKind, JobPlan, RepeatPlan, StepPlan};
use rstest::rstest;
use wire::work::{JobPhase, log_entry::Event};

/// Number of failed runs after which a job of the fixture's queue fails.
const MAX_ATTEMPTS: usize = 2;
/// Longer than any pause after a failure.
const AFTER_PAUSES: Duration = Duration::from_secs(10);

fn gang(count: u32) -> StepPlan {
    StepPlan {
        gang: true,
        ..step(count, 1000)
    }
}

/// An owner with a job whose record, of an earlier version, has no terms.
fn owner_without_recorded_terms() -> SchedulerFixture {
    let mut owner = SchedulerFixture::with_job(8000, vec![step(1, 1000)]);
    for entry in &mut owner.stored {
        if let Some(Event::Accepted(record)) = &mut entry.event {
            record.terms = None;
        }
    }
    owner
}

/// The successor of an owner, which can use the same target.
fn successor_with_target(owner: &SchedulerFixture) -> SchedulerFixture {
    let mut successor = owner.successor(9);
    successor.add_target("t1", 8000);
    successor.advance(Duration::from_millis(50));
    successor
}

/// Lets each run of a job fail until nothing is started; returns how often its first task was.
fn fail_all_runs(owner: &mut SchedulerFixture) -> usize {
    let mut starts_of_first = 0;
    let mut ends = 0;
    for _ in 0..MAX_ATTEMPTS + 3 {
        for (id, start) in owner.confirm_starts() {
            starts_of_first += usize::from(start.task.index == 0);
            ends += 1;
            let end = end_report(ends, &start.task, start.attempt, EndKind::Failed);
            owner.report(&id, Vec::new(), vec![end]);
        }
        owner.advance(AFTER_PAUSES);
        for target in ["t1", "t2"] {
            owner.report(target, Vec::new(), Vec::new());
        }
    }
    starts_of_first
}

/// Guards against a task that is started without limit once its queue is removed.
#[rstest]
#[case::plain_job(vec![step(1, 1000)])]
#[case::gang(vec![gang(2)])]
fn removed_queue_keeps_limit_of_attempts(#[case] steps: Vec<StepPlan>) {
    let mut owner = SchedulerFixture::with_job(8000, steps);
    owner.remove_queues();
    assert_eq!(fail_all_runs(&mut owner), MAX_ATTEMPTS);
    assert_eq!(owner.scheduler.job_phase("a"), Some(JobPhase::Failed));
}

/// The same for each occurrence of a schedule.
#[test]
fn removed_queue_keeps_limit_of_attempts_of_occurrence() {
    let mut owner = SchedulerFixture::new(1);
    owner.add_target("t1", 8000);
    let repeat = RepeatPlan {
        count: 2,
        first: owner.now.unix,
        period: Duration::from_millis(10),
    };
    let schedule = JobPlan {
        repeat: Some(repeat),
        ..plan(vec![step(1, 1000)])
    };
    owner.submit("a", &schedule);
    owner.remove_queues();
    assert!(fail_all_runs(&mut owner) <= 2 * MAX_ATTEMPTS);
    assert_eq!(owner.scheduler.job_phase("a"), Some(JobPhase::Failed));
}

/// The same for a successor, which reads the limit from the log, compacted or not.
#[rstest]
#[case::whole_log(false)]
#[case::compacted_log(true)]
fn removed_queue_keeps_limit_of_attempts_for_successor(#[case] compacted: bool) {
    let mut owner = SchedulerFixture::with_job(8000, vec![step(1, 1000)]);
    owner.remove_queues();
    if compacted {
        owner.compact_log();
    }
    let mut successor = successor_with_target(&owner);
    assert_eq!(fail_all_runs(&mut successor), MAX_ATTEMPTS);
    assert_eq!(successor.scheduler.job_phase("a"), Some(JobPhase::Failed));
}

/// Guards against a second start of a task that may not have one: a record of an earlier version has
/// no terms, and the queue is gone.
#[test]
fn removed_queue_without_recorded_terms_has_one_attempt() {
    let mut owner = owner_without_recorded_terms();
    owner.remove_queues();
    let mut successor = successor_with_target(&owner);
    assert_eq!(fail_all_runs(&mut successor), 1);
    assert_eq!(successor.scheduler.job_phase("a"), Some(JobPhase::Failed));
}

/// Guards against terms that an earlier version did not record and a later owner, which knows the
/// queue, does not add to the log either.
#[test]
fn compacted_log_has_terms_of_known_queue() {
    let owner = owner_without_recorded_terms();
    let mut next = owner.successor(5);
    next.compact_log();
    next.remove_queues();
    let mut successor = successor_with_target(&next);
    assert_eq!(fail_all_runs(&mut successor), MAX_ATTEMPTS);
}

/// Guards against jobs of a removed queue that go behind all other work, or count as without
/// objective.
#[test]
fn removed_queue_keeps_rank() {
    let mut owner = SchedulerFixture::new(1);
    owner.submit("a", &plan(vec![step(1, 8000)]));
    owner.advance(Duration::from_millis(100));
    owner.remove_queues();
    let terms = owner.scheduler.job_table.jobs.get("a").map(WorkJob::terms);
    let recorded = owner.successor(9);
    let successor_terms = recorded.scheduler.job_table.jobs.get("a");
    let successor_terms = successor_terms.map(WorkJob::terms);
    assert_eq!(terms, successor_terms);
    let terms = terms.map(|terms| (terms.priority, terms.slack_factor));
    assert_eq!(terms, Some((0, 2.0)));
}

/// Guards against starts without a ticket after the queue that needs them was removed.
#[test]
fn removed_queue_keeps_advice() {
    let policy = AdvicePolicy {
        fixed: Duration::from_millis(20),
        per_target: Duration::from_millis(2),
        valid: Duration::from_secs(3),
    };
    let mut advice = AdviceFixture::new(2, policy);
    advice.submit("a", "space", vec![step(1, 1000)]);
    advice.owner.remove_queues();
    advice.run_for(Duration::from_secs(1));
    assert_eq!(advice.starts.len(), 1);
    assert!(
        advice
            .starts
            .iter()
            .all(|(_, _, start)| start.ticket == "ticket")
    );
}

/// Guards against steps that are never advised after their queue was removed: only the queues of the
/// policy made the owner plan again once the pause after a failed call was over.
#[test]
fn removed_queue_asks_again_after_failed_call() {
    let policy = AdvicePolicy {
        fixed: Duration::from_millis(20),
        per_target: Duration::from_millis(2),
        valid: Duration::from_secs(3),
    };
    let mut advice = AdviceFixture::new(2, policy);
    advice.mode = ServiceMode::Refusing;
    advice.submit("a", "space", vec![step(1, 1000)]);
    advice.owner.remove_queues();
    advice.run_for(Duration::from_secs(1));
    advice.mode = ServiceMode::Working;
    // The longest pause after a failed call, and the call.
    advice.run_for(Duration::from_millis(1100));
    assert_eq!(advice.starts.len(), 1);
}

/// Guards against a workspace without limit once the policy no longer has it, also for a successor.
#[rstest]
#[case::whole_log(false)]
#[case::compacted_log(true)]
fn removed_workspace_keeps_limit(#[case] compacted: bool) {
    let mut owner = SchedulerFixture::new(1);
    owner.set_workspace_limit(2000);
    owner.submit("a", &plan(vec![step(6, 1000)]));
    owner.remove_workspaces();
    if compacted {
        owner.compact_log();
    }
    let mut successor = owner.successor(9);
    for owner in [&mut owner, &mut successor] {
        owner.add_target("t1", 8000);
        owner.advance(Duration::from_millis(50));
        assert_eq!(owner.starts.len(), 2);
    }
}
