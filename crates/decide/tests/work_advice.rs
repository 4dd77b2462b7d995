//! Steps of queues with an advice service, which handles one call after the other.

mod harness;

use std::time::Duration;

use harness::{
    AdviceFixture, QUEUE, QUICK_ADVICE, SLOW_ADVICE, SchedulerFixture, ServiceMode, plan, step,
    target,
};
use model::{
    HostId,
    work::{AdvicePolicy, StepPlan, TargetEntry},
};
use rstest::rstest;

/// Targets that are listed.
const TARGETS: usize = 12;
/// Longest time that a request is to take the service: one that names all targets.
const LONGEST_CALL: Duration = Duration::from_millis(360);
/// Longest time without a start of a job that could start.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// Guards against steps that never start because each asks again while its last call waits: all
/// calls then wait behind others until their caller gives up.
#[rstest]
#[case::one(1, true)]
#[case::some(40, true)]
#[case::many(400, true)]
#[case::service_works_on_abandoned_calls(40, false)]
fn advice_burst_starts_all_steps(#[case] jobs: u32, #[case] skips_abandoned: bool) {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.skips_abandoned = skips_abandoned;
    for job in 0..jobs {
        advice.submit(&format!("j{job:04}"), "space", vec![step(2, 100)]);
        advice.run_for(Duration::from_millis(40));
    }
    let limit = LONGEST_CALL * jobs + LONGEST_WAIT;
    advice.run_until_started(jobs as usize, limit);
    assert_eq!(advice.started_jobs().len(), jobs as usize);
    assert_eq!(advice.unread_answers, 0);
    assert_eq!(advice.refused, 0);
}

/// Guards against a workspace whose steps wait behind all those of another that shares the service.
#[test]
fn advice_backlog_of_other_workspace_delays_little() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    for job in 0..100 {
        advice.submit(&format!("j{job:04}"), "space", vec![step(2, 100)]);
    }
    advice.run_for(Duration::from_secs(1));
    advice.submit("small", "small", vec![step(2, 100)]);
    // The two calls in progress and its own.
    advice.run_for(LONGEST_CALL * 3);
    assert!(advice.started_jobs().contains("small"));
}

/// Guards against calls that are repeated at once while the service refuses all of them.
#[test]
fn advice_refused_is_asked_again_after_pause() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.mode = ServiceMode::Refusing;
    for job in 0..40 {
        advice.submit(&format!("j{job:04}"), "space", vec![step(2, 100)]);
    }
    advice.run_for(Duration::from_secs(10));
    assert!(advice.refused <= 15, "{} calls", advice.refused);
    advice.mode = ServiceMode::Working;
    advice.run_for(LONGEST_WAIT);
    assert!(!advice.starts.is_empty());
}

/// Guards against a backlog of calls at a service that answers none: once it is back, it would work
/// on calls whose caller has gone.
#[test]
fn advice_silent_service_gets_few_calls() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.mode = ServiceMode::Silent;
    advice.skips_abandoned = false;
    for job in 0..40 {
        advice.submit(&format!("j{job:04}"), "space", vec![step(2, 100)]);
    }
    advice.run_for(Duration::from_secs(6));
    assert!(advice.calls_at_service() <= 6);
    advice.mode = ServiceMode::Working;
    advice.run_for(LONGEST_CALL * 6 + LONGEST_WAIT);
    assert!(!advice.starts.is_empty());
}

/// Guards against calls that are given up before a slow service can have answered.
#[test]
fn advice_of_slow_service_is_waited_for() {
    let policy = AdvicePolicy {
        fixed: Duration::from_secs(4),
        ..SLOW_ADVICE
    };
    let mut advice = AdviceFixture::new(TARGETS, policy);
    advice.submit("a", "space", vec![step(2, 100)]);
    advice.submit("b", "space", vec![step(2, 100)]);
    advice.run_for(policy.call_time(TARGETS) * 2 + Duration::from_millis(100));
    assert_eq!(advice.started_jobs().len(), 2);
    assert_eq!(advice.unread_answers, 0);
}

