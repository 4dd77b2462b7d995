//! Processes of a cell on ports in memory: jobs, lost answers, refusals and hand-over.

mod common;

use std::time::Duration;

use common::{
    CellBench, KEY, LIMIT, StoreSwitch, accepted, call, run_local, submit, terms_text, until,
    until_shown,
};
use ports::{CallerAnswer, CallerCall, CallerRequest, JobProgress};
use tokio::time::sleep;

#[test]
fn cell_completes_job() {
    run_local(async {
        let bench = CellBench::new();
        let service = bench.host("a").service();
        accepted(&service, "job1").await;
        until_shown(&service, "job1", JobProgress::Completed).await;
        assert_eq!(bench.targets.starts.borrow().len(), 6);
        assert!(bench.targets.started_once());
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
fn looks_wait_for_stored_ends() {
    run_local(async {
        let bench = CellBench::new();
        bench.targets.set_slow(true);
        let service = bench.host("a").service();
        accepted(&service, "job1").await;
        bench.targets.until_started(3).await;
        bench.store.set(StoreSwitch::Refuses);
        // Two ends are listed, and the target is looked at for the third.
        bench.targets.hold(1);
        sleep(Duration::from_millis(200)).await;
        let before = bench.targets.looks.get();
        sleep(Duration::from_millis(800)).await;
        // Four waits and what is looked at for other reasons; one each 30 ms would be 26.
        assert!(bench.targets.looks.get() - before <= 8);
    });
}

/// A caller's job is stored and the store's answer is lost. The owner writes the same page
/// again, finds it there, and accepts the job once.
#[test]
fn submit_settles_lost_answer() {
    run_local(async {
        let bench = CellBench::new();
        let service = bench.host("a").service();
        accepted(&service, "job1").await;
        until_shown(&service, "job1", JobProgress::Completed).await;
        bench.store.set(StoreSwitch::LosesAnswers);
        let store = bench.store.clone();
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(200)).await;
            store.set(StoreSwitch::Well);
        });
        assert_eq!(service.answer(submit("job2")).await, CallerAnswer::Accepted);
        until_shown(&service, "job2", JobProgress::Completed).await;
        assert!(bench.targets.started_once());
    });
}

/// The store refuses calls. A caller is told at once to come back, and what it was told is
/// true: the job is not there afterwards.
#[test]
fn submit_refused_while_store_refuses() {
    run_local(async {
        let bench = CellBench::new();
        let service = bench.host("a").service();
        accepted(&service, "job1").await;
        bench.store.set(StoreSwitch::Refuses);
        let begun = tokio::time::Instant::now();
        let answer = service.answer(submit("job2")).await;
        assert!(matches!(answer, CallerAnswer::Refused(wait) if wait >= Duration::from_secs(1)));
        assert!(begun.elapsed() < Duration::from_secs(1));
        bench.store.set(StoreSwitch::Well);
        sleep(Duration::from_millis(100)).await;
        until(
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
        let bench = CellBench::new();
        let first = bench.host("a");
        accepted(&first.service(), "job1").await;
        let second = bench.host("b");
        let service = second.service();
        until_shown(&service, "job1", JobProgress::Completed).await;
        let begun = tokio::time::Instant::now();
        first.stop(std::future::ready(())).await;
        accepted(&service, "job2").await;
        assert!(
            begun.elapsed() < Duration::from_millis(1000),
            "the lease lasts 1.1 s"
        );
        until_shown(&service, "job2", JobProgress::Completed).await;
        until_shown(&service, "job1", JobProgress::Completed).await;
        assert!(bench.targets.started_once());
    });
}

/// The store turns one process away and serves the others; meanwhile the ownership changes. The
/// callers of that process were refused until the store came back: it hears of the new owner from
/// its neighbours.
#[test]
fn turned_away_process_finds_owner() {
    run_local(async {
        let bench = CellBench::new();
        let first = bench.host("a");
        accepted(&first.service(), "job1").await;
        let second = bench.host("b");
        accepted(&second.service(), "job2").await;
        let handle = bench.store.handle();
        let third = bench.host_on("c", &handle);
        let service = third.service();
        accepted(&service, "job3").await;
        handle.turn_away(true);
        first.stop(std::future::ready(())).await;
        accepted(&second.service(), "job4").await;
        accepted(&service, "job5").await;
    });
}

/// All processes lose power and come back; the old owner's lease has lapsed meanwhile. Callers were
/// refused for two seconds more, until the candidates looked by themselves whether there is an
/// owner: that there is none was no change from what they had begun with.
#[test]
fn cold_process_stands_at_once() {
    run_local(async {
        let bench = CellBench::new();
        let begun = tokio::time::Instant::now();
        let host = bench.host("a");
        accepted(&host.service(), "job1").await;
        let took = begun.elapsed();
        assert!(took < Duration::from_millis(1000), "{took:?}");
    });
}

/// A store that lags shows older terms than those in force. A key that operators have taken
/// away must not come back with them.
#[test]
fn older_terms_ignored() {
    run_local(async {
        let bench = CellBench::new();
        let service = bench.host("a").service();
        accepted(&service, "job1").await;
        bench
            .store
            .put("op/terms", terms_text(5, "another").as_bytes());
        until(
            &service,
            CallerRequest::Status("job1".into()),
            CallerAnswer::KeyRefused,
        )
        .await;
        bench.store.put("op/terms", terms_text(4, KEY).as_bytes());
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
        let bench = CellBench::new();
        let first = bench.host("a");
        let service = first.service();
        accepted(&service, "job0").await;
        for number in 1..400 {
            accepted(&service, &format!("job{number}")).await;
        }
        until_shown(&service, "job399", JobProgress::Completed).await;
        let end = tokio::time::Instant::now() + LIMIT;
        let mut number = 400;
        while bench.store.keys("cell/log/").len() > 300 {
            assert!(tokio::time::Instant::now() < end, "not compacted");
            accepted(&service, &format!("job{number}")).await;
            number += 1;
        }
        first.stop(std::future::ready(())).await;
        let second = bench.host("b").service();
        until_shown(&second, "job7", JobProgress::Completed).await;
    });
}
