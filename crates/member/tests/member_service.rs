//! Several entry hosts in one process, over real sockets and a store in memory.

#![allow(clippy::unwrap_used)]

mod common;

use std::{sync::Arc, thread, time::Duration};

use common::{MemoryStore, StoreFaults, TestHost, wait_until};
use model::Revision;
use ports::{ChangeError, ChangeRequest, ChangeSink, ConfigSource, MemberSource, ServingGate};
use wire::state::{KeyEdit, KeyRecord};

fn grant(id: &str, base: Option<Revision>) -> ChangeRequest {
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

fn withdraw(id: &str) -> ChangeRequest {
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
    let outcome = hosts[0].service.submit(&grant("k1", None)).unwrap();
    assert_eq!((outcome.revision, outcome.repeated), (1, false));
    for host in &hosts {
        wait_until("the key is known", || {
            host.service.current().keys.contains_key("k1")
        });
    }
    let again = hosts[1].service.submit(&grant("k1", None)).unwrap();
    assert_eq!((again.revision, again.repeated), (1, true));
    hosts[2].service.submit(&withdraw("k1")).unwrap();
    wait_until("the key is gone", || {
        hosts[0].service.current().keys.is_empty()
    });
}

// Two operators prepare changes against the same revision. The first wins; the second must
// learn that it lost and what changed, or it would overwrite the first unseen.
#[test]
fn submit_second_operator_gets_conflict() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 1);
    hosts[0].service.submit(&grant("k1", Some(0))).unwrap();
    let refused = hosts[0].service.submit(&grant("k2", Some(0)));
    let conflict = ChangeError::Conflict {
        base: 0,
        newest: 1,
        touched: vec!["key k1".to_owned()],
    };
    assert_eq!(refused, Err(conflict));
}

// The store takes a change and its answer is lost. The operator must not be told that
// nothing was recorded, and the change must not be made twice.
#[test]
fn submit_lost_answer_counts_once() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 1);
    store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let outcome = hosts[0].service.submit(&grant("k1", None)).unwrap();
    assert_eq!(outcome.revision, 1);
    assert_eq!(hosts[0].service.current().revision, 1);
}

// The store is down for much longer than a lease. Callers must not notice: three hosts that
// hear each other go on serving, and operators are told that nothing was recorded.
#[test]
fn gate_outage_majority_serves() {
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
    let refused = hosts[0].service.submit(&grant("k1", None));
    assert!(matches!(refused, Err(ChangeError::Unavailable(_))));
}

// In an outage of the store two of three hosts die. The one left hears no majority: it can't
// know what the others accepted, so it must refuse. When the store is back it serves.
#[test]
fn gate_outage_minority_refuses() {
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

// A host's watch hangs while a key is withdrawn: its callers could go on using the key. The
// beats of the others tell it, and acceptance waits for a quorum that knows.
#[test]
fn submit_hanging_watch_learns_by_beats() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    hosts[0].service.submit(&grant("k1", None)).unwrap();
    store.set_faults(StoreFaults {
        watch_hangs: true,
        ..StoreFaults::default()
    });
    hosts[0].service.submit(&withdraw("k1")).unwrap();
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

// Three of four hosts end at once, killed, and never come back. The one left serves on store
// reads; operators must not wait for ever for the three to confirm their changes.
#[test]
fn submit_after_majority_died_is_accepted() {
    let store = Arc::new(MemoryStore::default());
    let mut hosts = TestHost::start_many(&store, 4);
    for _ in 0..3 {
        hosts.pop().unwrap().kill();
    }
    wait_until("a change is accepted", || {
        hosts[0].service.submit(&grant("k1", None)).is_ok()
    });
    hosts[0].await_serving();
    wait_until("the dead are off the list", || {
        hosts[0].service.members().len() == 1
    });
}

// One host alone loses the store, and a key is withdrawn through another. The host goes on
// serving on its peers' word, so it must get the change from them.
#[test]
fn submit_reaches_host_without_store() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    hosts[0].service.submit(&grant("k1", None)).unwrap();
    hosts[2].cut_store();
    hosts[0].service.submit(&withdraw("k1")).unwrap();
    wait_until("the key is gone", || {
        hosts[2].service.current().keys.is_empty()
    });
    hosts[2].await_serving();
    let refused = hosts[2].service.submit(&grant("k2", None));
    assert!(matches!(refused, Err(ChangeError::Unavailable(_))));
}

// The store is restored from an old copy while the hosts run. What they hold must not go
// back, and nothing may be recorded on top of the old state.
#[test]
fn submit_store_went_back_is_refused() {
    let store = Arc::new(MemoryStore::default());
    let hosts = TestHost::start_many(&store, 3);
    hosts[0].service.submit(&grant("k1", None)).unwrap();
    let old = store.copy();
    hosts[0].service.submit(&withdraw("k1")).unwrap();
    store.restore(old);
    let refused = hosts[1].service.submit(&grant("k2", None));
    assert!(matches!(refused, Err(ChangeError::Unavailable(_))));
    assert!(hosts.iter().all(|h| h.service.current().keys.is_empty()));
    assert!(hosts.iter().all(TestHost::serves));
}