/// Guards against a service that is never heard because it takes so much longer than its policy says
/// that each call is given up before its answer.
#[test]
fn advice_of_service_slower_than_policy_is_heard() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.slowness = 10;
    advice.submit("a", "space", vec![step(2, 100)]);
    advice.run_for(LONGEST_CALL * 10 * 8);
    assert_eq!(advice.started_jobs().len(), 1);
}

/// Guards against a service that works for the steps of a pool without targets while those of
/// another pool wait.
#[test]
fn advice_without_targets_holds_up_nothing() {
    let mut advice = AdviceFixture::new(0, SLOW_ADVICE);
    for job in 0..400 {
        advice.submit(&format!("j{job:04}"), "space", vec![step(2, 100)]);
    }
    advice.run_for(Duration::from_secs(1));
    assert!(advice.requests.is_empty());
    advice.owner.add_target("t1", 16_000);
    advice.run_for(Duration::from_secs(1));
    assert!(!advice.starts.is_empty());
}

/// Number of a target of the fixture.
fn number_of(target: &HostId) -> usize {
    target.trim_start_matches('t').parse().unwrap_or(usize::MAX)
}

/// Guards against a step that never starts because each request names the same targets, of which
/// none is allowed.
#[rstest]
#[case::third_of_few(24, |number| number >= 16)]
#[case::one_of_few(24, |number| number == 23)]
#[case::third_of_hundred(100, |number| number >= 67)]
#[case::one_of_hundred(100, |number| number == 99)]
#[case::tenth_of_many(1100, |number| number >= 990)]
#[case::one_of_many(1100, |number| number == 1099)]
fn advice_names_other_targets_after_denial(
    #[case] targets: usize,
    #[case] allows: fn(usize) -> bool,
) {
    let mut advice = AdviceFixture::new(targets, QUICK_ADVICE);
    advice.allows = Box::new(move |_, target| allows(number_of(target)));
    advice.submit("a", "space", vec![step(2, 100)]);
    // Naming each target once, in requests of a hundred and some shorter ones.
    let requests = u32::try_from(targets / 100).unwrap_or_default() + 6;
    let naming = QUICK_ADVICE.call_time(targets) + QUICK_ADVICE.fixed * requests;
    advice.run_until_started(1, naming + LONGEST_WAIT);
    assert_eq!(advice.started_jobs().len(), 1);
    assert!(advice.named_targets() <= targets);
}

/// Guards against a long search among neighbours that the policy treats alike.
#[test]
fn advice_spreads_names_over_pool() {
    let mut advice = AdviceFixture::new(1100, SLOW_ADVICE);
    advice.allows = Box::new(|_, target| number_of(target) >= 733);
    advice.submit("a", "space", vec![step(2, 100)]);
    advice.run_for(LONGEST_WAIT);
    assert_eq!(advice.started_jobs().len(), 1);
}

/// Guards against a search of the whole pool by each step of a queue, whose policy treats them
/// alike.
#[test]
fn advice_of_queue_helps_its_other_steps() {
    let mut advice = AdviceFixture::new(100, QUICK_ADVICE);
    advice.allows = Box::new(|_, target| number_of(target) >= 90);
    advice.submit("first", "space", vec![step(2, 100)]);
    advice.run_for(Duration::from_secs(2));
    assert_eq!(advice.started_jobs().len(), 1);
    let before = advice.requests.len();
    for job in 0..20 {
        advice.submit(&format!("j{job}"), "space", vec![step(2, 100)]);
    }
    advice.run_for(Duration::from_secs(2));
    assert_eq!(advice.started_jobs().len(), 21);
    assert_eq!(advice.requests.len() - before, 20);
}

/// Guards against a step whose granted targets stay full while others, which it does not ask about,
/// have room.
#[test]
fn advice_asks_about_free_targets_beside_full_ones() {
    let mut advice = AdviceFixture::new(10, QUICK_ADVICE);
    advice.submit("a", "space", vec![step(1, 16_000), step(20, 8000)]);
    advice.run_for(Duration::from_secs(2));
    // The other nine targets have room for two tasks each.
    assert_eq!(advice.starts.len(), 19);
}

