//! Callers are told for certain what became of a job that they hand in, as far as anybody can know.

mod common;

use std::time::Duration;

use cell::CellHost;
use common::*;
use ports::{CallerAnswer, CallerCall};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Hands a job in, beside what the test does.
fn hand_in(host: &CellHost, job: &str, timeout: Duration) -> JoinHandle<CallerAnswer> {
    let call = CallerCall {
        timeout,
        ..submit(job)
    };
    tokio::task::spawn_local(host.service().answer(call))
}

/// An owner one of whose pages is under way for long, and others wait for the next.
async fn owner_with_slow_page(way: &MemoryStore) -> std::rc::Rc<CellHost> {
    let host = start_host("a", way, strong());
    until_owner(way, "a").await;
    accepted(&host.service(), "first").await;
    way.delay_changes(Duration::from_secs(20));
    hand_in(&host, "under-way", Duration::from_secs(1));
    sleep(Duration::from_millis(100)).await;
    host
}

/// Guards against a caller that is told its job may have been accepted, and can't try again, though
/// the job waited all the time for a page of the log to be written before its own.
#[test]
fn job_that_waited_for_page_is_refused() {
    run_local(async {
        let store = new_store();
        let host = owner_with_slow_page(&store.handle()).await;
        let answer = hand_in(&host, "waiting", Duration::from_secs(1)).await;
        assert!(matches!(answer, Ok(CallerAnswer::Refused(_))), "{answer:?}");
    });
}

/// Guards against the same answer where the owner's term ends before the job's page is written.
#[test]
fn job_that_waited_for_term_is_refused() {
    run_local(async {
        let store = new_store();
        let way = store.handle();
        let host = owner_with_slow_page(&way).await;
        let _second = start_host("b", &store, strong());
        sleep(Duration::from_millis(500)).await;
        let begun = Instant::now();
        let waiting = hand_in(&host, "waiting", Duration::from_secs(4));
        sleep(Duration::from_millis(100)).await;
        way.turn_away(true);
        let answer = waiting.await;
        assert!(matches!(answer, Ok(CallerAnswer::Refused(_))), "{answer:?}");
        assert!(begun.elapsed() < Duration::from_secs(2));
    });
}

/// Guards against a caller that is told its job may have been accepted by an owner that did not
/// answer, though the next one has read the log and knows that it was not.
#[test]
fn job_that_no_owner_recorded_is_refused() {
    run_local(async {
        let store = new_store();
        put_long_log(&store);
        let way = store.handle();
        let targets = MemoryTargets::default();
        targets.hold(usize::MAX);
        let _first = start_with("a", &way, strong(), &targets);
        until_owner(&store, "a").await;
        // Its link is too narrow for what is open, so that it accepts nothing more.
        let second = start_with("b", &store, narrow(), &targets);
        sleep(Duration::from_secs(2)).await;
        way.delay_changes(Duration::from_secs(20));
        let unanswered = hand_in(&second, "unanswered", Duration::from_secs(6));
        sleep(Duration::from_millis(800)).await;
        way.turn_away(true);
        let answer = unanswered.await;
        assert!(matches!(answer, Ok(CallerAnswer::Refused(_))), "{answer:?}");
    });
}
