//! An owner behind a link that is too narrow for all of its calls and its log.

mod common;

use std::{rc::Rc, time::Duration};

use cell::{CellHost, CellOptions, CellPorts};
use common::*;
use ports::{CallerAction, CallerAnswer};
use tokio::time::{Instant, sleep};
use wire::work::{TargetUse, log_entry::Event};

/// Time within which an urgent task starts.
const URGENT_START_LIMIT: Duration = Duration::from_millis(1600);

/// Guards against a log that grows by a copy of itself with each of several owners with short
/// terms. Behind a narrow link, the next owner reads it for longer than its lease lasts.
#[test]
fn log_stays_compact_across_successors() {
    run_local(async {
        let store = new_store();
        for number in 0..60 {
            let record = large_job(number);
            put_entry(&store, number as usize, Event::Accepted(record));
        }
        let before = log_bytes(&store);
        for name in ["a", "b", "c"] {
            let handle = store.new_handle();
            let _host = start_host(name, &handle, strong_limits());
            wait_for_owner(&store, name).await;
            let end = Instant::now() + Duration::from_millis(500);
            while Instant::now() < end {
                let now = log_bytes(&store);
                assert!(now < before * 3 / 2, "{before} bytes became {now}");
                sleep(Duration::from_millis(1)).await;
            }
            handle.set_cut_off(true);
        }
    });
}

/// A handle through which listing the log of [`put_long_log`] takes this many seconds.
fn slow_handle(store: &MemoryStore, seconds: usize) -> MemoryStore {
    let handle = store.new_handle();
    handle.limit_list_rate(log_bytes(store) / seconds);
    handle
}

/// Guards against a cell without an owner because each new one has to step down before it has read
/// the whole log.
#[test]
fn long_log_is_read_behind_narrow_link() {
    run_local(async {
        let store = new_store();
        put_long_log(&store);
        let _host = start_host("a", &slow_handle(&store, 4), strong_limits());
        wait_for_page(&store, 100).await;
    });
}

/// Guards against a successor that begins to read the log only after its predecessor is gone, while
/// callers and targets wait.
#[test]
fn standby_reads_log_in_advance() {
    run_local(async {
        let store = new_store();
        put_long_log(&store);
        let first_handle = store.new_handle();
        let _first = start_host("a", &first_handle, strong_limits());
        wait_for_owner(&store, "a").await;
        let second = start_host("b", &slow_handle(&store, 2), strong_limits());
        sleep(Duration::from_secs(4)).await;
        first_handle.set_cut_off(true);
        let started_at = Instant::now();
        wait_for_owner(&store, "b").await;
        submit_until_accepted(&second.service(), "job").await;
        assert!(started_at.elapsed() < Duration::from_millis(1500));
    });
}

/// Guards against an owner behind a narrow link that writes the compacted log in pages which time
/// out. It retries the first page again and again, and nothing else is recorded.
#[test]
fn compacted_log_fits_narrow_link() {
    run_local(async {
        let store = new_store();
        for number in 0..140 {
            put_entry(&store, number as usize, Event::Accepted(large_job(number)));
        }
        for number in 40..140 {
            let failed = Event::Failed(format!("job{number}"));
            put_entry(&store, 100 + number as usize, failed);
        }
        let handle = store.new_handle();
        handle.limit_change_bytes(60_000);
        let targets = MemoryTargets::default();
        targets.set_blocked(true);
        let host = start_host_with_targets("a", &handle, narrow_limits(), &targets);
        wait_for_owner(&store, "a").await;
        let service = host.service();
        wait_for_answer(&service, submit("first").request, CallerAnswer::Accepted).await;
        sleep(Duration::from_millis(500)).await;
        let started_at = Instant::now();
        wait_for_answer(&service, submit("second").request, CallerAnswer::Accepted).await;
        assert!(started_at.elapsed() < Duration::from_secs(1));
    });
}

/// Guards against an owner that accepts jobs until the log is too long for the next owner's link.
#[test]
fn long_backlog_refuses_jobs() {
    run_local(async {
        let (store, targets) = (new_store(), MemoryTargets::default());
        let host = start_owner_with_long_log(&store, &targets).await;
        let answer = host.service().answer(submit("job")).await;
        assert!(matches!(answer, CallerAnswer::Refused(_)), "{answer:?}");
    });
}

/// Guards against an owner that counts log entries about targets as a backlog of jobs and refuses
/// the few jobs that arrive.
#[test]
fn used_targets_do_not_count_as_backlog() {
    run_local(async {
        let store = new_store();
        for number in 0..150 {
            let used = TargetUse {
                target: format!("a-target-with-a-long-name-{number}"),
                ..TargetUse::default()
            };
            put_entry(&store, number, Event::Used(used));
        }
        let targets = MemoryTargets::default();
        targets.hold_last(usize::MAX);
        let host = start_host_with_targets("a", &store, narrow_limits(), &targets);
        wait_for_owner(&store, "a").await;
        for job in 0..40 {
            let submitted = submit(&format!("job{job}")).request;
            let accepted = host.service().answer(call(submitted)).await;
            assert_eq!(accepted, CallerAnswer::Accepted, "job {job}");
        }
    });
}

