//! Jobs on fake workers: durable acceptance, single execution and results after failures.
#![allow(clippy::expect_used)]

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
};

use common::{FixedMembers, JobScene, job_request, submit, wait_for, wait_phase};
use fake::{FaultRate, WorkerFaults};
use ports::{JobError, JobSink, JobView};

const ENDED: &[&str] = &["done", "failed", "cancelled", "parked", "unknown"];

#[test]
fn submit_job_runs_once() {
    let scene = JobScene::new(3);
    let service = scene.start(FixedMembers::alone("e1"));
    let view = submit(
        service.as_ref(),
        &job_request("r1", "work us=1000 nonce=1", false),
    );
    assert_eq!(wait_phase(service.as_ref(), &view, ENDED).phase, "done");
    assert_eq!(scene.starts().len(), 1);
}

#[test]
fn submit_repeated_is_one_job() {
    let scene = JobScene::new(3);
    let service = scene.start(FixedMembers::alone("e1"));
    let request = job_request("r1", "work us=1000 nonce=1", false);
    let first = submit(service.as_ref(), &request);
    let second = submit(service.as_ref(), &request);
    assert_eq!(first.job, second.job);
    wait_phase(service.as_ref(), &first, ENDED);
    assert_eq!(scene.starts().len(), 1);
}

#[test]
fn submit_store_down_is_refused_and_not_run() {
    // While the store is down, an accepted job would be lost with the entry host, so
    // submissions must be rejected. A rejected job must never run.
    let scene = JobScene::new(3);
    let service = scene.start(FixedMembers::alone("e1"));
    let view = submit(
        service.as_ref(),
        &job_request("r0", "work us=1000 nonce=0", true),
    );
    wait_phase(service.as_ref(), &view, ENDED);
    scene.store.down.store(true, Ordering::SeqCst);
    let refused = service.submit(job_request("r1", "work us=1000 nonce=1", true));
    assert!(
        matches!(refused, Err(JobError::StoreDown(_))),
        "{refused:?}"
    );
    scene.store.down.store(false, Ordering::SeqCst);
    let view = submit(
        service.as_ref(),
        &job_request("r2", "work us=1000 nonce=2", true),
    );
    wait_phase(service.as_ref(), &view, ENDED);
    let nonces: Vec<String> = scene.starts().into_iter().map(|s| s.nonce).collect();
    assert_eq!(nonces, ["0", "2"]);
}

