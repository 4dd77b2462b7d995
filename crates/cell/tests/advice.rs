//! Jobs of a queue with an advice service.

mod common;

use std::rc::Rc;

use cell::{CellOptions, CellPorts};
use common::*;
use ports::JobProgress;

const JOBS: usize = 10;
/// Steps of each job.
const STEPS: usize = 2;

/// Guards against calls that wait behind each other at the service, and against starts without the
/// ticket of their step.
#[test]
fn advised_jobs_wait_at_owner() {
    run_local(async {
        let cell = TestCell::new();
        let policy = format!("{} {ADVISED}", policy_text(1, KEY));
        cell.store.put("op/terms", policy.as_bytes());
        let advice = MemoryAdvice::default();
        let ports = CellPorts {
            advice: Rc::new(advice.clone()),
            ..ports_on(&cell.store, &cell.targets)
        };
        let options = CellOptions::new("one".into(), free_address(), free_address());
        let host = start_cell(options, ports);
        let service = host.service();
        for job in 0..JOBS {
            submit_until_accepted(&service, &format!("j{job}")).await;
        }
        for job in 0..JOBS {
            wait_for_progress(&service, &format!("j{job}"), JobProgress::Completed).await;
        }
        assert_eq!(advice.calls.get(), JOBS * STEPS);
        // Calls of 52 ms: as many as keep the service busy for 0.1 s, and one more.
        assert!(
            advice.max_waiting.get() <= 3,
            "{}",
            advice.max_waiting.get()
        );
        for start in cell.targets.start_orders.borrow().iter() {
            let task = &start.task;
            let step = format!("{}.{}.{}", task.job, task.occurrence, task.step);
            assert_eq!(start.ticket, format!("{step}-t1"));
        }
    });
}

/// Guards against an owner that calls the service alone, although it handles the calls of each
/// process in turn.
#[test]
fn advised_jobs_use_calls_of_all_processes() {
    run_local(async {
        let cell = TestCell::new();
        let policy = format!("{} {ADVISED}", policy_text(1, KEY));
        cell.store.put("op/terms", policy.as_bytes());
        let start = |name: &str| {
            let advice = MemoryAdvice::default();
            let ports = CellPorts {
                advice: Rc::new(advice.clone()),
                ..ports_on(&cell.store, &cell.targets)
            };
            let options = CellOptions::new(name.into(), free_address(), free_address());
            (start_cell(options, ports), advice)
        };
        let processes = ["one", "two", "three"].map(start);
        let service = processes[0].0.service();
        for job in 0..JOBS {
            submit_until_accepted(&service, &format!("j{job}")).await;
        }
        for job in 0..JOBS {
            wait_for_progress(&service, &format!("j{job}"), JobProgress::Completed).await;
        }
        let calls = processes.each_ref().map(|(_, advice)| advice.calls.get());
        assert!(calls.iter().all(|calls| *calls > 0), "{calls:?}");
        assert_eq!(calls.iter().sum::<usize>(), JOBS * STEPS);
    });
}
