//! Takeovers from targets with more ends than one report lists.

mod harness;

use std::time::Duration;

use harness::{SchedulerFixture, end_report, plan, run_report, step};
use model::{
    HostId,
    work::{EndKind, EndReport, PollAnswer, RunReport, StartOrder, StepPlan, TargetReport},
};
use rstest::rstest;
use wire::work::JobPhase;

/// Ends that a report lists.
const REPORT_LIMIT: usize = 500;
const CAPACITY: u64 = 100_000;
/// More polls than any of the tests needs.
const MAX_POLLS: usize = 100;
/// Time for which the owner is certain to be the only one.
const SOLE_TIME: Duration = Duration::from_secs(10);

/// A target that forgets ends only once they are acknowledged, and lists a bounded number of them.
struct EndedTarget {
    id: HostId,
    started_at: Duration,
    running: Vec<RunReport>,
    ends: Vec<EndReport>,
}

impl EndedTarget {
    /// A target on which all starts have ended.
    fn new(id: &str, starts: &[(HostId, StartOrder)], kind: EndKind) -> Self {
        let of_target = starts.iter().filter(|(target, _)| target == id);
        let ends = (1..)
            .zip(of_target)
            .map(|(number, (_, start))| end_report(number, &start.task, start.attempt, kind));
        Self {
            id: id.into(),
            started_at: Duration::from_secs(1),
            running: Vec::new(),
            ends: ends.collect(),
        }
    }

    /// Answers the poll that the owner wants now; returns false if it wants none.
    fn answer_poll(&mut self, owner: &mut SchedulerFixture) -> bool {
        let sole_until = owner.now.boot + SOLE_TIME;
        let order = owner.scheduler.poll_order(&self.id, sole_until, owner.now);
        let Some(order) = order else {
            return false;
        };
        let sent = owner.now.boot;
        self.ends.retain(|end| end.number > order.acked_end);
        owner.now.boot += Duration::from_millis(1);
        let report = TargetReport {
            clock: owner.now.boot,
            started_at: self.started_at,
            running: self.running.clone(),
            ended: self.ends.iter().take(REPORT_LIMIT).cloned().collect(),
        };
        let answer = PollAnswer::Seen(report);
        owner
            .scheduler
            .apply_report(&self.id, sent, order.acked_end, &answer, owner.now);
        owner.run_planning();
        true
    }
}

/// Answers the polls that the owner wants, and checks that it starts none of the ended tasks.
fn answer_polls(owner: &mut SchedulerFixture, target: &mut EndedTarget) {
    for _ in 0..MAX_POLLS {
        if !target.answer_poll(owner) {
            return;
        }
        assert!(owner.starts.is_empty(), "tasks are started again");
    }
    panic!("polls go on");
}

/// An owner with a job of `steps`, all ready tasks of which run on the given targets.
fn owner_with_runs(
    targets: &[&str],
    steps: Vec<StepPlan>,
) -> (SchedulerFixture, Vec<(HostId, StartOrder)>) {
    let mut owner = SchedulerFixture::new(1);
    owner.set_workspace_limit(0);
    for id in targets {
        owner.add_target(id, CAPACITY);
    }
    owner.submit("a", &plan(steps));
    let starts = owner.confirm_starts();
    (owner, starts)
}

fn next_owner(owner: &SchedulerFixture, targets: &[&str]) -> SchedulerFixture {
    let mut next = owner.successor(9);
    for id in targets {
        next.list_target(id, CAPACITY);
    }
    next
}

fn tiny(count: u32) -> StepPlan {
    let mut tiny = step(count, 10);
    tiny.resources.memory_mb = 1;
    tiny
}

/// Guards against running tasks again that have ended: a new owner took the first report of a target
/// for the whole, which lacks the ends beyond its limit.
#[rstest]
#[case::below_limit(499, &["t1"])]
#[case::at_limit(500, &["t1"])]
#[case::above_limit(501, &["t1"])]
#[case::three_reports(1_500, &["t1"])]
#[case::two_targets(1_520, &["t1", "t2"])]
#[case::many_reports(5_000, &["t1"])]
fn takeover_waits_for_all_ends(#[case] tasks: u32, #[case] targets: &[&str]) {
    let spread = StepPlan {
        anti_affinity: tasks / u32::try_from(targets.len()).expect("few"),
        ..tiny(tasks)
    };
    let (owner, starts) = owner_with_runs(
        targets,
        vec![
            spread,
            StepPlan {
                after: vec![0],
                ..tiny(1)
            },
        ],
    );
    assert_eq!(starts.len(), tasks as usize);
    let mut next = next_owner(&owner, targets);
    let ended = |id: &&str| EndedTarget::new(id, &starts, EndKind::Done);
    let mut ended: Vec<EndedTarget> = targets.iter().map(ended).collect();
    for _ in 0..MAX_POLLS {
        let polled = ended
            .iter_mut()
            .filter_map(|target| target.answer_poll(&mut next).then_some(()));
        let polled = polled.count();
        let again = next.starts.iter().filter(|(_, start)| start.task.step == 0);
        assert_eq!(again.count(), 0, "tasks are started again");
        if polled == 0 {
            break;
        }
    }
    next.advance(Duration::from_millis(50));
    assert_eq!(next.starts.len(), 1, "the next step is not started");
}

