//! Data centres that operators drain while starts wait, watches miss changes, or reads fail.

mod common;

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use common::{
    MemoryStore, TestCell, plan, run_local, submit_until_accepted, wait_for_answer, wait_for_owner,
    wait_for_progress,
};
use ports::{CallerAction, CallerAnswer, CallerService, JobProgress};
use tokio::time::sleep;

/// Prefix of the operators' requests.
const REQUESTS: &str = "op/";
/// Drains the data centre of all targets.
const DRAIN: &str = "op/drain/north";
/// Time after which an owner would have started any task that it intends to start.
const SETTLED: Duration = Duration::from_secs(1);
/// Age of the last read of the requests beyond which nothing is started.
const REQUESTS_MAX_AGE: Duration = Duration::from_secs(3);
/// How long answers take behind a full link.
const FULL_LINK_DELAY: Duration = Duration::from_millis(300);

fn drain(store: &MemoryStore) {
    store.put(DRAIN, b"{}");
}

async fn assert_waits(cell: &TestCell, service: &Rc<dyn CallerService>, job: &str) {
    let before = cell.targets.start_count();
    submit_until_accepted(service, job).await;
    sleep(SETTLED).await;
    assert_eq!(cell.targets.start_count(), before);
}

/// Guards against starts in a drained data centre, and against work that never starts once it is
/// restored.
#[test]
fn drained_data_centre_waits_until_restored() {
    run_local(async {
        let cell = TestCell::new();
        drain(&cell.store);
        let service = cell.start_host("a").service();
        assert_waits(&cell, &service, "job1").await;
        cell.store.remove(DRAIN);
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
    });
}

/// Guards against a successor whose first start is in a data centre that was drained in the term
/// of its predecessor.
#[test]
fn drained_data_centre_binds_successor() {
    run_local(async {
        let cell = TestCell::new();
        let first = cell.start_host("a");
        submit_until_accepted(&first.service(), "job1").await;
        wait_for_progress(&first.service(), "job1", JobProgress::Completed).await;
        let second = cell.start_host("b");
        drain(&cell.store);
        first.stop(std::future::ready(())).await;
        assert_waits(&cell, &second.service(), "job2").await;
    });
}

/// Guards against a drain, or its end, that is missed because the store dropped the history that
/// the watch needed.
#[test]
fn drains_survive_lost_history() {
    run_local(async {
        let cell = TestCell::new();
        let service = cell.start_host("a").service();
        submit_until_accepted(&service, "job1").await;
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
        cell.store.change_unseen(drain);
        sleep(SETTLED).await;
        assert_waits(&cell, &service, "job2").await;
        cell.store.change_unseen(|store| store.remove(DRAIN));
        wait_for_progress(&service, "job2", JobProgress::Completed).await;
    });
}

/// Guards against an owner that can't read the operators' requests and starts tasks in a data centre
/// that was drained meanwhile.
#[test]
fn unread_requests_block_starts() {
    run_local(async {
        let cell = TestCell::without_targets();
        let handle = cell.store.new_handle();
        let service = cell.start_host_on("a", &handle).service();
        submit_until_accepted(&service, "job1").await;
        handle.set_unreadable_prefix(REQUESTS);
        drain(&cell.store);
        sleep(REQUESTS_MAX_AGE).await;
        cell.add_target();
        sleep(SETTLED).await;
        assert_eq!(cell.targets.start_count(), 0);
        cell.store.remove(DRAIN);
        handle.set_unreadable_prefix("");
        wait_for_progress(&service, "job1", JobProgress::Completed).await;
    });
}

/// Guards against sending a start that waited for a connection to its target while its data centre
/// was drained.
#[test]
fn drained_data_centre_stops_waiting_starts() {
    run_local(async {
        let cell = TestCell::new();
        let service = cell.start_host("a").service();
        cell.targets.set_blocked(true);
        cell.targets.delay_starts(Duration::from_millis(450));
        let mut wide = plan();
        wide.steps[0].count = 8;
        let request = CallerAction::Submit("job1".into(), wide);
        wait_for_answer(&service, request, CallerAnswer::Accepted).await;
        cell.targets.wait_for_started(3).await;
        drain(&cell.store);
        sleep(SETTLED * 2).await;
        // Three are sent at once; the others wait for their answers.
        assert_eq!(cell.targets.start_count(), 3);
    });
}

/// Starts one job of many tasks, which wait for their target for about four seconds, and checks that
/// the first start of each was sent.
async fn assert_no_start_withdrawn(cell: &TestCell, service: &Rc<dyn CallerService>) {
    const TASKS: u32 = 80;
    cell.targets.delay_starts(Duration::from_millis(150));
    let mut wide = plan();
    wide.steps[0].count = TASKS;
    wide.steps[0].resources.cpu = 1;
    let request = CallerAction::Submit("wide".into(), wide);
    wait_for_answer(service, request, CallerAnswer::Accepted).await;
    cell.targets.wait_for_started(TASKS as usize).await;
    let orders = cell.targets.start_orders.borrow();
    let first = orders[0].attempt;
    let mut sent = BTreeSet::new();
    let first_sent = orders.iter().filter(|order| sent.insert(&order.task));
    let withdrawn = first_sent.filter(|order| order.attempt != first);
    assert_eq!(withdrawn.count(), 0, "tasks of which a start was withdrawn");
}

/// Guards against an owner that takes the operators' requests for unread although the store answers
/// each of its watches, and withdraws the starts that wait.
#[test]
fn calm_watches_keep_requests_current() {
    run_local(async {
        let cell = TestCell::new();
        let handle = cell.store.new_handle();
        handle.delay_watches(FULL_LINK_DELAY);
        let service = cell.start_host_on("a", &handle).service();
        assert_no_start_withdrawn(&cell, &service).await;
    });
}

/// Guards against a new owner whose last watch as a standby outlasts what it knows of the requests.
#[test]
fn requests_are_current_after_election() {
    run_local(async {
        let cell = TestCell::new();
        let first = cell.start_host("a");
        wait_for_owner(&cell.store, "a").await;
        let handle = cell.store.new_handle();
        handle.delay_watches(FULL_LINK_DELAY);
        let second = cell.start_host_on("b", &handle);
        // The watch of the standby has just been sent again.
        sleep(Duration::from_millis(1900)).await;
        first.stop(std::future::ready(())).await;
        wait_for_owner(&cell.store, "b").await;
        assert_no_start_withdrawn(&cell, &second.service()).await;
    });
}
