//! Callers get a definite answer to a submission wherever that is possible.

mod common;

use std::time::Duration;

use cell::CellHost;
use common::*;
use ports::{CallerAnswer, CallerCall};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Submits a job in the background of the test.
fn submit_in_background(host: &CellHost, job: &str, timeout: Duration) -> JoinHandle<CallerAnswer> {
    let call = CallerCall {
        timeout,
        ..submit(job)
    };
    tokio::task::spawn_local(host.service().answer(call))
}

/// Starts an owner with one slow page write in progress, so that further entries wait for the next
/// page.
async fn owner_with_slow_page(handle: &MemoryStore) -> std::rc::Rc<CellHost> {
    let host = start_host("a", handle, strong_limits());
    wait_for_owner(handle, "a").await;
    submit_until_accepted(&host.service(), "first").await;
    handle.delay_changes(Duration::from_secs(20));
    submit_in_background(&host, "under-way", Duration::from_secs(1));
    sleep(Duration::from_millis(100)).await;
    host
}

/// Guards against telling a caller that its job may have been accepted, so that it can't retry,
/// although the job only waited for another page to be written first.
#[test]
fn submit_refused_while_page_is_pending() {
    run_local(async {
        let store = new_store();
        let host = owner_with_slow_page(&store.new_handle()).await;
        let answer = submit_in_background(&host, "waiting", Duration::from_secs(1)).await;
        assert!(matches!(answer, Ok(CallerAnswer::Refused(_))), "{answer:?}");
    });
}

/// Guards against the same answer if the owner's term ends before the job's page is written.
#[test]
fn submit_refused_when_term_ends() {
    run_local(async {
        let store = new_store();
        let handle = store.new_handle();
        let host = owner_with_slow_page(&handle).await;
        let _second = start_host("b", &store, strong_limits());
        sleep(Duration::from_millis(500)).await;
        let started_at = Instant::now();
        let waiting = submit_in_background(&host, "waiting", Duration::from_secs(4));
        sleep(Duration::from_millis(100)).await;
        handle.set_cut_off(true);
        let answer = waiting.await;
        assert!(matches!(answer, Ok(CallerAnswer::Refused(_))), "{answer:?}");
        assert!(started_at.elapsed() < Duration::from_secs(2));
    });
}

/// Guards against telling a caller that an owner which did not answer may have accepted its job,
/// although the next owner has read the log and knows that it was not recorded.
#[test]
fn submit_refused_when_no_owner_recorded_it() {
    run_local(async {
        let store = new_store();
        put_long_log(&store);
        let handle = store.new_handle();
        let targets = MemoryTargets::default();
        targets.hold_last(usize::MAX);
        let _first = start_host_with_targets("a", &handle, strong_limits(), &targets);
        wait_for_owner(&store, "a").await;
        // Its link is too narrow for the open jobs, so it accepts no further ones.
        let second = start_host_with_targets("b", &store, narrow_limits(), &targets);
        sleep(Duration::from_secs(2)).await;
        handle.delay_changes(Duration::from_secs(20));
        let unanswered = submit_in_background(&second, "unanswered", Duration::from_secs(6));
        sleep(Duration::from_millis(800)).await;
        handle.set_cut_off(true);
        let answer = unanswered.await;
        assert!(matches!(answer, Ok(CallerAnswer::Refused(_))), "{answer:?}");
    });
}