/// Guards against a failed task that is started once more than allowed: its last failure is listed by
/// the second report.
#[test]
fn takeover_counts_failure_in_second_report() {
    let (mut owner, starts) = owner_with_runs(&["t1"], vec![tiny(1)]);
    let mut target = EndedTarget::new("t1", &starts, EndKind::Failed);
    assert!(target.answer_poll(&mut owner));
    owner.submit("b", &plan(vec![tiny(550)]));
    owner.advance(Duration::from_secs(5));
    let starts = owner.confirm_starts();
    assert_eq!(starts.len(), 551);
    let mut target = EndedTarget::new("t1", &starts, EndKind::Done);
    target.ends.sort_by_key(|end| end.task.job == "a");
    for (number, end) in (2..).zip(&mut target.ends) {
        end.number = number;
    }
    if let Some(last) = target.ends.last_mut() {
        last.kind = EndKind::Failed;
    }
    let mut next = next_owner(&owner, &["t1"]);
    answer_polls(&mut next, &mut target);
    next.advance(Duration::from_secs(5));
    assert!(next.starts.is_empty());
    assert_eq!(next.scheduler.job_phase("a"), Some(JobPhase::Failed));
}

/// Guards against ending the members of a gang of which the end `done` is listed by the second report.
#[test]
fn takeover_keeps_gang_with_unlisted_end() {
    let gang = StepPlan {
        gang: true,
        ..tiny(2)
    };
    let (owner, starts) = owner_with_runs(&["t1"], vec![tiny(600), gang]);
    let mut next = next_owner(&owner, &["t1"]);
    let is_member = |start: &StartOrder| start.task.step == 1;
    let mut target = EndedTarget::new("t1", &starts, EndKind::Done);
    target.ends.sort_by_key(|end| end.task.step);
    for (number, end) in (1..).zip(&mut target.ends) {
        end.number = number;
    }
    // One member has ended last, the other is still there.
    let last = target.ends.pop().expect("an end");
    let member = starts.iter().find(|(_, start)| start.task == last.task);
    target.running = vec![run_report(&member.expect("a member").1)];
    assert!(is_member(&member.expect("a member").1));
    assert!(target.answer_poll(&mut next));
    next.advance(Duration::from_millis(50));
    assert_eq!(next.stop_count(), 0, "a member was stopped");
    target.running.clear();
    answer_polls(&mut next, &mut target);
}

/// Guards against a host that is taken away while its target has ends that nobody has read.
#[test]
fn takeover_target_with_unlisted_ends_is_not_empty() {
    let (owner, starts) = owner_with_runs(&["t1"], vec![tiny(600)]);
    let mut next = next_owner(&owner, &["t1"]);
    let mut target = EndedTarget::new("t1", &starts, EndKind::Done);
    let is_empty = |owner: &SchedulerFixture| owner.scheduler.targets["t1"].is_empty();
    assert!(target.answer_poll(&mut next));
    assert!(!is_empty(&next));
    answer_polls(&mut next, &mut target);
    assert!(is_empty(&next));
}

/// Guards against forgetting a target that has left the list while it has ends that nobody has read.
#[test]
fn takeover_keeps_unlisted_target_with_unlisted_ends() {
    let (owner, starts) = owner_with_runs(&["t1"], vec![tiny(600)]);
    let mut next = owner.successor(9);
    next.add_target("t2", CAPACITY);
    let mut target = EndedTarget::new("t1", &starts, EndKind::Done);
    assert!(target.answer_poll(&mut next));
    next.advance(Duration::from_millis(50));
    assert!(next.starts.is_empty());
    answer_polls(&mut next, &mut target);
    next.advance(Duration::from_millis(50));
    assert!(next.starts.is_empty());
}

/// The ends that a restarted target no longer lists are lost with it, so that the tasks run again.
#[test]
fn takeover_restart_between_reports_runs_the_rest_again() {
    let (owner, starts) = owner_with_runs(&["t1"], vec![tiny(600)]);
    let mut next = next_owner(&owner, &["t1"]);
    let mut target = EndedTarget::new("t1", &starts, EndKind::Done);
    assert!(target.answer_poll(&mut next));
    target.ends.clear();
    target.started_at = Duration::from_secs(500);
    assert!(target.answer_poll(&mut next));
    next.advance(Duration::from_millis(50));
    assert_eq!(next.starts.len(), 100);
}

/// A report that is lost is asked for again, and no end is acknowledged meanwhile.
#[test]
fn takeover_lost_report_is_asked_for_again() {
    let (owner, starts) = owner_with_runs(&["t1"], vec![tiny(600)]);
    let mut next = next_owner(&owner, &["t1"]);
    let mut target = EndedTarget::new("t1", &starts, EndKind::Done);
    assert!(target.answer_poll(&mut next));
    next.now.boot += Duration::from_millis(1);
    next.time_out_poll("t1");
    next.now.boot += Duration::from_millis(1);
    answer_polls(&mut next, &mut target);
    next.advance(Duration::from_millis(50));
    assert!(next.starts.is_empty());
    assert!(target.ends.is_empty());
}
