//! Steps of queues with an advice service, which handles one call after the other.

mod harness;

use std::time::Duration;

use harness::{AdviceFixture, ServiceMode, step};
use model::work::AdvicePolicy;
use rstest::rstest;

/// A service that works on a request for as long as a short task runs.
const SLOW: AdvicePolicy = AdvicePolicy {
    fixed: Duration::from_millis(300),
    per_target: Duration::from_millis(5),
    valid: Duration::from_secs(3),
};
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
    let mut advice = AdviceFixture::new(TARGETS, SLOW);
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
    let mut advice = AdviceFixture::new(TARGETS, SLOW);
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
    let mut advice = AdviceFixture::new(TARGETS, SLOW);
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
    let mut advice = AdviceFixture::new(TARGETS, SLOW);
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
        ..SLOW
    };
    let mut advice = AdviceFixture::new(TARGETS, policy);
    advice.submit("a", "space", vec![step(2, 100)]);
    advice.submit("b", "space", vec![step(2, 100)]);
    advice.run_for(policy.call_time(TARGETS) * 2 + Duration::from_millis(100));
    assert_eq!(advice.started_jobs().len(), 2);
    assert_eq!(advice.unread_answers, 0);
}

/// Guards against a service that works for the steps of a pool without targets while those of
/// another pool wait.
#[test]
fn advice_without_targets_holds_up_nothing() {
    let mut advice = AdviceFixture::new(0, SLOW);
    for job in 0..400 {
        advice.submit(&format!("j{job:04}"), "space", vec![step(2, 100)]);
    }
    advice.run_for(Duration::from_secs(1));
    assert!(advice.requests.is_empty());
    advice.owner.add_target("t1", 16_000);
    advice.run_for(Duration::from_secs(1));
    assert!(!advice.starts.is_empty());
}
