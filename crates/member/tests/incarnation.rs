//! Tests of claiming incarnation numbers from the store.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use common::MemoryStore;
use member::claim_incarnation;
use store::{BootClock, KeyStore, RetryStore, StoreError, StoreVersion, StoredValue};

/// A store in which another host claims before the first write of this host arrives, and the
/// response to that write is lost.
struct RacedStore {
    store: MemoryStore,
    other_claim: AtomicU64,
}

impl KeyStore for RacedStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.store.read(key)
    }

    fn swap(
        &self,
        key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError> {
        if self.other_claim.load(Ordering::Acquire) == 0 {
            let claim = claim_incarnation(&self.store).unwrap();
            self.other_claim.store(claim, Ordering::Release);
            return Err(StoreError::Unknown("answer lost".to_owned()));
        }
        self.store.swap(key, expect, value)
    }

    fn remove(&self, key: &str, expect: StoreVersion) -> Result<(), StoreError> {
        self.store.remove(key, expect)
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        max_wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.store.watch(key, after, max_wait)
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        self.store.list(prefix)
    }
}

// Two hosts start at the same time and a response of the store is lost. The store client then
// compares the stored bytes with its own, and both hosts tried to write the same number. With
// the same incarnation, each would take the other's messages and quota for its own.
#[test]
fn claim_incarnation_raced_is_distinct() {
    let raced = Arc::new(RacedStore {
        store: MemoryStore::default(),
        other_claim: AtomicU64::new(0),
    });
    let client = RetryStore::new(raced.clone(), Arc::new(BootClock));
    let claim = claim_incarnation(&client).unwrap();
    assert_ne!(claim, raced.other_claim.load(Ordering::Acquire));
}

#[test]
fn claim_incarnation_counts_up() {
    let store = MemoryStore::default();
    assert_eq!(claim_incarnation(&store).unwrap(), 1);
    assert_eq!(claim_incarnation(&store).unwrap(), 2);
}
