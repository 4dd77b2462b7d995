//! Measures the shared state of several entry hosts in one process, over loopback sockets
//! and a store in memory: `cargo run --release -p member --example shared_state`.

#![allow(clippy::unwrap_used)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    collections::VecDeque,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use common::{MemoryStore, StoreFaults, TestHost, wait_until};
use model::{Manifest, TeamId};
use ports::{ChangeRequest, ChangeSink, ConfigSource, QuotaPermit, QuotaSource};
use wire::state::{KeyEdit, KeyRecord, SectionEdit};

const IDLE_SPAN: Duration = Duration::from_secs(10);
const CHANGES: usize = 100;
const SHIFTS: usize = 20;
const TEAMS: usize = 110;
const LIMIT: usize = 64;
const HOLD_SPAN: Duration = Duration::from_millis(100);

fn main() {
    for count in [3, 7] {
        let store = Arc::new(MemoryStore::default());
        let hosts = TestHost::start_many(&store, count);
        hosts[0].service.submit(&manifest_change()).unwrap();
        thread::sleep(Duration::from_secs(1));
        measure_idle("idle", &store, &hosts);
        store.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        thread::sleep(Duration::from_secs(1));
        measure_idle("store down", &store, &hosts);
        store.set_faults(StoreFaults::default());
        thread::sleep(Duration::from_secs(1));
        measure_changes(&hosts);
        measure_shifts(&store, &hosts);
    }
}

/// Bytes, messages and processor time while nothing changes.
fn measure_idle(name: &str, store: &MemoryStore, hosts: &[TestHost]) {
    let nodes = hosts.len() as f64;
    let (traffic, cpu, calls) = (sum_traffic(hosts), cpu_time(), store.calls());
    thread::sleep(IDLE_SPAN);
    let seconds = IDLE_SPAN.as_secs_f64();
    let after = sum_traffic(hosts);
    let messages = (after.0 - traffic.0) as f64;
    let per_node = |value: f64| value / nodes / seconds;
    let cpu = (cpu_time() - cpu).as_secs_f64();
    println!(
        "{name}, {nodes} hosts: {:.1} messages/s and {:.0} bytes/s sent per node, \
         {:.2} % of a core per node, {:.1} us a message, {:.2} store calls/s per node",
        per_node(messages),
        per_node((after.1 - traffic.1) as f64),
        per_node(cpu) * 100.0,
        cpu * 1e6 / messages.max(1.0),
        per_node((store.calls() - calls) as f64),
    );
}

/// Time from an operator's request until all hosts have the change in force, and until the
/// operator is told that it is accepted.
fn measure_changes(hosts: &[TestHost]) {
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    let traffic = sum_traffic(hosts);
    for n in 0..CHANGES {
        let begin = Instant::now();
        let outcome = hosts[n % hosts.len()]
            .service
            .submit(&key_change(n))
            .unwrap();
        accepted.push(begin.elapsed());
        for host in hosts {
            wait_until("the change is in force", || {
                host.service.current().revision >= outcome.revision
            });
        }
        in_force.push(begin.elapsed());
    }
    let bytes = sum_traffic(hosts).1 - traffic.1;
    println!(
        "{CHANGES} changes, {} hosts: accepted {}, in force on all {}, {} bytes sent per change and node",
        hosts.len(),
        spread(accepted),
        spread(in_force),
        bytes / CHANGES as u64 / hosts.len() as u64,
    );
}

/// Demand of one team moves from host to host; how much of the limit is usable there.
fn measure_shifts(store: &MemoryStore, hosts: &[TestHost]) {
    let team = TeamId::from("team-000");
    let mut held: Vec<QuotaPermit> = Vec::new();
    let (mut whole, mut usable) = (Vec::new(), Vec::new());
    let (writes, traffic) = (store.writes(), sum_traffic(hosts));
    for n in 0..SHIFTS {
        let host = &hosts[(n * 2 + 1) % hosts.len()];
        held.clear();
        let begin = Instant::now();
        let mut at_second = 0;
        while held.len() < LIMIT && begin.elapsed() < Duration::from_secs(5) {
            held.extend(host.service.try_take(&team));
            let waiting = u32::try_from(LIMIT - held.len()).unwrap();
            host.service.report_waiting(&team, waiting);
            if begin.elapsed() < Duration::from_secs(1) {
                at_second = held.len();
            }
            thread::sleep(Duration::from_micros(500));
        }
        whole.push(begin.elapsed());
        usable.push(at_second * 100 / LIMIT);
        host.service.report_waiting(&team, 0);
    }
    usable.sort_unstable();
    let shifts = SHIFTS as f64;
    println!(
        "{SHIFTS} shifts, {} hosts, limit {LIMIT}: usable after 1 s {} % at worst, {} % median; whole limit {}; \
         {:.1} writes and {:.0} bytes sent by all per shift",
        hosts.len(),
        usable[0],
        usable[SHIFTS / 2],
        spread(whole),
        (store.writes() - writes) as f64 / shifts,
        (sum_traffic(hosts).1 - traffic.1) as f64 / shifts,
    );
    drop(held);
    measure_teams(store, hosts);
    measure_wavering(store, hosts);
}

