//! Tests with several entry hosts in one process, over real sockets and a store in memory.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use common::{MemoryStore, StoreFaults, TestHost, wait_until};
use model::Revision;
use ports::{ChangeError, ChangeRequest, ChangeSink, ConfigSource, MemberSource, ServingGate};
use store::StoredValue;
use wire::state::{KeyEdit, KeyRecord};

fn grant_key(id: &str, base: Option<Revision>) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("grant-{id}").into(),
        author: "ops".to_owned(),
        base,
        sections: Vec::new(),
        keys: vec![KeyEdit {
            key_id: id.to_owned(),
            withdrawn: false,
            record: Some(KeyRecord {
                key_id: id.to_owned(),
                team: "panels".to_owned(),
                ..KeyRecord::default()
            }),
        }],
    }
}

fn withdraw_key(id: &str) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("withdraw-{id}").into(),
        author: "ops".to_owned(),
        keys: vec![KeyEdit {
            key_id: id.to_owned(),
            withdrawn: true,
            record: None,
        }],
        ..ChangeRequest::default()
    }
}

#[test]
fn submit_is_in_force_on_all_hosts() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    let outcome = hosts[0].service.submit(&grant_key("k1", None)).unwrap();
    assert_eq!((outcome.revision, outcome.repeated), (1, false));
    for host in &hosts {
        wait_until("the key is known", || {
            host.service.current().keys.contains_key("k1")
        });
    }
    let again = hosts[1].service.submit(&grant_key("k1", None)).unwrap();
    assert_eq!((again.revision, again.repeated), (1, true));
    hosts[2].service.submit(&withdraw_key("k1")).unwrap();
    wait_until("the key is gone", || {
        hosts[0].service.current().keys.is_empty()
    });
}

// Two operators submit changes based on the same revision. The second must get a conflict that
// names the changed items; otherwise it would overwrite the first change unnoticed.
#[test]
fn submit_second_operator_gets_conflict() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 1);
    hosts[0].service.submit(&grant_key("k1", Some(0))).unwrap();
    let refused = hosts[0].service.submit(&grant_key("k2", Some(0)));
    let conflict = ChangeError::Conflict {
        base: 0,
        newest: 1,
        touched: vec!["key k1".to_owned()],
    };
    assert_eq!(refused, Err(conflict));
}

// A change takes effect and the response of the store is lost. The submission must not fail with
// "nothing was recorded", and the change must not be applied twice.
#[test]
fn submit_lost_response_applies_once() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 1);
    store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let outcome = hosts[0].service.submit(&grant_key("k1", None)).unwrap();
    assert_eq!(outcome.revision, 1);
    assert_eq!(hosts[0].service.current().revision, 1);
}

// The store is down for much longer than a lease. Three hosts that receive each other's
// heartbeats must go on serving, and a submission must fail as unavailable.
#[test]
fn check_majority_serves_in_store_outage() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    for _ in 0..60 {
        thread::sleep(Duration::from_millis(100));
        for host in &hosts {
            assert_eq!(host.service.check(), Ok(()));
        }
    }
    let refused = hosts[0].service.submit(&grant_key("k1", None));
    assert!(matches!(refused, Err(ChangeError::Unavailable(_))));
}

// During a store outage two of three hosts die. The remaining host has no majority and can't
// know what the others accepted, so it must refuse. When the store is back, it serves again.
#[test]
fn check_minority_refuses_in_store_outage() {
    let store = Arc::new(MemoryStore::default());
    let mut hosts = TestHost::start_many(&store, 3);
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    hosts.pop().unwrap().kill();
    hosts.pop().unwrap().kill();
    wait_until("the last host refuses", || !hosts[0].serves());
    store.set_faults(StoreFaults::default());
    hosts[0].await_serving();
}

/// Starts three hosts, grants the key `k1` and lets all watches hang from then on.
fn start_with_hanging_watches() -> Vec<TestHost> {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    hosts[0].service.submit(&grant_key("k1", None)).unwrap();
    store.set_faults(StoreFaults {
        watch_hangs: true,
        ..StoreFaults::default()
    });
    hosts
}

// Watches hang while a key is withdrawn, so callers could go on using the key. Heartbeats must
// deliver the change, and acceptance must wait for a quorum that has it.
#[test]
fn submit_reaches_hosts_with_hanging_watch() {
    let hosts = start_with_hanging_watches();
    hosts[0].service.submit(&withdraw_key("k1")).unwrap();
    for host in &hosts {
        wait_until("the key is gone", || host.service.current().keys.is_empty());
    }
}

