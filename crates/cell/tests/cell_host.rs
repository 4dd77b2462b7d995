//! Processes of a cell on in-memory ports: jobs, lost responses, refusals and hand-over.

mod common;

use std::time::Duration;

use common::{
    KEY, LIMIT, StoreMode, TestCell, call, policy_text, run_local, submit, submit_until_accepted,
    wait_for_answer, wait_for_progress,
};
use ports::{CallerAction, CallerAnswer, CallerCall, JobProgress};
use tokio::time::sleep;

#[test]
fn cell_completes_job() {
    run_local(async {
        let cell = TestCell::new();
        let service = cell.start_host("a").service();
        submit_until_accepted(&service, "job1").await;
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
        assert_eq!(cell.targets.starts_by_task.borrow().len(), 6);
        assert!(cell.targets.started_once());
        let unknown = service
            .answer(call(CallerAction::Status("other".into())))
            .await;
        assert_eq!(unknown, CallerAnswer::NoJob);
        let foreign = CallerCall {
            key: "wrong".into(),
            ..submit("job2")
        };
        assert_eq!(service.answer(foreign).await, CallerAnswer::KeyRefused);
    });
}

/// Guards against polling as often as tasks end while the ends can't be stored. The target reports
/// them again in each response, and on a narrow link these take the bandwidth that the log needs,
/// until neither gets through. The next poll has to wait, for at most a quarter of a second.
#[test]
fn polls_wait_for_stored_ends() {
    run_local(async {
        let cell = TestCell::new();
        cell.targets.set_blocked(true);
        let service = cell.start_host("a").service();
        submit_until_accepted(&service, "job1").await;
        cell.targets.wait_for_started(3).await;
        cell.store.set_mode(StoreMode::Refuses);
        // Two ends are reported, and the target is polled for the third.
        cell.targets.hold_last(1);
        sleep(Duration::from_millis(200)).await;
        let before = cell.targets.polls.get();
        sleep(Duration::from_millis(800)).await;
        // Four waits, plus polls for other reasons; one poll each 30 ms would be 26.
        assert!(cell.targets.polls.get() - before <= 8);
    });
}

/// Guards against losing or repeating a job that was stored although the store's response was lost.
/// The owner writes the same page again, finds it in the store, and accepts the job once.
#[test]
fn submit_accepted_once_after_lost_answer() {
    run_local(async {
        let cell = TestCell::new();
        let service = cell.start_host("a").service();
        submit_until_accepted(&service, "job1").await;
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
        cell.store.set_mode(StoreMode::LosesAnswers);
        let store = cell.store.clone();
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(200)).await;
            store.set_mode(StoreMode::Normal);
        });
        assert_eq!(service.answer(submit("job2")).await, CallerAnswer::Accepted);
        wait_for_progress(&service, "job2", JobProgress::Completed).await;
        assert!(cell.targets.started_once());
    });
}

/// Guards against a late or wrong answer while the store refuses calls. The caller is told at once
/// to retry later, and the job does not exist afterwards.
#[test]
fn submit_refused_while_store_refuses() {
    run_local(async {
        let cell = TestCell::new();
        let service = cell.start_host("a").service();
        submit_until_accepted(&service, "job1").await;
        cell.store.set_mode(StoreMode::Refuses);
        let started_at = tokio::time::Instant::now();
        let answer = service.answer(submit("job2")).await;
        assert!(matches!(answer, CallerAnswer::Refused(wait) if wait >= Duration::from_secs(1)));
        assert!(started_at.elapsed() < Duration::from_secs(1));
        cell.store.set_mode(StoreMode::Normal);
        sleep(Duration::from_millis(100)).await;
        wait_for_answer(
            &service,
            CallerAction::Status("job2".into()),
            CallerAnswer::NoJob,
        )
        .await;
    });
}

/// Guards against an interruption when the owner is stopped. Ownership is handed over without
/// waiting for the lease to expire, and the successor knows the jobs.
#[test]
fn stopped_owner_hands_over() {
    run_local(async {
        let cell = TestCell::new();
        let first = cell.start_host("a");
        submit_until_accepted(&first.service(), "job1").await;
        let second = cell.start_host("b");
        let service = second.service();
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
        let started_at = tokio::time::Instant::now();
        first.stop(std::future::ready(())).await;
        submit_until_accepted(&service, "job2").await;
        assert!(
            started_at.elapsed() < Duration::from_millis(1000),
            "the lease lasts 1.1 s"
        );
        wait_for_progress(&service, "job2", JobProgress::Completed).await;
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
        assert!(cell.targets.started_once());
    });
}

/// Guards against a process that refuses its callers because the store refuses it and it does not
/// notice a new owner. It has to ask other members for the owner.
#[test]
fn cut_off_process_finds_owner() {
    run_local(async {
        let cell = TestCell::new();
        let first = cell.start_host("a");
        submit_until_accepted(&first.service(), "job1").await;
        let second = cell.start_host("b");
        submit_until_accepted(&second.service(), "job2").await;
        let handle = cell.store.new_handle();
        let third = cell.start_host_on("c", &handle);
        let service = third.service();
        submit_until_accepted(&service, "job3").await;
        handle.set_cut_off(true);
        first.stop(std::future::ready(())).await;
        submit_until_accepted(&second.service(), "job4").await;
        submit_until_accepted(&service, "job5").await;
    });
}

/// Guards against a delayed election after a restart of all processes with an expired lease. That
/// the cell has no owner did not count as a change, so candidates waited two seconds until their
/// own check.
#[test]
fn cold_process_campaigns_at_once() {
    run_local(async {
        let cell = TestCell::new();
        let started_at = tokio::time::Instant::now();
        let host = cell.start_host("a");
        submit_until_accepted(&host.service(), "job1").await;
        let took = started_at.elapsed();
        assert!(took < Duration::from_millis(1000), "{took:?}");
    });
}

/// Guards against an older policy that replaces the current one when the store returns stale data.
/// A removed key must not become valid again.
#[test]
fn older_policy_ignored() {
    run_local(async {
        let cell = TestCell::new();
        let service = cell.start_host("a").service();
        submit_until_accepted(&service, "job1").await;
        cell.store
            .put("op/terms", policy_text(5, "another").as_bytes());
        wait_for_answer(
            &service,
            CallerAction::Status("job1".into()),
            CallerAnswer::KeyRefused,
        )
        .await;
        cell.store.put("op/terms", policy_text(4, KEY).as_bytes());
        sleep(Duration::from_millis(200)).await;
        let answer = service
            .answer(call(CallerAction::Status("job1".into())))
            .await;
        assert_eq!(answer, CallerAnswer::KeyRefused);
    });
}

/// Guards against a log that grows with each job. After some hundred pages it is compacted, and a
/// successor still knows each job.
#[test]
fn long_log_is_compacted() {
    run_local(async {
        let cell = TestCell::new();
        let first = cell.start_host("a");
        let service = first.service();
        submit_until_accepted(&service, "job0").await;
        for number in 1..400 {
            submit_until_accepted(&service, &format!("job{number}")).await;
        }
        wait_for_progress(&service, "job399", JobProgress::Completed).await;
        let end = tokio::time::Instant::now() + LIMIT;
        let mut number = 400;
        while cell.store.keys("cell/log/").len() > 300 {
            assert!(
                tokio::time::Instant::now() < end,
                "the log was not compacted"
            );
            submit_until_accepted(&service, &format!("job{number}")).await;
            number += 1;
        }
        first.stop(std::future::ready(())).await;
        let second = cell.start_host("b").service();
        wait_for_progress(&second, "job7", JobProgress::Completed).await;
    });
}