/// Guards against requests for a step of which no target is allowed that take the service's time
/// from other steps.
#[test]
fn advice_denied_everywhere_holds_up_nothing() {
    let mut advice = AdviceFixture::new(24, SLOW_ADVICE);
    advice.allows = Box::new(|step, _| !step.job.starts_with("denied"));
    for job in 0..40 {
        advice.submit(&format!("denied{job}"), "space", vec![step(1, 100)]);
    }
    // Each target is named for each of these steps at most once in this time.
    advice.run_for(Duration::from_secs(8));
    let named = advice.named_targets();
    assert!(named <= 40 * 24, "{named} targets named");
    advice.submit("a", "space", vec![step(1, 100)]);
    advice.submit("b", "small", vec![step(1, 100)]);
    let limit = SLOW_ADVICE.call_time(24) * (40 * 2 + 2);
    advice.run_until_started(2, limit);
    assert_eq!(advice.started_jobs().len(), 2);
}

/// Guards against requests that name targets without the label that a step requires, and no others.
#[test]
fn advice_names_targets_with_required_label() {
    let mut advice = AdviceFixture::new(24, QUICK_ADVICE);
    let labelled = TargetEntry {
        labels: vec!["special".into()],
        ..target("special", 8000)
    };
    advice
        .owner
        .scheduler
        .upsert_target(labelled, advice.owner.now);
    advice.owner.report_idle("special");
    let plan = StepPlan {
        required_label: "special".into(),
        ..step(1, 100)
    };
    advice.submit("a", "space", vec![plan]);
    advice.run_for(Duration::from_secs(1));
    assert_eq!(advice.starts.len(), 1);
    assert_eq!(advice.named_targets(), 1);
}

/// Guards against tickets that are requested for steps without room and expire again and again.
#[test]
fn advice_for_full_pool_is_bounded() {
    let mut advice = AdviceFixture::new(2, SLOW_ADVICE);
    advice.submit("wide", "space", vec![step(2, 16_000)]);
    advice.run_for(Duration::from_secs(1));
    assert_eq!(advice.starts.len(), 2);
    let before = advice.requests.len();
    for job in 0..100 {
        advice.submit(&format!("j{job}"), "space", vec![step(1, 8000)]);
    }
    advice.run_for(Duration::from_secs(10));
    // Four steps with tickets of three seconds each.
    let requests = advice.requests.len() - before;
    assert!(requests <= 4 * 5, "{requests} requests");
}

/// Guards against a step that waits for tickets for good after its queue no longer has advice.
#[test]
fn advice_removed_from_queue_is_not_awaited() {
    let mut advice = AdviceFixture::new(2, QUICK_ADVICE);
    advice.submit("a", "space", vec![step(1, 16_000), step(2, 16_000)]);
    advice.run_for(Duration::from_millis(500));
    let started = advice.starts.len();
    assert_eq!(started, 2);
    advice
        .owner
        .change_policy(|policy| policy.queues[0].advice = None);
    advice.run_for(Duration::from_secs(4));
    advice.owner.add_target("new", 16_000);
    advice.run_for(Duration::from_millis(500));
    assert_eq!(advice.starts.len(), 3);
}

/// Guards against orders that are refused as fast as the service grants tickets, by a target that
/// refuses each of them, while another accepts them.
#[test]
fn advice_refused_ticket_pauses_target() {
    let mut advice = AdviceFixture::new(2, QUICK_ADVICE);
    advice.refuses_tickets = Box::new(|_, target| number_of(target) == 0);
    for job in 0..4 {
        advice.submit(&format!("j{job}"), "space", vec![step(1, 100)]);
    }
    advice.run_for(Duration::from_secs(2));
    assert_eq!(advice.started_jobs().len(), 4);
    assert!(advice.refused_starts <= 4);
}

/// Guards against steps that never start because their tickets are valid for less time than is kept
/// for a start to arrive.
#[rstest]
#[case::shorter_than_margin(60)]
#[case::as_long_as_margin(100)]
#[case::a_little_longer(120)]
fn advice_with_short_validity_is_used(#[case] valid_ms: u64) {
    let policy = AdvicePolicy {
        valid: Duration::from_millis(valid_ms),
        ..QUICK_ADVICE
    };
    let mut advice = AdviceFixture::new(TARGETS, policy);
    for job in 0..10 {
        advice.submit(&format!("j{job}"), "space", vec![step(2, 100)]);
    }
    advice.run_for(LONGEST_WAIT);
    assert_eq!(advice.started_jobs().len(), 10);
}

