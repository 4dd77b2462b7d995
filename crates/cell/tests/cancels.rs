//! Cancellations while owners change, calls overtake each other, or orders wait.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    LIMIT, TestCell, call, plan, run_local, submit_until_accepted, wait_for_answer,
    wait_for_progress,
};
use model::work::JobPlan;
use ports::{CallerAction, CallerAnswer, CallerService, JobProgress};
use tokio::time::{Instant, sleep};

const LOG: &str = "cell/log/";
const CANCELLATIONS: &str = "cell/cancel/";
/// Time in which a cancellation has to be acknowledged while the store is healthy.
const ACK_LIMIT: Duration = Duration::from_secs(4);
/// Time after which an owner would have started any task that it intends to start.
const SETTLED: Duration = Duration::from_secs(2);

async fn cancel(service: &Rc<dyn CallerService>, job: &str) -> CallerAnswer {
    service.answer(call(CallerAction::Cancel(job.into()))).await
}

async fn wait_for_cancelled(service: &Rc<dyn CallerService>, job: &str) {
    let started_at = Instant::now();
    loop {
        let answer = cancel(service, job).await;
        if answer == CallerAnswer::Found(JobProgress::Cancelled) {
            return;
        }
        assert!(started_at.elapsed() < ACK_LIMIT, "still {answer:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against an owner that starts a job which was cancelled while the cell had no owner.
#[test]
fn cancel_persists_without_owner() {
    run_local(async {
        let cell = TestCell::without_targets();
        let first = cell.start_host("a");
        submit_until_accepted(&first.service(), "job1").await;
        let handle = cell.store.new_handle();
        handle.fail_lists(LOG);
        let second = cell.start_host_on("b", &handle);
        first.stop(std::future::ready(())).await;
        let service = second.service();
        wait_for_cancelled(&service, "job1").await;
        handle.restore_lists();
        cell.add_target();
        wait_for_progress(&service, "job1", JobProgress::Cancelled).await;
        sleep(SETTLED).await;
        assert_eq!(cell.targets.start_count(), 0);
    });
}

/// Guards against running a job whose submission arrives after its cancellation was answered.
#[test]
fn cancel_before_submit_prevents_start() {
    run_local(async {
        let cell = TestCell::new();
        let first = cell.start_host("a");
        let service = first.service();
        submit_until_accepted(&service, "other").await;
        wait_for_progress(&service, "other", JobProgress::Completed).await;
        let before = cell.targets.start_count();
        assert_eq!(cancel(&service, "job1").await, CallerAnswer::NoJob);
        let second = cell.start_host("b");
        first.stop(std::future::ready(())).await;
        submit_until_accepted(&second.service(), "job1").await;
        sleep(SETTLED).await;
        assert_eq!(cell.targets.start_count(), before);
    });
}

/// Guards against sending a start that waited for a connection while its job was cancelled.
#[test]
fn cancel_drops_waiting_starts() {
    run_local(async {
        let cell = TestCell::new();
        let service = cell.start_host("a").service();
        cell.targets.set_blocked(true);
        cell.targets.delay_starts(Duration::from_millis(400));
        let mut wide = plan();
        wide.steps[0].count = 8;
        let request = CallerAction::Submit("job1".into(), JobPlan { ..wide });
        wait_for_answer(&service, request, CallerAnswer::Accepted).await;
        cell.targets.wait_for_started(1).await;
        let sent = cell.targets.start_count();
        wait_for_cancelled(&service, "job1").await;
        sleep(SETTLED).await;
        assert_eq!(cell.targets.start_count(), sent);
    });
}

/// Guards against an owner that continues a job whose cancellation was only written to the store.
#[test]
fn stored_cancel_reaches_owner() {
    run_local(async {
        let cell = TestCell::new();
        cell.targets.set_blocked(true);
        let service = cell.start_host("a").service();
        submit_until_accepted(&service, "job1").await;
        cell.store.put(&format!("{CANCELLATIONS}job1"), b"job1");
        wait_for_progress(&service, "job1", JobProgress::Cancelled).await;
        let end = Instant::now() + LIMIT;
        while !cell.store.keys(CANCELLATIONS).is_empty() {
            assert!(
                Instant::now() < end,
                "the cancellation was not moved into the log"
            );
            sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Guards against an owner that can't read the stored cancellations and starts a cancelled job.
#[test]
fn unread_cancels_block_starts() {
    run_local(async {
        let cell = TestCell::without_targets();
        let handle = cell.store.new_handle();
        let service = cell.start_host_on("a", &handle).service();
        submit_until_accepted(&service, "job1").await;
        handle.set_unreadable_prefix(CANCELLATIONS);
        cell.store.put(&format!("{CANCELLATIONS}job1"), b"job1");
        sleep(SETTLED + Duration::from_millis(500)).await;
        cell.add_target();
        sleep(SETTLED).await;
        assert_eq!(cell.targets.start_count(), 0);
        handle.set_unreadable_prefix("");
        wait_for_progress(&service, "job1", JobProgress::Cancelled).await;
        submit_until_accepted(&service, "job2").await;
        wait_for_progress(&service, "job2", JobProgress::Completed).await;
    });
}

/// Guards against sending a start that waited until the last read of the cancellations was too old.
#[test]
fn unread_cancels_block_waiting_starts() {
    run_local(async {
        let cell = TestCell::new();
        let handle = cell.store.new_handle();
        let service = cell.start_host_on("a", &handle).service();
        cell.targets.set_blocked(true);
        cell.targets.delay_starts(Duration::from_millis(450));
        let mut wide = plan();
        wide.steps[0].count = 20;
        wide.steps[0].resources.cpu = 200;
        let request = CallerAction::Submit("job1".into(), wide);
        wait_for_answer(&service, request, CallerAnswer::Accepted).await;
        handle.set_unreadable_prefix(CANCELLATIONS);
        sleep(Duration::from_secs(5)).await;
        // Three are sent at once, and twelve more before the last read is two seconds old.
        assert_eq!(cell.targets.start_count(), 15);
    });
}

/// Guards against an owner that starts nothing because it never finishes reading the stored
/// cancellations: the read restarted with the first page after each failed call.
#[test]
fn stored_cancels_read_despite_failures() {
    run_local(async {
        let cell = TestCell::new();
        for number in 0..30 {
            cell.store
                .put(&format!("{CANCELLATIONS}old{number:02}"), b"");
        }
        let handle = cell.store.new_handle();
        handle.limit_lists(CANCELLATIONS, 10, 2);
        let service = cell.start_host_on("a", &handle).service();
        submit_until_accepted(&service, "job1").await;
        let completed = CallerAnswer::Found(JobProgress::Completed);
        wait_for_answer(&service, CallerAction::Status("job1".into()), completed).await;
    });
}

/// Guards against a process that drops, when it stops, the cancellations that the store could not
/// take. Their callers got no answer, and the jobs would be started after all.
#[test]
fn stop_persists_pending_cancels() {
    run_local(async {
        let cell = TestCell::without_targets();
        let handle = cell.store.new_handle();
        let host = cell.start_host_on("a", &handle);
        let service = host.service();
        submit_until_accepted(&service, "job1").await;
        handle.set_cut_off(true);
        // The lease expires, so that no owner can record the cancellation.
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(cancel(&service, "job1").await, CallerAnswer::Unknown);
        let back = async {
            sleep(Duration::from_secs(1)).await;
            handle.set_cut_off(false);
        };
        let stopped = async {
            host.stop(std::future::ready(())).await;
            cell.store.value(&format!("{CANCELLATIONS}job1")).is_some()
        };
        let (kept, ()) = tokio::join!(stopped, back);
        assert!(kept, "the cancellation was dropped");
    });
}
