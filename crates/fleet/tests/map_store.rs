//! The pool map in the store: head, base and tail.
#![allow(clippy::expect_used, dead_code)]

mod common;

use std::{sync::Arc, time::Duration};

use common::MemoryStore;
use decide::budget::{HostFacts, HostState, MapChange};
use fleet::{CommitOutcome, MapSnapshot, MapStore};
use store::KeyStore;

fn change(turn: u64) -> MapChange {
    let host = format!("h{}", turn % 40);
    let state = HostState::joining("p".into(), HostFacts::default(), Duration::from_secs(turn));
    MapChange {
        hosts: [(host.into(), state)].into(),
        ..MapChange::default()
    }
}

// Guards against a leak of old bases in the store. They remained when a removal used a
// guessed version instead of the stored one.
#[test]
fn commit_keeps_one_base() {
    let store = Arc::new(MemoryStore::default());
    let maps = MapStore::new(store.clone(), "all");
    let mut known = MapSnapshot::default();
    let mut bases = 0;
    for turn in 0..1000 {
        let before = known.head.base_key.clone();
        let now = Duration::from_secs(turn);
        let outcome = maps.commit(&known, &change(turn), "e1", now);
        let Ok(CommitOutcome::Done(snapshot)) = outcome else {
            panic!("turn {turn}: {outcome:?}");
        };
        known = snapshot;
        bases += usize::from(known.head.base_key != before);
    }
    assert!(bases > 2, "only {bases} bases were written");
    let remaining = store.list("fleet/all/base-").expect("a list");
    assert_eq!(remaining.len(), 1);
}
