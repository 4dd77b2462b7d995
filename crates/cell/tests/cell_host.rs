//! Processes of a cell on ports in memory: jobs, lost answers, refusals and hand-over.

mod common;

use std::time::Duration;

use common::{
    KEY, LIMIT, StoreMode, TestCell, call, policy_text, run_local, submit, submit_until_accepted,
    wait_for_answer, wait_for_progress,
};
use ports::{CallerAnswer, CallerCall, CallerRequest, JobProgress};
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
            .answer(call(CallerRequest::Status("other".into())))
            .await;
        assert_eq!(unknown, CallerAnswer::NoJob);
        let foreign = CallerCall {
            key: "wrong".into(),
            ..submit("job2")
        };
        assert_eq!(service.answer(foreign).await, CallerAnswer::KeyRefused);
    });
}

/// Ends can't be stored for a while, and the target lists them again in each answer. Looking as
/// often as ends come takes the bytes that the log needs on a narrow link, until neither gets
/// through; so the next look waits, for a quarter of a second at most.
#[test]
fn polls_wait_for_stored_ends() {
    run_local(async {
        let cell = TestCell::new();
        cell.targets.set_blocked(true);
        let service = cell.start_host("a").service();
        submit_until_accepted(&service, "job1").await;
        cell.targets.wait_for_started(3).await;
        cell.store.set_mode(StoreMode::Refuses);
        // Two ends are listed, and the target is looked at for the third.
        cell.targets.hold_last(1);
        sleep(Duration::from_millis(200)).await;
        let before = cell.targets.polls.get();
        sleep(Duration::from_millis(800)).await;
        // Four waits and what is looked at for other reasons; one each 30 ms would be 26.
        assert!(cell.targets.polls.get() - before <= 8);
    });
}

/// A caller's job is stored and the store's answer is lost. The owner writes the same page
/// again, finds it there, and accepts the job once.
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

/// The store refuses calls. A caller is told at once to come back, and what it was told is
/// true: the job is not there afterwards.
#[test]
fn submit_refused_while_store_refuses() {
    run_local(async {
        let cell = TestCell::new();
        let service = cell.start_host("a").service();
        submit_until_accepted(&service, "job1").await;
        cell.store.set_mode(StoreMode::Refuses);
        let begun = tokio::time::Instant::now();
        let answer = service.answer(submit("job2")).await;
        assert!(matches!(answer, CallerAnswer::Refused(wait) if wait >= Duration::from_secs(1)));
        assert!(begun.elapsed() < Duration::from_secs(1));
        cell.store.set_mode(StoreMode::Normal);
        sleep(Duration::from_millis(100)).await;
        wait_for_answer(
            &service,
            CallerRequest::Status("job2".into()),
            CallerAnswer::NoJob,
        )
        .await;
    });
}

/// The owner is told to stop. Callers of another process go on at once: ownership is handed
/// over and need not lapse, and the successor knows the jobs.
#[test]
fn stopped_owner_hands_over() {
    run_local(async {
        let cell = TestCell::new();
        let first = cell.start_host("a");
        submit_until_accepted(&first.service(), "job1").await;
        let second = cell.start_host("b");
        let service = second.service();
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
        let begun = tokio::time::Instant::now();
        first.stop(std::future::ready(())).await;
        submit_until_accepted(&service, "job2").await;
        assert!(
            begun.elapsed() < Duration::from_millis(1000),
            "the lease lasts 1.1 s"
        );
        wait_for_progress(&service, "job2", JobProgress::Completed).await;
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
        assert!(cell.targets.started_once());
    });
}

/// The store turns one process away and serves the others; meanwhile the ownership changes. The
/// callers of that process were refused until the store came back: it hears of the new owner from
/// its neighbours.
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

/// All processes lose power and come back; the old owner's lease has lapsed meanwhile. Callers were
/// refused for two seconds more, until the candidates looked by themselves whether there is an
/// owner: that there is none was no change from what they had begun with.
#[test]
fn cold_process_campaigns_at_once() {
    run_local(async {
        let cell = TestCell::new();
        let begun = tokio::time::Instant::now();
        let host = cell.start_host("a");
        submit_until_accepted(&host.service(), "job1").await;
        let took = begun.elapsed();
        assert!(took < Duration::from_millis(1000), "{took:?}");
    });
}

/// A store that lags shows older terms than those in force. A key that operators have taken
/// away must not come back with them.
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
            CallerRequest::Status("job1".into()),
            CallerAnswer::KeyRefused,
        )
        .await;
        cell.store.put("op/terms", policy_text(4, KEY).as_bytes());
        sleep(Duration::from_millis(200)).await;
        let answer = service
            .answer(call(CallerRequest::Status("job1".into())))
            .await;
        assert_eq!(answer, CallerAnswer::KeyRefused);
    });
}

/// The log grows with each job. After some hundred pages it is replaced by a shorter one, and
/// a successor still knows each job.
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
            assert!(tokio::time::Instant::now() < end, "not compacted");
            submit_until_accepted(&service, &format!("job{number}")).await;
            number += 1;
        }
        first.stop(std::future::ready(())).await;
        let second = cell.start_host("b").service();
        wait_for_progress(&second, "job7", JobProgress::Completed).await;
    });
}
