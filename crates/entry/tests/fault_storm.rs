//! Three entry hosts, four failing targets, and callers that repeat failed requests. The
//! outcomes that the callers got are compared with the runs recorded by the targets.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use fake::{
    ExecutorFake, ExecutorFaults, ExecutorSettings, FaultRate, RunRecord, WorkOrder,
    expected_answer,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use support::{CallReply, Caller, EntryFixture, FixtureSetup, OTHER_KEY, OTHER_TEAM, TEAM};

const HOSTS: usize = 3;
const TARGETS: usize = 4;
const CALLERS: u64 = 16;
const REQUESTS: u64 = 15;
/// Quota units per team on each entry host.
const UNITS: u32 = 2;

/// All responses that a caller got for one request, including its repetitions.
struct CallRecord {
    nonce: String,
    idempotent: bool,
    replies: Vec<CallReply>,
    expected: Vec<u8>,
}

/// Targets swap, truncate, lose and delay responses, drain and reboot, while callers repeat
/// requests through random entry hosts. No non-idempotent request runs twice, no caller
/// gets the response of another request, and "not run" is always true.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
fn fault_storm_history(#[case] seed: u64) {
    let executors: Vec<ExecutorFake> = (0..TARGETS).map(|index| executor(seed, index)).collect();
    let hosts = entry_hosts(&executors);
    let over = Arc::new(AtomicBool::new(false));
    let addresses: Vec<String> = executors.iter().map(ExecutorFake::address).collect();
    let disturber = {
        let over = Arc::clone(&over);
        thread::spawn(move || disturb_targets(seed, &addresses, &over))
    };
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let ports: Vec<Caller> = hosts.iter().map(EntryFixture::caller).collect();
            thread::spawn(move || run_caller(seed, caller, &ports))
        })
        .collect();
    let records: Vec<CallRecord> = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect();
    over.store(true, Ordering::Release);
    disturber.join().unwrap();
    // Requests whose response was lost may run until their deadline.
    thread::sleep(Duration::from_secs(1));
    let runs: Vec<RunRecord> = executors.iter().flat_map(ExecutorFake::runs).collect();
    check_outcomes(&records, &runs);
    check_limits(&runs);
    let surplus: u64 = executors
        .iter()
        .map(|executor| executor.counts().over_connections)
        .sum();
    assert_eq!(surplus, 0, "connections over the limit of a target");
}

fn executor(seed: u64, index: usize) -> ExecutorFake {
    let settings = ExecutorSettings {
        reboot: Duration::from_millis(200),
        ..ExecutorSettings::default()
    };
    let executor = ExecutorFake::start("127.0.0.1:0", settings).unwrap();
    executor.set_faults(ExecutorFaults {
        lose_answers: FaultRate::by_chance(0.05),
        cross_answers: FaultRate::by_chance(0.05),
        truncate_answers: FaultRate::by_chance(0.05),
        late_answers: FaultRate::by_chance(0.02),
        late_ms: 1500,
        seed: seed * 100 + index as u64,
        ..ExecutorFaults::default()
    });
    executor
}

fn entry_hosts(executors: &[ExecutorFake]) -> Vec<EntryFixture> {
    let addresses: Vec<String> = executors.iter().map(ExecutorFake::address).collect();
    let mesh = Arc::default();
    let host = |own| {
        let setup = FixtureSetup {
            slots: 2,
            members: vec![("e1", 1), ("e2", 1), ("e3", 1)],
            own,
            mesh: Arc::clone(&mesh),
            ..FixtureSetup::default()
        };
        let fixture = EntryFixture::start_at(&addresses, setup);
        for team in [TEAM, OTHER_TEAM] {
            fixture.quotas.limits.lock().insert(team.into(), UNITS);
        }
        fixture
    };
    (0..HOSTS).map(host).collect()
}

/// Drains and reboots random targets.
fn disturb_targets(seed: u64, addresses: &[String], over: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !over.load(Ordering::Acquire) {
        let address = &addresses[rng.random_range(0..addresses.len())];
        let call = if rng.random_bool(0.5) {
            "drain"
        } else {
            "reboot"
        };
        // A target that is rebooting refuses this call as well.
        let _ = ureq::post(format!("http://{address}/v1/{call}")).send_empty();
        thread::sleep(Duration::from_millis(rng.random_range(50..300)));
        let _ = ureq::post(format!("http://{address}/v1/undrain")).send_empty();
    }
}

fn run_caller(seed: u64, caller: u64, ports: &[Caller]) -> Vec<CallRecord> {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + caller);
    (0..REQUESTS)
        .map(|number| send_with_repeats(&mut rng, &format!("{caller}-{number}"), ports))
        .collect()
}

fn send_with_repeats(rng: &mut StdRng, nonce: &str, ports: &[Caller]) -> CallRecord {
    let idempotent = rng.random_bool(0.4);
    let order = WorkOrder {
        service: Some(Duration::from_millis(rng.random_range(1..30))),
        answer: Some(rng.random_range(1..20_000)),
        nonce: nonce.to_owned(),
    };
    let body = order.body(0);
    let mut port = || ports[rng.random_range(0..ports.len())].clone();
    let key = if nonce.len().is_multiple_of(2) {
        support::KEY
    } else {
        OTHER_KEY
    };
    let id = port().with_key(key).mint();
    let mut replies = Vec::new();
    for _ in 0..3 {
        let caller = port()
            .with_key(key)
            .with("request-id", &id)
            .with("deadline-ms", "1000")
            .with("idempotent", if idempotent { "true" } else { "false" });
        let reply = caller.ask(&body);
        let done = reply.status == 200;
        replies.push(reply);
        if done {
            break;
        }
    }
    CallRecord {
        nonce: nonce.to_owned(),
        idempotent,
        replies,
        expected: expected_answer(&body),
    }
}

fn check_outcomes(records: &[CallRecord], runs: &[RunRecord]) {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        *counts.entry(&run.nonce).or_default() += 1;
    }
    let mut answered = 0;
    for record in records {
        let nonce = &record.nonce;
        let runs = counts.get(nonce.as_str()).copied().unwrap_or_default();
        if !record.idempotent {
            assert!(runs <= 1, "{nonce} ran {runs} times");
        }
        for reply in &record.replies {
            if reply.status == 200 {
                answered += 1;
                assert!(
                    reply.body == record.expected,
                    "{nonce} got the wrong response"
                );
                assert!(runs >= 1, "{nonce} was answered but did not run");
            }
        }
        let never = |reply: &CallReply| reply.status != 200 && reply.fate() == "not-run";
        if record.replies.iter().all(never) {
            assert_eq!(runs, 0, "{nonce} ran although all responses said not-run");
        }
    }
    // Without enough responses the checks above would prove little.
    assert!(
        answered * 2 > records.len(),
        "{answered} of {} answered",
        records.len()
    );
}

/// No team ever ran more requests at once than its units on all entry hosts.
fn check_limits(runs: &[RunRecord]) {
    let most = i32::try_from(HOSTS).unwrap() * i32::try_from(UNITS).unwrap();
    for team in [TEAM, OTHER_TEAM] {
        let mut steps: Vec<(u64, i32)> = runs
            .iter()
            .filter(|run| run.team == team)
            .flat_map(|run| [(run.start_ns, 1), (run.end_ns.max(run.start_ns), -1)])
            .collect();
        steps.sort_unstable();
        let mut running = 0;
        for (_, step) in steps {
            running += step;
            assert!(running <= most, "{team} ran {running} at once");
        }
    }
}