#[test]
fn leave_removes_from_list() {
    let store = Arc::new(MemoryStore::default());
    let mut hosts = TestHost::start_many(&store, 3);
    let last = hosts.pop().unwrap();
    last.service.leave();
    assert!(last.service.check().is_err());
    last.service.stop();
    wait_until("the list has two", || hosts[0].service.members().len() == 2);
}

// Three of four hosts are killed at the same time and never return. The remaining host serves on
// store reads, and changes must not wait forever for confirmations of the other three.
#[test]
fn submit_after_majority_died_is_accepted() {
    let store = Arc::new(MemoryStore::default());
    let mut hosts = TestHost::start_many(&store, 4);
    for _ in 0..3 {
        hosts.pop().unwrap().kill();
    }
    wait_until("a change is accepted", || {
        hosts[0].service.submit(&grant_key("k1", None)).is_ok()
    });
    hosts[0].await_serving();
    wait_until("the killed hosts are removed", || {
        hosts[0].service.members().len() == 1
    });
}

// Only one host loses the store, and a key is withdrawn through another host. The first host
// keeps its lease through its peers, so it must get the change from them.
#[test]
fn submit_reaches_host_without_store() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    hosts[0].service.submit(&grant_key("k1", None)).unwrap();
    hosts[2].cut_store();
    hosts[0].service.submit(&withdraw_key("k1")).unwrap();
    wait_until("the key is gone", || {
        hosts[2].service.current().keys.is_empty()
    });
    hosts[2].await_serving();
    let refused = hosts[2].service.submit(&grant_key("k2", None));
    assert!(matches!(refused, Err(ChangeError::Unavailable(_))));
}

// The store is restored from an old copy while the hosts run. Their configuration must not go
// back, and no change may be recorded on top of the old state.
#[test]
fn submit_to_restored_old_store_is_refused() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    hosts[0].service.submit(&grant_key("k1", None)).unwrap();
    let old = store.copy();
    hosts[0].service.submit(&withdraw_key("k1")).unwrap();
    store.restore(old);
    let refused = hosts[1].service.submit(&grant_key("k2", None));
    assert!(matches!(refused, Err(ChangeError::Unavailable(_))));
    assert!(hosts.iter().all(|h| h.service.current().keys.is_empty()));
    assert!(hosts.iter().all(TestHost::serves));
}

// A host that missed a withdrawal reads an old copy of the store. What it records would put the
// withdrawn key in force again, so it has to ask a quorum first.
#[test]
fn submit_of_host_behind_restored_store_is_refused() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    let old = withdraw_behind_host(&store, &hosts);
    store.restore(old);
    let refused = hosts[1].service.submit(&grant_key("k", None));
    assert!(matches!(refused, Err(ChangeError::Unavailable(_))));
    assert!(hosts.iter().all(|h| h.service.current().keys.is_empty()));
    let started = Instant::now();
    let refused = hosts[0].service.submit(&grant_key("k", None));
    assert!(matches!(refused, Err(ChangeError::Unavailable(_))));
    assert!(started.elapsed() < Duration::from_secs(1));
}

/// Withdraws a key while `e2` is cut off, and returns the store as it was before. Tries again if a
/// change of the member list restored the links meanwhile.
fn withdraw_behind_host(store: &MemoryStore, hosts: &[TestHost]) -> BTreeMap<String, StoredValue> {
    let (behind, others) = (&hosts[1], [&hosts[0], &hosts[2]]);
    for attempt in 0..20 {
        let key = format!("k{attempt}");
        store.set_faults(StoreFaults::default());
        hosts[0].service.submit(&grant_key(&key, None)).unwrap();
        wait_until("the key is known", || {
            behind.service.current().keys.contains_key(key.as_str())
        });
        let old = store.copy();
        store.set_faults(StoreFaults {
            watch_hangs: true,
            ..StoreFaults::default()
        });
        behind.cut_store();
        for host in others {
            host.node.remove_peer(&"e2".into());
        }
        hosts[0].service.submit(&withdraw_key(&key)).unwrap();
        behind.restore_store();
        for host in others {
            let address = behind.node.peer_address();
            host.node.set_peer(&"e2".into(), address).unwrap();
        }
        if !behind.service.current().keys.is_empty() {
            return old;
        }
    }
    panic!("the host got each change");
}

// An operator is told that a key is withdrawn while one host, which is cut off, goes on taking it.
#[test]
fn submit_is_in_force_or_refused_everywhere() {
    let hosts = start_with_hanging_watches();
    hosts[2].cut_store();
    for host in &hosts[..2] {
        host.node.remove_peer(&"e3".into());
    }
    hosts[0].service.submit(&withdraw_key("k1")).unwrap();
    let taken = |host: &TestHost| host.serves() && !host.service.current().keys.is_empty();
    assert!(!hosts.iter().any(taken));
}
