//! Queues whose policy allows each step other targets.

mod harness;

use std::time::Duration;

use decide::rendezvous;
use harness::{AdviceFixture, QUEUE, SLOW_ADVICE, plan, step};
use model::{
    HostId,
    work::{AdvicePolicy, StepPlan},
};
use rstest::rstest;

const TARGETS: usize = 12;

/// Allows one target of four, others for each job.
fn is_allowed(job: &str, target: &HostId) -> bool {
    rendezvous::score(job, target).is_multiple_of(4)
}

/// Guards against requests that name the few targets that were granted for other steps of a queue,
/// although what is granted for one step says little about another.
#[test]
fn advice_that_differs_by_step_names_many_targets() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.allows = Box::new(|step, target| is_allowed(&step.job, target));
    let targets = (0..TARGETS).map(|number| HostId::from(format!("t{number:04}")));
    let targets: Vec<HostId> = targets.collect();
    let has_allowed = |job: &str| targets.iter().any(|target| is_allowed(job, target));
    let jobs: Vec<String> = (0..40).map(|job| format!("j{job:04}")).collect();
    let jobs: Vec<String> = jobs.into_iter().filter(|job| has_allowed(job)).collect();
    for job in &jobs {
        advice.submit(job, "space", vec![step(2, 100)]);
        advice.run_for(Duration::from_secs(1));
    }
    assert_eq!(advice.started_jobs().len(), jobs.len());
    let requests = advice.requests.len();
    assert!(
        requests * 4 <= jobs.len() * 5,
        "{requests} requests for {} steps",
        jobs.len()
    );
}

/// Guards against the refusal of all further jobs of a pool while a step waits there that the
/// service grants no target.
#[test]
fn advice_denied_to_one_step_refuses_no_others() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.allows = Box::new(|step, _| step.job != "denied");
    let later = StepPlan {
        after: vec![0],
        ..step(4, 100)
    };
    let steps = vec![step(40, 100), later];
    advice.submit("denied", "space", steps.clone());
    advice.run_for(Duration::from_secs(12));
    let (now, plan) = (advice.owner.now, plan(steps));
    let scheduler = &mut advice.owner.scheduler;
    let excess = scheduler.predict_lateness(&"new".into(), &plan, QUEUE, &"space".into(), now);
    assert_eq!(excess, None);
}

/// Guards against an owner that stops because the terms of a queue are beyond any sensible ones.
#[rstest]
#[case::nothing(Duration::ZERO, Duration::ZERO, Duration::ZERO)]
#[case::endless_calls(Duration::MAX, Duration::MAX, Duration::from_secs(3))]
#[case::endless_tickets(Duration::ZERO, Duration::ZERO, Duration::MAX)]
#[case::endless(Duration::MAX, Duration::ZERO, Duration::MAX)]
#[case::tiny_tickets(Duration::from_millis(20), Duration::ZERO, Duration::from_nanos(1))]
fn advice_with_extreme_terms_ends_nothing(
    #[case] fixed: Duration,
    #[case] per_target: Duration,
    #[case] valid: Duration,
) {
    let policy = AdvicePolicy {
        fixed,
        per_target,
        valid,
    };
    let mut advice = AdviceFixture::new(TARGETS, policy);
    for job in 0..3 {
        let (now, plan) = (advice.owner.now, plan(vec![step(2, 100)]));
        let (id, space) = (format!("j{job}"), "space".into());
        let scheduler = &mut advice.owner.scheduler;
        // Whether the job would be late does not matter here.
        let _ = scheduler.predict_lateness(&id.as_str().into(), &plan, QUEUE, &space, now);
        advice.submit(&id, "space", vec![step(2, 100)]);
        advice.run_for(Duration::from_secs(1));
    }
    let other = StepPlan::default();
    advice
        .owner
        .change_policy(|policy| policy.queues[0].advice = None);
    advice.submit("other", "space", vec![StepPlan { count: 1, ..other }]);
    advice.run_for(Duration::from_secs(1));
    assert!(advice.started_jobs().contains("other"));
}
