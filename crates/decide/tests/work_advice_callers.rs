//! Calls to the advice service that several processes send for the owner.

mod harness;

use std::time::Duration;

use decide::{rendezvous, work::AdviceCaller};
use harness::{AdviceFixture, QUEUE, SLOW_ADVICE, plan, step, target};
use model::work::{StepPlan, TargetEntry};
use rstest::rstest;

const TARGETS: usize = 12;
/// Longest time that a request takes the service: one that names all targets.
const LONGEST_CALL: Duration = Duration::from_millis(360);
const JOBS: usize = 60;

fn with_burst(peers: &[&str]) -> AdviceFixture {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.add_peers(peers);
    for job in 0..JOBS {
        advice.submit(&format!("j{job:04}"), "space", vec![step(2, 100)]);
    }
    advice
}

/// Guards against an owner that waits for its own turn at the service while that would handle the
/// calls of other processes at the same time.
#[test]
fn advice_calls_of_processes_run_side_by_side() {
    let mut advice = with_burst(&["p1", "p2", "p3", "p4", "p5"]);
    // The number of processes in use doubles with each round of answers at first.
    let rounds = u32::try_from(JOBS / 6).unwrap_or_default() + 1 + 3;
    advice.run_until_started(JOBS, LONGEST_CALL * rounds);
    assert_eq!(advice.started_jobs().len(), JOBS);
    assert_eq!(advice.unread_answers, 0);
}

/// Guards against calls through other processes while the owner's own turn is free.
#[test]
fn advice_of_few_steps_is_requested_by_owner() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.add_peers(&["p1", "p2"]);
    for job in 0..4 {
        advice.submit(&format!("j{job}"), "space", vec![step(2, 100)]);
        advice.run_for(Duration::from_secs(1));
    }
    let mut callers = advice.requests.iter().map(|(_, request)| &request.caller);
    assert!(callers.all(|caller| *caller == AdviceCaller::Owner));
}

/// Guards against steps that wait again and again for a process that passes no calls on.
#[test]
fn advice_dead_process_delays_few_steps() {
    let mut advice = with_burst(&["p1", "p2", "p3", "p4", "p5"]);
    advice.dead_callers = ["p1", "p2", "p3"]
        .map(|peer| AdviceCaller::Peer(peer.into()))
        .into();
    let rounds = u32::try_from(JOBS / 3).unwrap_or_default() + 1;
    // The calls that were sent before the process was known to fail are given up first.
    let given_up = LONGEST_CALL * 4 + Duration::from_secs(1);
    advice.run_until_started(JOBS, LONGEST_CALL * rounds + given_up);
    assert_eq!(advice.started_jobs().len(), JOBS);
}

/// Guards against the refusal of jobs that the service can advise in time through other processes.
#[test]
fn advice_wait_counts_all_processes() {
    let mut advice = with_burst(&["p1", "p2", "p3", "p4", "p5"]);
    let (now, plan) = (advice.owner.now, plan(vec![step(2, 100)]));
    let scheduler = &mut advice.owner.scheduler;
    let excess = scheduler.predict_lateness(&"new".into(), &plan, QUEUE, &"space".into(), now);
    assert_eq!(excess, None);
    advice.add_peers(&[]);
    let scheduler = &mut advice.owner.scheduler;
    let excess = scheduler.predict_lateness(&"new".into(), &plan, QUEUE, &"space".into(), now);
    assert!(excess.is_some());
}

/// Guards against calls through so many processes that all are given up, at a service that handles
/// one call after the other after all.
#[rstest]
#[case::few(6)]
#[case::many(40)]
fn advice_of_service_with_one_line_is_not_given_up(#[case] peers: usize) {
    let peers: Vec<String> = (0..peers).map(|peer| format!("p{peer}")).collect();
    let peers: Vec<&str> = peers.iter().map(String::as_str).collect();
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.one_line_for_all = true;
    advice.skips_abandoned = false;
    advice.add_peers(&peers);
    for job in 0..JOBS {
        advice.submit(&format!("j{job:04}"), "space", vec![step(2, 100)]);
    }
    let rounds = u32::try_from(JOBS).unwrap_or_default();
    advice.run_until_started(JOBS, LONGEST_CALL * (rounds + 4));
    assert_eq!(advice.started_jobs().len(), JOBS);
    assert_eq!((advice.unread_answers, advice.refused), (0, 0));
}

/// Guards against jobs that are accepted although the calls for all steps of those accepted before
/// take longer than any job may wait: they would start only once no other ones come.
#[test]
fn advice_backlog_of_accepted_jobs_is_bounded() {
    const FINISH_TIME: Duration = Duration::from_secs(14);
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    advice.allows = Box::new(|step, target| rendezvous::score(&step.job, target) % 4 < 2);
    let after = |earlier: u32| StepPlan {
        after: vec![earlier],
        ..step(2, 100)
    };
    let steps = vec![step(2, 100), after(0), after(1)];
    let mut accepted = 0;
    for job in 0..200 {
        let (now, plan) = (advice.owner.now, plan(steps.clone()));
        let (id, space) = (format!("j{job:04}"), "space".into());
        let scheduler = &mut advice.owner.scheduler;
        let excess = scheduler.predict_lateness(&id.as_str().into(), &plan, QUEUE, &space, now);
        if excess.is_none() {
            accepted += 1;
            advice.submit(&id, "space", steps.clone());
        }
        advice.run_and_end(Duration::from_millis(100));
    }
    assert!(accepted >= 15, "{accepted}");
    advice.run_and_end(FINISH_TIME);
    assert_eq!(advice.started_jobs().len(), accepted);
}

/// Guards against a step that is not asked about, now that there is a target for it, for as long as
/// other jobs, which are still in time, use all of the service.
#[test]
fn advice_of_late_step_is_requested_under_lasting_load() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    let labelled = StepPlan {
        required_label: "special".into(),
        ..step(2, 100)
    };
    advice.submit("late", "space", vec![labelled]);
    for job in 0..120 {
        advice.submit(&format!("j{job:04}"), "space", vec![step(2, 100)]);
        advice.run_for(Duration::from_millis(200));
        if job == 60 {
            let special = TargetEntry {
                labels: vec!["special".into()],
                ..target("special", 16_000)
            };
            advice
                .owner
                .scheduler
                .upsert_target(special, advice.owner.now);
            advice.owner.report_idle("special");
        }
    }
    assert!(advice.started_jobs().contains("late"));
}

/// Guards against the refusal, for good, of a job with so many steps that their calls alone take
/// longer than a backlog may.
#[test]
fn advice_for_many_steps_is_no_backlog() {
    let mut advice = AdviceFixture::new(TARGETS, SLOW_ADVICE);
    let chain = (0..60).map(|number| StepPlan {
        after: (number > 0).then(|| number - 1).into_iter().collect(),
        ..step(2, 100)
    });
    let (now, plan) = (advice.owner.now, plan(chain.collect()));
    let scheduler = &mut advice.owner.scheduler;
    let excess = scheduler.predict_lateness(&"new".into(), &plan, QUEUE, &"space".into(), now);
    assert_eq!(excess, None);
}
