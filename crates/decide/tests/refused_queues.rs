//! Tests of which submissions begin with a dry run.

use std::time::Duration;

use decide::refused_queues::RefusedQueues;

const PROCESSES: usize = 30;
const QUEUES: [&str; 4] = ["quotes", "restocks", "dispatches", "reports"];
/// Submissions a second to all processes.
const RATE: u32 = 200;

/// A burst of which the owner accepts one job in 14. Guards against submissions whose payloads fill
/// the owner's link although it refuses them.
#[test]
fn burst_sends_few_payloads_in_vain() {
    let mut processes = vec![RefusedQueues::default(); PROCESSES];
    let (mut accepted_jobs, mut payloads_in_vain) = (0, 0);
    for number in 0..10 * RATE {
        let now = Duration::from_secs(1) * number / RATE;
        let (process, queue) = (number as usize % PROCESSES, QUEUES[number as usize % 4]);
        let queues = &mut processes[process];
        let is_accepted = number % 14 == 13;
        if is_accepted {
            accepted_jobs += 1;
            queues.record_acceptance(queue);
            continue;
        }
        if !queues.needs_dry_run(queue, now) {
            payloads_in_vain += 1;
        }
        queues.record_refusal(queue, now);
    }
    assert!(payloads_in_vain <= PROCESSES * QUEUES.len() + accepted_jobs);
}

/// Guards against a queue that costs its callers a second round trip long after the last refusal.
#[test]
fn dry_runs_end_after_last_refusal() {
    let mut queues = RefusedQueues::default();
    queues.record_refusal("quotes", Duration::from_secs(1));
    assert!(queues.needs_dry_run("quotes", Duration::from_secs(5)));
    assert!(!queues.needs_dry_run("reports", Duration::from_secs(5)));
    assert!(!queues.needs_dry_run("quotes", Duration::from_secs(6)));
}

#[test]
fn dry_runs_end_with_acceptance() {
    let mut queues = RefusedQueues::default();
    queues.record_refusal("quotes", Duration::from_secs(1));
    queues.record_acceptance("quotes");
    assert!(!queues.needs_dry_run("quotes", Duration::from_secs(1)));
}
