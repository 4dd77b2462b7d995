//! Jobs that are cancelled while owners change, calls overtake each other, or orders wait.

mod common;

use std::{rc::Rc, time::Duration};

use common::{CellBench, LIMIT, accepted, call, plan, run_local, until, until_shown};
use model::work::JobPlan;
use ports::{CallerAnswer, CallerRequest, CallerService, JobProgress};
use tokio::time::{Instant, sleep};

const LOG: &str = "cell/log/";
const KEPT: &str = "cell/cancel/";
/// Time in which a cancellation has to be acknowledged while the store is well.
const ACK_LIMIT: Duration = Duration::from_secs(4);
/// Time in which an owner that wanted to start something would have.
const SETTLED: Duration = Duration::from_secs(2);

async fn cancel(service: &Rc<dyn CallerService>, job: &str) -> CallerAnswer {
    service
        .answer(call(CallerRequest::Cancel(job.into())))
        .await
}

async fn until_cancelled(service: &Rc<dyn CallerService>, job: &str) {
    let begun = Instant::now();
    loop {
        let answer = cancel(service, job).await;
        if answer == CallerAnswer::Found(JobProgress::Cancelled) {
            return;
        }
        assert!(begun.elapsed() < ACK_LIMIT, "still {answer:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against an owner that starts a job whose caller cancelled it while nobody decided.
#[test]
fn cancel_holds_without_owner() {
    run_local(async {
        let bench = CellBench::without_targets();
        let first = bench.host("a");
        accepted(&first.service(), "job1").await;
        let handle = bench.store.handle();
        handle.fail_lists(LOG);
        let second = bench.host_on("b", &handle);
        first.stop(std::future::ready(())).await;
        let service = second.service();
        until_cancelled(&service, "job1").await;
        handle.answer_lists();
        bench.add_target();
        until_shown(&service, "job1", JobProgress::Cancelled).await;
        sleep(SETTLED).await;
        assert_eq!(bench.targets.started(), 0);
    });
}

/// Guards against running a job whose submission arrives after its cancellation was answered.
#[test]
fn cancel_holds_before_submit() {
    run_local(async {
        let bench = CellBench::new();
        let first = bench.host("a");
        let service = first.service();
        accepted(&service, "other").await;
        until_shown(&service, "other", JobProgress::Completed).await;
        let before = bench.targets.started();
        assert_eq!(cancel(&service, "job1").await, CallerAnswer::NoJob);
        let second = bench.host("b");
        first.stop(std::future::ready(())).await;
        accepted(&second.service(), "job1").await;
        sleep(SETTLED).await;
        assert_eq!(bench.targets.started(), before);
    });
}

/// Guards against sending a start that waited for a connection while its job was cancelled.
#[test]
fn cancel_drops_waiting_starts() {
    run_local(async {
        let bench = CellBench::new();
        let service = bench.host("a").service();
        bench.targets.set_slow(true);
        bench.targets.delay_starts(Duration::from_millis(400));
        let mut wide = plan();
        wide.steps[0].count = 8;
        let wish = CallerRequest::Submit("job1".into(), JobPlan { ..wide });
        until(&service, wish, CallerAnswer::Accepted).await;
        bench.targets.until_started(1).await;
        let sent = bench.targets.started();
        until_cancelled(&service, "job1").await;
        sleep(SETTLED).await;
        assert_eq!(bench.targets.started(), sent);
    });
}

/// Guards against an owner that goes on with a job whose cancellation reached the store only.
#[test]
fn kept_cancel_reaches_owner() {
    run_local(async {
        let bench = CellBench::new();
        bench.targets.set_slow(true);
        let service = bench.host("a").service();
        accepted(&service, "job1").await;
        bench.store.put(&format!("{KEPT}job1"), b"job1");
        until_shown(&service, "job1", JobProgress::Cancelled).await;
        let end = Instant::now() + LIMIT;
        while !bench.store.keys(KEPT).is_empty() {
            assert!(Instant::now() < end, "not moved into the log");
            sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Guards against an owner that hears the store late and starts what callers have cancelled.
#[test]
fn unheard_cancel_holds_starts() {
    run_local(async {
        let bench = CellBench::without_targets();
        let handle = bench.store.handle();
        let service = bench.host_on("a", &handle).service();
        accepted(&service, "job1").await;
        handle.unhear(KEPT);
        bench.store.put(&format!("{KEPT}job1"), b"job1");
        sleep(SETTLED + Duration::from_millis(500)).await;
        bench.add_target();
        sleep(SETTLED).await;
        assert_eq!(bench.targets.started(), 0);
        handle.unhear("");
        until_shown(&service, "job1", JobProgress::Cancelled).await;
        accepted(&service, "job2").await;
        until_shown(&service, "job2", JobProgress::Completed).await;
    });
}

/// Guards against sending a start that waited until it was not known any more what is cancelled.
#[test]
fn unheard_cancel_holds_waiting_starts() {
    run_local(async {
        let bench = CellBench::new();
        let handle = bench.store.handle();
        let service = bench.host_on("a", &handle).service();
        bench.targets.set_slow(true);
        bench.targets.delay_starts(Duration::from_millis(1500));
        let mut wide = plan();
        wide.steps[0].count = 8;
        let wish = CallerRequest::Submit("job1".into(), wide);
        until(&service, wish, CallerAnswer::Accepted).await;
        handle.unhear(KEPT);
        sleep(Duration::from_secs(5)).await;
        // Three at once, and three more before the knowledge is two seconds old.
        assert_eq!(bench.targets.started(), 6);
    });
}

/// Guards against an owner that starts nothing more since it never gets to the end of what is kept:
/// it began anew with the first page after each call that failed.
#[test]
fn kept_cancels_are_read_on() {
    run_local(async {
        let bench = CellBench::new();
        for number in 0..30 {
            bench.store.put(&format!("{KEPT}old{number:02}"), b"");
        }
        let handle = bench.store.handle();
        handle.limit_lists(KEPT, 10, 2);
        let service = bench.host_on("a", &handle).service();
        accepted(&service, "job1").await;
        let completed = CallerAnswer::Found(JobProgress::Completed);
        until(&service, CallerRequest::Status("job1".into()), completed).await;
    });
}

/// Guards against a process that forgets, when it stops, what the store could not take: its caller
/// was left without an answer, and the job would be started after all.
#[test]
fn stop_keeps_waiting_cancels() {
    run_local(async {
        let bench = CellBench::without_targets();
        let handle = bench.store.handle();
        let host = bench.host_on("a", &handle);
        let service = host.service();
        accepted(&service, "job1").await;
        handle.turn_away(true);
        // The lease lapses, so that nobody can record it.
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(cancel(&service, "job1").await, CallerAnswer::Unknown);
        let back = async {
            sleep(Duration::from_secs(1)).await;
            handle.turn_away(false);
        };
        let stopped = async {
            host.stop(std::future::ready(())).await;
            bench.store.value(&format!("{KEPT}job1")).is_some()
        };
        let (kept, ()) = tokio::join!(stopped, back);
        assert!(kept, "forgotten");
    });
}