#[test]
fn submit_lost_answers_run_once() {
    // Responses of the store and of workers are lost after the requests took effect. Each
    // job must still start only once; a second start would be billed twice.
    let scene = JobScene::new(3);
    for worker in &scene.workers {
        worker.set_faults(WorkerFaults {
            lose_starts: FaultRate::by_chance(0.3),
            ..WorkerFaults::default()
        });
    }
    let service = scene.start(FixedMembers::alone("e1"));
    let mut views = Vec::new();
    for index in 0..40 {
        if index % 10 == 0 {
            scene.store.lose_answers.store(2, Ordering::SeqCst);
        }
        let request = job_request(&format!("r{index}"), "work us=2000 nonce=1", false);
        views.push(submit(service.as_ref(), &request));
    }
    for view in &views {
        assert_eq!(wait_phase(service.as_ref(), view, ENDED).phase, "done");
    }
    let starts = scene.starts_by_job();
    assert_eq!(starts.len(), 40);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[test]
fn holder_lost_jobs_continue() {
    // An entry host fails with jobs in every state: waiting, starting, running. Callers use
    // another one. Every job must end and start only once.
    let scene = JobScene::new(2);
    let first = scene.start(FixedMembers::with_others("e1", &["e2"]));
    let second_members = FixedMembers::with_others("e2", &["e1"]);
    let second = scene.start(Arc::clone(&second_members));
    let views: Vec<JobView> = (0..80)
        .map(|index| {
            let payload = "work us=300000 nonce=1";
            let request = job_request(&format!("r{index}"), payload, index % 2 == 0);
            submit(first.as_ref(), &request)
        })
        .collect();
    wait_for("some run", || !scene.starts().is_empty());
    first.stop();
    second_members.lose("e1");
    for view in &views {
        assert_eq!(wait_phase(second.as_ref(), view, ENDED).phase, "done");
    }
    let starts = scene.starts_by_job();
    assert_eq!(starts.len(), 80);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[test]
fn holder_lost_result_needs_no_permit() {
    // An entry host fails, and its quota permits are not released yet. Its tasks end in the
    // meantime. The next holder must report their results even though it can't renew or
    // start tasks without permits.
    let scene = JobScene::new(1);
    scene.set_quota(2);
    let first = scene.start(FixedMembers::with_others("e1", &["e2"]));
    let second_members = FixedMembers::with_others("e2", &["e1"]);
    let second = scene.start(Arc::clone(&second_members));
    let views = ["r1", "r2"].map(|name| {
        let request = job_request(name, "work us=800000 nonce=1", false);
        submit(first.as_ref(), &request)
    });
    wait_for("both run", || scene.starts().len() == 2);
    first.stop();
    second_members.lose("e1");
    for view in &views {
        assert_eq!(wait_phase(second.as_ref(), view, ENDED).phase, "done");
    }
    assert_eq!(scene.starts().len(), 2);
}

#[test]
fn holder_unreachable_stops_at_next_write() {
    // An entry host is cut off from the other members but not from the store, and another
    // takes its jobs over. The next write of the first must fail, so that only one of them
    // starts the jobs.
    let scene = JobScene::new(2);
    let first = scene.start(FixedMembers::with_others("e1", &["e2"]));
    let second_members = FixedMembers::with_others("e2", &["e1"]);
    let second = scene.start(Arc::clone(&second_members));
    let views: Vec<JobView> = (0..60)
        .map(|index| {
            let request = job_request(&format!("r{index}"), "work us=200000 nonce=1", false);
            submit(first.as_ref(), &request)
        })
        .collect();
    second_members.lose("e1");
    for view in &views {
        assert_eq!(wait_phase(second.as_ref(), view, ENDED).phase, "done");
    }
    let starts = scene.starts_by_job();
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
    // The entry host that lost its log creates a new one.
    let view = submit(
        first.as_ref(),
        &job_request("later", "work us=1000 nonce=1", false),
    );
    assert_eq!(wait_phase(first.as_ref(), &view, ENDED).phase, "done");
}

#[test]
fn worker_restart_reruns_only_idempotent_jobs() {
    // A worker restarts while tasks run and loses their states. An idempotent job runs again.
    // The result of any other job is unknown: it must be reported so and not run again.
    let scene = JobScene::new(1);
    let service = scene.start(FixedMembers::alone("e1"));
    let payload = "work us=2000000 nonce=1";
    let idempotent = submit(service.as_ref(), &job_request("r1", payload, true));
    let not_idempotent = submit(service.as_ref(), &job_request("r2", payload, false));
    wait_for("both run", || scene.starts().len() == 2);
    scene.workers[0].reboot();
    let ended = wait_phase(service.as_ref(), &not_idempotent, ENDED);
    assert_eq!(ended.phase, "unknown", "{}", ended.reason);
    assert_eq!(
        wait_phase(service.as_ref(), &idempotent, ENDED).phase,
        "done"
    );
    let starts = scene.starts_by_job();
    assert_eq!(starts[idempotent.job.as_str()], 2);
    assert_eq!(starts[not_idempotent.job.as_str()], 1);
}

#[test]
fn bad_job_is_parked_with_reason() {
    // Some jobs fail on every worker. They must be parked with a reason instead of retried
    // without end, and must not make healthy workers suspect.
    let scene = JobScene::new(4);
    let service = scene.start(FixedMembers::alone("e1"));
    let bad: Vec<JobView> = (0..6)
        .map(|index| {
            submit(
                service.as_ref(),
                &job_request(&format!("b{index}"), "fail", true),
            )
        })
        .collect();
    for view in &bad {
        let ended = wait_phase(service.as_ref(), view, ENDED);
        assert_eq!(ended.phase, "parked", "{}", ended.reason);
        assert!(ended.reason.contains("can't be run"), "{}", ended.reason);
    }
    let good = submit(
        service.as_ref(),
        &job_request("g", "work us=1000 nonce=1", true),
    );
    assert_eq!(wait_phase(service.as_ref(), &good, ENDED).phase, "done");
}

#[test]
fn faulty_worker_parks_no_job() {
    // One worker fails every task at once, so it always has capacity and attracts jobs.
    // Idempotent jobs must succeed on other workers, and none may be parked.
    let scene = JobScene::new(4);
    scene.workers[1].set_faults(WorkerFaults {
        fail_all: true,
        ..WorkerFaults::default()
    });
    let service = scene.start(FixedMembers::alone("e1"));
    let views: Vec<JobView> = (0..40)
        .map(|index| {
            let request = job_request(&format!("r{index}"), "work us=20000 nonce=1", true);
            submit(service.as_ref(), &request)
        })
        .collect();
    for view in &views {
        let ended = wait_phase(service.as_ref(), view, ENDED);
        assert_eq!(ended.phase, "done", "{}", ended.reason);
    }
    let wasted = scene.workers[1].starts().len();
    assert!(wasted <= 24, "{wasted} jobs went to the faulty worker");
}

#[test]
fn team_limit_bounds_running_tasks() {
    let scene = JobScene::new(3);
    scene.set_quota(4);
    let service = scene.start(FixedMembers::alone("e1"));
    let views: Vec<JobView> = (0..20)
        .map(|index| {
            let request = job_request(&format!("r{index}"), "work us=50000 nonce=1", true);
            submit(service.as_ref(), &request)
        })
        .collect();
    for view in &views {
        wait_phase(service.as_ref(), view, ENDED);
    }
    let starts = scene.starts();
    let running_at = |at: u64| {
        let runs = starts.iter().filter(|s| s.start_ns <= at && at < s.end_ns);
        runs.count()
    };
    let most = starts.iter().map(|start| running_at(start.start_ns)).max();
    assert!(most.is_some_and(|most| most <= 4), "{most:?} ran at once");
}

#[test]
fn cancel_many_jobs_takes_few_writes() {
    // A client cancels many jobs at an entry host that does not hold them. With one write per
    // job, the store would be busy for minutes.
    let scene = JobScene::new(1);
    scene.set_quota(0);
    let first = scene.start(FixedMembers::with_others("e1", &["e2"]));
    let second = scene.start(FixedMembers::with_others("e2", &["e1"]));
    let views: Vec<JobView> = thread::scope(|scope| {
        let parts: Vec<_> = (0..20)
            .map(|part| {
                let first = Arc::clone(&first);
                scope.spawn(move || {
                    let jobs = (0..50).map(|index| {
                        let name = format!("r{part}-{index}");
                        submit(first.as_ref(), &job_request(&name, "work us=1000", true))
                    });
                    jobs.collect::<Vec<_>>()
                })
            })
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().expect("submitted"))
            .collect()
    });
    let before = scene.store.writes.load(Ordering::SeqCst);
    thread::scope(|scope| {
        for part in views.chunks(50) {
            let second = Arc::clone(&second);
            scope.spawn(move || {
                for view in part {
                    wait_for("cancelled", || second.cancel(&view.team, &view.job).is_ok());
                }
            });
        }
    });
    for view in &views {
        assert_eq!(wait_phase(first.as_ref(), view, ENDED).phase, "cancelled");
    }
    let writes = scene.store.writes.load(Ordering::SeqCst) - before;
    println!("1000 cancellations took {writes} writes");
    assert!(writes <= 300, "{writes} writes for 1000 cancellations");
    assert!(scene.starts().is_empty());
}

#[test]
fn cancel_running_job_stops_it() {
    let scene = JobScene::new(1);
    let service = scene.start(FixedMembers::alone("e1"));
    let view = submit(
        service.as_ref(),
        &job_request("r1", "work us=60000000", false),
    );
    wait_for("the job runs", || scene.starts().len() == 1);
    service.cancel(&view.team, &view.job).expect("cancelled");
    assert_eq!(
        wait_phase(service.as_ref(), &view, ENDED).phase,
        "cancelled"
    );
    assert_eq!(scene.starts()[0].outcome, "stopped");
}

#[test]
fn view_other_team_finds_nothing() {
    let scene = JobScene::new(1);
    let service = scene.start(FixedMembers::alone("e1"));
    let view = submit(service.as_ref(), &job_request("r1", "work us=1000", false));
    let other = service.view(&"other".into(), &view.job);
    assert!(matches!(other, Err(JobError::NotFound)));
    let cancel = service.cancel(&"other".into(), &view.job);
    assert!(matches!(cancel, Err(JobError::NotFound)));
}
