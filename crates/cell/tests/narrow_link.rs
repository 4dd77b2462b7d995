//! What an owner does behind a link that does not carry all of its calls and its log.

mod common;

use std::{rc::Rc, time::Duration};

use cell::{CellOptions, CellPorts};
use common::*;
use ports::CallerAnswer;
use tokio::time::{Instant, sleep};
use wire::work::{TargetUse, log_entry::Event};

/// Guards against a log that each owner of a row of short terms makes longer by a copy of itself:
/// behind a narrow link the next one reads for longer than its lease lasts.
#[test]
fn successors_leave_dense_log() {
    run_local(async {
        let store = new_store();
        for number in 0..60 {
            let record = large_job(number);
            put_entry(&store, number as usize, Event::Accepted(record));
        }
        let before = log_bytes(&store);
        for name in ["a", "b", "c"] {
            let way = store.handle();
            let _host = start_host(name, &way, strong());
            until_owner(&store, name).await;
            let end = Instant::now() + Duration::from_millis(500);
            while Instant::now() < end {
                let now = log_bytes(&store);
                assert!(now < before * 3 / 2, "{before} bytes became {now}");
                sleep(Duration::from_millis(1)).await;
            }
            way.turn_away(true);
        }
    });
}

/// Lists come so slowly through this handle that the log of [`put_long_log`] takes so many seconds.
fn slow_way(store: &MemoryStore, seconds: usize) -> MemoryStore {
    let way = store.handle();
    way.pace_lists(log_bytes(store) / seconds);
    way
}

/// Guards against a cell without an owner for as long as each that reads the log is told to let
/// another try before it has read it.
#[test]
fn long_log_is_read_behind_narrow_link() {
    run_local(async {
        let store = new_store();
        put_long_log(&store);
        let _host = start_host("a", &slow_way(&store, 4), strong());
        until_page(&store, 100).await;
    });
}

/// Guards against a successor that begins to read the log when its predecessor has gone, while
/// callers and targets wait.
#[test]
fn successor_has_read_log() {
    run_local(async {
        let store = new_store();
        put_long_log(&store);
        let first_way = store.handle();
        let _first = start_host("a", &first_way, strong());
        until_owner(&store, "a").await;
        let second = start_host("b", &slow_way(&store, 2), strong());
        sleep(Duration::from_secs(4)).await;
        first_way.turn_away(true);
        let begun = Instant::now();
        until_owner(&store, "b").await;
        accepted(&second.service(), "job").await;
        assert!(begun.elapsed() < Duration::from_millis(1500));
    });
}

/// Guards against an owner behind a narrow link that writes the shorter log in pages which never get
/// through in time: it tries the first again and again, and nothing else is recorded.
#[test]
fn narrow_link_carries_shorter_log() {
    run_local(async {
        let store = new_store();
        for number in 0..140 {
            put_entry(&store, number as usize, Event::Accepted(large_job(number)));
        }
        for number in 40..140 {
            let failed = Event::Failed(format!("job{number}"));
            put_entry(&store, 100 + number as usize, failed);
        }
        let way = store.handle();
        way.limit_changes(60_000);
        let targets = MemoryTargets::default();
        targets.set_slow(true);
        let host = start_with("a", &way, narrow(), &targets);
        until_owner(&store, "a").await;
        let service = host.service();
        until(&service, submit("first").request, CallerAnswer::Accepted).await;
        sleep(Duration::from_millis(500)).await;
        let begun = Instant::now();
        until(&service, submit("second").request, CallerAnswer::Accepted).await;
        assert!(begun.elapsed() < Duration::from_secs(1));
    });
}

/// Guards against an owner that accepts work until the log is longer than the link of the next one
/// carries in time.
#[test]
fn long_backlog_refuses_jobs() {
    run_local(async {
        let store = new_store();
        put_long_log(&store);
        let targets = MemoryTargets::default();
        targets.set_slow(true);
        let host = start_with("a", &store, narrow(), &targets);
        until_owner(&store, "a").await;
        sleep(Duration::from_millis(500)).await;
        let answer = host.service().answer(submit("job")).await;
        assert!(matches!(answer, CallerAnswer::Refused(_)), "{answer:?}");
    });
}