fn log_bytes(store: &MemoryStore) -> usize {
    let pages = store.keys(LOG);
    let bytes = |key: &String| store.value(key).map_or(0, |value| value.len());
    pages.iter().map(bytes).sum()
}

/// Guards against an owner whose narrow link is filled with lists of hosts, one after the other, so
/// that renewals of its lease don't get through.
#[test]
fn host_lists_leave_bandwidth() {
    run_local(async {
        let store = new_store();
        // An incarnation of a target that no poll reaches and that the host list lacks.
        let used = TargetUse {
            target: "t9".to_owned(),
            pool: "pool".to_owned(),
            ..TargetUse::default()
        };
        put_entry(&store, 0, Event::Used(used));
        let control = EmptyHostControl {
            list_delay: Duration::from_millis(200),
            ..EmptyHostControl::default()
        };
        let lists = control.list_count.clone();
        let options = CellOptions::new("a".into(), free_address(), free_address());
        let ports = CellPorts {
            hosts: Rc::new(control),
            ..ports_on(&store, &MemoryTargets::default())
        };
        let _host = start_host_with_ports(options, ports);
        wait_for_owner(&store, "a").await;
        sleep(Duration::from_secs(3)).await;
        // A fifth of three seconds.
        assert!(lists.get() <= 4, "{} lists of 0.2 s in 3 s", lists.get());
    });
}

/// Guards against a new owner that polls all targets at once. Behind a narrow link, their responses
/// delay the renewals of its lease.
#[test]
fn first_polls_leave_bandwidth() {
    run_local(async {
        let (store, targets) = (new_store(), MemoryTargets::default());
        for number in 0..60 {
            store.put(&format!("targets/n{number}"), b"ready");
        }
        let _host = start_host_with_targets("a", &store, narrow_limits(), &targets);
        let end = Instant::now() + LIMIT;
        while targets.polls.get() < 61 {
            assert!(Instant::now() < end, "{} polls", targets.polls.get());
            sleep(Duration::from_millis(5)).await;
        }
        // Responses of 1.5 KB each take 0.1 s of the link.
        assert!(
            targets.max_concurrent_polls.get() <= 16,
            "{}",
            targets.max_concurrent_polls.get()
        );
    });
}

/// Starts an owner behind a narrow link, and submits jobs whose tasks run until the test ends on
/// `target_count` targets that take `start_delay` for each start.
async fn start_owner_with_backlog(
    targets: &MemoryTargets,
    target_count: usize,
    start_delay: Duration,
    jobs: usize,
) -> Rc<CellHost> {
    let store = new_store();
    (0..target_count).for_each(|number| store.put(&format!("targets/n{number}"), b"ready"));
    targets.set_blocked(true);
    let host = start_host_with_targets("a", &store, narrow_limits(), targets);
    wait_for_owner(&store, "a").await;
    sleep(Duration::from_millis(500)).await;
    targets.delay_starts(start_delay);
    for job in 0..jobs {
        let submitted = submit(&format!("job{job}")).request;
        wait_for_answer(&host.service(), submitted, CallerAnswer::Accepted).await;
    }
    host
}

/// Guards against starts that keep an owner behind a narrow link from polling running tasks until
/// the time granted to them is over.
#[test]
fn starts_do_not_starve_polls() {
    run_local(async {
        let targets = MemoryTargets::default();
        let _host = start_owner_with_backlog(&targets, 40, Duration::from_secs(1), 80).await;
        for _ in 0..80 {
            sleep(Duration::from_millis(100)).await;
            let since_grant = targets.longest_since_grant();
            // Five seconds are granted.
            assert!(since_grant < Duration::from_millis(4500), "{since_grant:?}");
        }
    });
}

/// Guards against an urgent start that waits behind hundreds of others because their order was fixed
/// before the link could carry them.
#[test]
fn urgent_start_overtakes_backlog() {
    run_local(async {
        let targets = MemoryTargets::default();
        let start_delay = Duration::from_millis(200);
        let host = start_owner_with_backlog(&targets, 60, start_delay, 120).await;
        let mut service = plan();
        service.steps.truncate(1);
        service.steps[0].long_running = true;
        let submitted = CallerAction::Submit("service".into(), service);
        wait_for_answer(&host.service(), submitted, CallerAnswer::Accepted).await;
        let before = targets.start_count();
        assert!(before < 240, "{before} starts left no backlog");
        sleep(URGENT_START_LIMIT).await;
        let started = targets.starts_by_task.borrow();
        let of_service = started.keys().filter(|task| task.starts_with("service."));
        assert_eq!(of_service.count(), 3);
    });
}

/// Guards against an owner that has to open connections for the renewals of its lease while the log
/// is being transferred over a narrow link.
#[test]
fn renewals_open_connections_before_log() {
    run_local(async {
        let store = new_store();
        let _host = start_host("a", &store, narrow_limits());
        wait_for_owner(&store, "a").await;
        sleep(Duration::from_millis(100)).await;
        assert!(store.renewals() >= 3, "{} renewals", store.renewals());
    });
}
