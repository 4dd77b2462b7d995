//! What log lines and metrics say of a task that is started a second time.

mod common;

use std::{rc::Rc, time::Duration};

use cell::CellHost;
use common::*;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::time::{Instant, sleep};
use wire::work::OwnerRecord;

use prost::Message;

/// Longer than a predecessor may go on without the store, and a lease after that.
const LONGEST_TAKEOVER: Duration = Duration::from_secs(40);

/// Runs a test that collects log lines and metrics.
fn run_logged<T: Future<Output = ()>>(test: impl FnOnce(LogCapture, PrometheusHandle) -> T) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _guard = metrics::set_default_local_recorder(&recorder);
    run_local(test(LogCapture::start(), recorder.handle()));
}

/// Waits for a line of an event with all of these parts, and returns the first one.
async fn wait_for_line(log: &LogCapture, name: &str, parts: &[&str]) -> String {
    let end = Instant::now() + LONGEST_TAKEOVER;
    loop {
        if let Some(line) = log.lines(name, parts).into_iter().next() {
            return line;
        }
        assert!(
            Instant::now() < end,
            "no {name} {parts:?} in {:#?}",
            log.all()
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// The value of a metric; `None` if it was never recorded.
fn metric_value(handle: &PrometheusHandle, name: &str) -> Option<f64> {
    let text = handle.render();
    let mut lines = text.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
}

/// The value of a key in a line.
fn value_of<'a>(line: &'a str, key: &str) -> &'a str {
    let words = line.split(' ');
    let mut values = words.filter_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    values.next().unwrap_or_default()
}

/// A store that knows a process which promises nothing, so that an owner without the store may not
/// be the only one.
fn store_with_silent_member() -> MemoryStore {
    let store = new_store();
    let record = OwnerRecord {
        member: "silent".to_owned(),
        address: free_address().to_string(),
        ..OwnerRecord::default()
    };
    store.put("cell/member/silent", &record.encode_to_vec());
    store
}

/// Starts an owner, with a job of which three tasks run and do not end.
async fn start_busy_owner(
    name: &str,
    store: &MemoryStore,
    targets: &MemoryTargets,
) -> Rc<CellHost> {
    targets.set_blocked(true);
    let owner = start_host_with_targets(name, store, strong_limits(), targets);
    wait_for_owner(store, name).await;
    submit_until_accepted(&owner.service(), "job1").await;
    targets.wait_for_started(3).await;
    owner
}

/// Guards against an owner that renews the leases of tasks beyond its own lease, and whose log shows
/// neither that nor for how long. One line has to do for all targets and polls.
#[test]
fn renewals_beyond_lease_logged_once() {
    run_logged(async |log, metrics| {
        let (store, targets) = (store_with_silent_member(), MemoryTargets::default());
        let _host = start_busy_owner("first", &store, &targets).await;
        store.set_mode(StoreMode::Refuses);
        let line = wait_for_line(&log, "term-extending", &["target=t1"]).await;
        let allowed = value_of(&line, "allowed_ms").parse::<u64>();
        assert!(
            allowed.is_ok_and(|allowed| (1..=6500).contains(&allowed)),
            "{line}"
        );
        sleep(Duration::from_secs(3)).await;
        assert_eq!(log.lines("term-extending", &[]).len(), 1);
        let renewals = metric_value(&metrics, "lws_cell_unsure_renewals");
        assert!(
            renewals.is_some_and(|renewals| renewals >= 2.0),
            "{renewals:?}"
        );
        store.set_mode(StoreMode::Normal);
        let end = Instant::now() + LIMIT;
        let summaries = || {
            let mut lines = log.lines("term-ended", &[" renewals="]);
            lines.extend(log.lines("term-calm", &[" renewals="]));
            lines
        };
        while summaries().is_empty() {
            assert!(Instant::now() < end);
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(summaries().len(), 1);
        assert!(
            summaries()[0].contains(" since_renewal_ms="),
            "{summaries:?}",
            summaries = summaries()
        );
    });
}

/// Guards against a task that runs twice without a trace of the decision. The owner is cut off from
/// the store and from all targets but one, which its successor does not reach.
#[test]
fn second_start_by_successor_traced() {
    run_logged(async |log, metrics| {
        let (store, targets) = (store_with_silent_member(), MemoryTargets::default());
        store.put("targets/t2", b"ready");
        targets.set_unreachable(&["t2"]);
        let first_handle = store.new_handle();
        let _first = start_busy_owner("first", &first_handle, &targets).await;
        let started = wait_for_line(&log, "task-placed", &["target=t1", "after=never"]).await;
        first_handle.set_cut_off(true);
        let second_targets = targets.new_handle();
        second_targets.set_unreachable(&["t1"]);
        let _second = start_host_with_targets("second", &store, strong_limits(), &second_targets);
        wait_for_owner(&store, "second").await;
        let lost = wait_for_line(&log, "target-lost", &["target=t1", "why=lapsed"]).await;
        for part in [
            "runs=0",
            "inherited=true",
            "polled=false",
            "reached=1",
            "listed=2",
        ] {
            assert!(lost.contains(part), "{part}: {lost}");
        }
        let task = format!("task={} ", value_of(&started, "task"));
        let again = wait_for_line(&log, "task-placed", &[&task, "target=t2"]).await;
        assert!(again.contains(" after=unseen"), "{again}");
        let token = |attempt: &str| attempt.parse::<u64>().unwrap_or_default() / 10_000;
        assert_eq!(
            token(value_of(&again, "attempt")).to_string(),
            value_of(&lost, "token")
        );
        assert!(token(value_of(&started, "attempt")) < token(value_of(&again, "attempt")));
        second_targets.set_unreachable(&[]);
        let earlier = format!(" attempt={} ", value_of(&started, "attempt"));
        wait_for_line(&log, "task-unwanted", &[&task, &earlier, " target=t1"]).await;
        let count = r#"lws_cell_since_grant_seconds_count{cause="lapsed"}"#;
        assert_eq!(metric_value(&metrics, count), Some(1.0));
    });
}

/// Guards against a task that runs twice under one owner without a trace of the decision: polls of
/// its target are not answered, but renew the leases there.
#[test]
fn second_start_after_lost_answers_traced() {
    run_logged(async |log, metrics| {
        let (store, targets) = (new_store(), MemoryTargets::default());
        let _owner = start_busy_owner("owner", &store, &targets).await;
        store.put("targets/t2", b"ready");
        sleep(Duration::from_millis(500)).await;
        targets.set_unreachable(&["t1"]);
        wait_for_line(
            &log,
            "order-failed",
            &["kind=look", "renews=true", "took_ms="],
        )
        .await;
        let lost = wait_for_line(&log, "target-lost", &["target=t1", "why=lapsed"]).await;
        for part in [
            "runs=3",
            "inherited=false",
            "polled=true",
            "since_grant_ms=",
        ] {
            assert!(lost.contains(part), "{part}: {lost}");
        }
        let again = wait_for_line(&log, "task-placed", &["target=t2", "after=lapsed"]).await;
        let attempt = value_of(&again, "prev_attempt");
        assert_eq!(value_of(&again, "prev_target"), "t1");
        let task = format!("task={} ", value_of(&again, "task"));
        let earlier = format!(" attempt={attempt} ");
        let placed = log.lines("task-placed", &[&task, &earlier, " target=t1"]);
        assert_eq!(placed.len(), 1);
        let given_up = r#"lws_cell_runs_given_up{cause="lapsed"}"#;
        assert_eq!(metric_value(&metrics, given_up), Some(3.0));
        targets.set_unreachable(&[]);
        let found = [task.as_str(), "target=t1", "given_up=lapsed"];
        wait_for_line(&log, "task-unwanted", &found).await;
    });
}

/// Guards against a task that runs twice because an entry of the host list ends a target that lives,
/// without a line that names the entry.
#[test]
fn second_start_after_new_entry_traced() {
    run_logged(async |log, metrics| {
        let (store, targets) = (new_store(), MemoryTargets::default());
        let _owner = start_busy_owner("owner", &store, &targets).await;
        store.put("targets/t2", b"ready");
        sleep(Duration::from_millis(500)).await;
        store.put("targets/t1", b"restarted");
        let lost = wait_for_line(&log, "target-lost", &["target=t1", "why=reborn"]).await;
        assert!(lost.contains(" fact=entry runs=3 "), "{lost}");
        let since_grant = value_of(&lost, "since_grant_ms").parse::<u64>();
        assert!(since_grant.is_ok_and(|since| since < 5000), "{lost}");
        let again = wait_for_line(&log, "task-placed", &["target=t2", "after=reborn"]).await;
        assert_eq!(value_of(&again, "prev_target"), "t1");
        let given_up = r#"lws_cell_runs_given_up{cause="reborn"}"#;
        assert_eq!(metric_value(&metrics, given_up), Some(3.0));
    });
}

/// Guards against a task that runs twice because its first start was held up, without lines that tell
/// the late run from one that was given up too early.
#[test]
fn second_start_after_late_start_traced() {
    run_logged(async |log, _| {
        let (store, targets) = (new_store(), MemoryTargets::default());
        targets.set_blocked(true);
        targets.hold_starts(Duration::from_secs(5));
        let owner = start_host_with_targets("owner", &store, strong_limits(), &targets);
        wait_for_owner(&store, "owner").await;
        submit_until_accepted(&owner.service(), "job1").await;
        let unsure = wait_for_line(&log, "task-unsure", &["target=t1"]).await;
        targets.hold_starts(Duration::ZERO);
        let task = format!("task={} ", value_of(&unsure, "task"));
        let again = wait_for_line(&log, "task-placed", &[&task, "after=stop-answered"]).await;
        let late = value_of(&unsure, "attempt");
        assert_eq!(value_of(&again, "prev_attempt"), late);
        let late = format!(" attempt={late} ");
        wait_for_line(
            &log,
            "task-unwanted",
            &[&task, &late, "given_up=stop-answered"],
        )
        .await;
    });
}