/// Guards against an owner that takes what its log says of targets for a backlog of jobs, and refuses
/// the few that come.
#[test]
fn used_targets_refuse_no_jobs() {
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
        targets.hold(usize::MAX);
        let host = start_with("a", &store, narrow(), &targets);
        until_owner(&store, "a").await;
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

/// Guards against an owner whose narrow link is taken by lists of hosts, one after the other, so
/// that the renewals of its lease don't get through.
#[test]
fn host_lists_leave_link_free() {
    run_local(async {
        let store = new_store();
        // A life that no look reaches and that the host list lacks.
        let used = TargetUse {
            target: "t9".to_owned(),
            pool: "pool".to_owned(),
            ..TargetUse::default()
        };
        put_entry(&store, 0, Event::Used(used));
        let control = NoControl {
            list_time: Duration::from_millis(200),
            ..NoControl::default()
        };
        let lists = control.lists.clone();
        let options = CellOptions::new("a".into(), free_address(), free_address());
        let ports = CellPorts {
            hosts: Rc::new(control),
            ..ports_on(&store, &MemoryTargets::default())
        };
        let _host = start_on(options, ports);
        until_owner(&store, "a").await;
        sleep(Duration::from_secs(3)).await;
        // A fifth of three seconds.
        assert!(lists.get() <= 4, "{} lists of 0.2 s in 3 s", lists.get());
    });
}

/// Guards against a new owner that looks at all targets at once: behind a narrow link their answers
/// hold back the renewals of its lease.
#[test]
fn first_looks_leave_link_free() {
    run_local(async {
        let (store, targets) = (new_store(), MemoryTargets::default());
        for number in 0..60 {
            store.put(&format!("targets/n{number}"), b"ready");
        }
        let _host = start_with("a", &store, narrow(), &targets);
        let end = Instant::now() + LIMIT;
        while targets.looks.get() < 61 {
            assert!(Instant::now() < end, "{} looks", targets.looks.get());
            sleep(Duration::from_millis(5)).await;
        }
        // 1.5 KB each are 0.1 s of the link.
        assert!(
            targets.most_looks.get() <= 16,
            "{}",
            targets.most_looks.get()
        );
    });
}

/// Guards against starts that keep an owner behind a narrow link from looking at what runs until the
/// time that was granted to it is over.
#[test]
fn starts_leave_looks_their_turn() {
    run_local(async {
        let (store, targets) = (new_store(), MemoryTargets::default());
        (0..40).for_each(|number| store.put(&format!("targets/n{number}"), b"ready"));
        targets.set_slow(true);
        let host = start_with("a", &store, narrow(), &targets);
        until_owner(&store, "a").await;
        sleep(Duration::from_millis(500)).await;
        targets.delay_starts(Duration::from_secs(1));
        for job in 0..80 {
            let submitted = submit(&format!("job{job}")).request;
            until(&host.service(), submitted, CallerAnswer::Accepted).await;
        }
        for _ in 0..80 {
            sleep(Duration::from_millis(100)).await;
            let ungranted = targets.longest_ungranted();
            // Five seconds are granted.
            assert!(ungranted < Duration::from_millis(4500), "{ungranted:?}");
        }
    });
}

/// Guards against an owner that has to open connections for the renewals of its lease while the log
/// is on its way through a narrow link.
#[test]
fn renewals_open_connections_before_log() {
    run_local(async {
        let store = new_store();
        let _host = start_host("a", &store, narrow());
        until_owner(&store, "a").await;
        sleep(Duration::from_millis(100)).await;
        assert!(store.renewals() >= 3, "{} renewals", store.renewals());
    });
}