/// All teams want units on all hosts at once, and then their demand moves on.
fn measure_teams(store: &MemoryStore, hosts: &[TestHost]) {
    for round in 0..2 {
        let begin = Instant::now();
        let writes = store.writes();
        let mut held = Vec::new();
        let mut missing = TEAMS;
        while missing > 0 && begin.elapsed() < Duration::from_secs(60) {
            missing = 0;
            for n in 0..TEAMS {
                let team = TeamId::from(format!("team-{n:03}"));
                let host = &hosts[(n + round) % hosts.len()];
                let (running, _) = usage(host, &team);
                if running < 8 {
                    held.extend(host.service.try_take(&team));
                    host.service.report_waiting(&team, 8 - running);
                    missing += 1;
                } else {
                    host.service.report_waiting(&team, 0);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        let writes = store.writes() - writes;
        println!(
            "{TEAMS} teams, {} hosts, round {round}: all started after {:?}, {writes} writes, {missing} missing",
            hosts.len(),
            begin.elapsed(),
        );
    }
}

/// The worst ordinary load: the demand of each team moves to another host every half second.
fn measure_wavering(store: &MemoryStore, hosts: &[TestHost]) {
    let (writes, traffic, cpu) = (store.writes(), sum_traffic(hosts), cpu_time());
    let begin = Instant::now();
    let (mut held, mut wanted, mut started) = (VecDeque::new(), 0_u64, 0_u64);
    while begin.elapsed() < IDLE_SPAN {
        let turn = (begin.elapsed().as_millis() / 500) as usize;
        for n in 0..TEAMS {
            let team = TeamId::from(format!("team-{n:03}"));
            let host = &hosts[(n * 5 + turn * 3) % hosts.len()];
            wanted += 1;
            if let Some(permit) = host.service.try_take(&team) {
                started += 1;
                held.push_back((Instant::now(), permit));
            }
        }
        while held.front().is_some_and(|(at, _)| at.elapsed() > HOLD_SPAN) {
            held.pop_front();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let seconds = begin.elapsed().as_secs_f64();
    let nodes = hosts.len() as f64;
    println!(
        "wavering, {nodes} hosts, {TEAMS} teams: {:.1} writes/s by all, {:.0} bytes/s sent per node, \
         {:.1} % of a core per node with its callers, {:.1} % of the starts at once",
        (store.writes() - writes) as f64 / seconds,
        (sum_traffic(hosts).1 - traffic.1) as f64 / seconds / nodes,
        (cpu_time() - cpu).as_secs_f64() / seconds / nodes * 100.0,
        started as f64 / wanted as f64 * 100.0,
    );
}

fn usage(host: &TestHost, team: &TeamId) -> (u32, u32) {
    let teams = ports::StatusSource::teams(&*host.service);
    let status = teams.into_iter().find(|status| status.team == *team);
    status.map_or((0, 0), |status| (status.running, status.granted))
}

fn key_change(n: usize) -> ChangeRequest {
    let key_id = format!("key-{n}");
    ChangeRequest {
        change_id: format!("change-{n}").into(),
        author: "ops".to_owned(),
        keys: vec![KeyEdit {
            key_id: key_id.clone(),
            withdrawn: false,
            record: Some(KeyRecord {
                key_id,
                team: "team-000".to_owned(),
                salt: vec![7; 16],
                digest: vec![9; 32],
                ..KeyRecord::default()
            }),
        }],
        ..ChangeRequest::default()
    }
}

fn manifest_change() -> ChangeRequest {
    let mut text = "[deployment]\nname = trial\n".to_owned();
    for n in 0..TEAMS {
        text += &format!("[team.team-{n:03}]\nshare = 1\nlimit = {LIMIT}\n");
    }
    let sections = Manifest::split(&text).unwrap().into_iter();
    ChangeRequest {
        change_id: "manifest".into(),
        author: "ops".to_owned(),
        sections: sections
            .map(|(section, text)| SectionEdit { section, text })
            .collect(),
        ..ChangeRequest::default()
    }
}

fn sum_traffic(hosts: &[TestHost]) -> (u64, u64) {
    let traffic = hosts.iter().map(|host| host.node.traffic());
    traffic.fold((0, 0), |sum, traffic| {
        (sum.0 + traffic.sent_messages, sum.1 + traffic.sent_bytes)
    })
}

/// Processor time of this process: clock ticks of 10 ms, user and system.
fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

fn spread(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let at = |part: usize| times[(times.len() - 1) * part / 100];
    format!(
        "p50 {:.1?}, p99 {:.1?}, max {:.1?}",
        at(50),
        at(99),
        at(100)
    )
}