/// Guards against a start that waited for a connection until its ticket expired, and is sent only to
/// be refused.
#[test]
fn advice_ticket_of_delayed_start_expires() {
    let mut advice = AdviceFixture::new(1, QUICK_ADVICE);
    advice.submit("a", "space", vec![step(1, 100)]);
    advice.run_for(Duration::from_millis(500));
    let (sent, target, start) = advice.starts[0].clone();
    let is_valid = |owner: &SchedulerFixture| {
        let scheduler = &owner.scheduler;
        scheduler.has_valid_ticket(&target, &start.task, owner.now)
    };
    assert!(is_valid(&advice.owner));
    advice.run_for(sent + QUICK_ADVICE.valid - advice.now());
    assert!(!is_valid(&advice.owner));
}

/// Guards against jobs that are accepted although the service can't advise their steps while they
/// still count, and against a refusal of those of another workspace.
#[test]
fn advice_backlog_refuses_job_that_waits_too_long() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    let steps = vec![step(2, 100)];
    let lateness = |advice: &mut AdviceFixture, workspace: &str| {
        let (now, plan) = (advice.owner.now, plan(steps.clone()));
        let scheduler = &mut advice.owner.scheduler;
        scheduler.predict_lateness(&"new".into(), &plan, QUEUE, &workspace.into(), now)
    };
    assert_eq!(lateness(&mut advice, "space"), None);
    for job in 0..100 {
        advice.submit(&format!("j{job:04}"), "space", steps.clone());
    }
    let retry_after = lateness(&mut advice, "space").unwrap_or_default();
    // A hundred calls of 305 ms at least, less what counts of the objective of 4.5 s.
    assert!(retry_after > Duration::from_secs(17), "{retry_after:?}");
    assert_eq!(lateness(&mut advice, "small"), None);
    advice.run_for(retry_after + LONGEST_CALL);
    assert_eq!(lateness(&mut advice, "space"), None);
}

/// Guards against an owner that examines all targets again and again for steps that can't start.
#[rstest]
#[case::full_pool(true)]
#[case::denied_everywhere(false)]
fn advice_examines_few_targets_for_waiting_steps(#[case] full: bool) {
    const POOL_TARGETS: usize = 200;
    let mut advice = AdviceFixture::new(POOL_TARGETS, QUICK_ADVICE);
    if full {
        advice.submit("wide", "space", vec![step(200, 16_000)]);
        advice.run_for(Duration::from_secs(4));
        assert_eq!(advice.starts.len(), POOL_TARGETS);
    } else {
        advice.allows = Box::new(|_, _| false);
    }
    for job in 0..200 {
        advice.submit(&format!("j{job}"), "space", vec![step(1, 8000)]);
    }
    advice.run_for(Duration::from_secs(2));
    let examined = |advice: &AdviceFixture| advice.owner.scheduler.counters.candidates.get();
    let before = examined(&advice);
    advice.run_for(Duration::from_secs(2));
    // Each step twice a second would be 400 times the pool's targets.
    let passes = (examined(&advice) - before) / POOL_TARGETS as u64;
    assert!(passes <= 400, "{passes} passes over the pool");
}

/// Guards against requests that name full targets, which the service grants, again and again, while
/// a free one that it would grant as well is not reached.
#[test]
fn advice_names_free_target_before_many_full_ones() {
    let mut advice = AdviceFixture::new(200, SLOW_ADVICE);
    advice.allows = Box::new(|step, target| step.job != "wide" || number_of(target) < 190);
    advice.submit("wide", "space", vec![step(190, 16_000)]);
    advice.run_for(Duration::from_secs(20));
    assert_eq!(advice.starts.len(), 190);
    advice.submit("a", "space", vec![step(1, 16_000)]);
    advice.run_for(LONGEST_WAIT);
    assert_eq!(advice.started_jobs().len(), 2);
}
