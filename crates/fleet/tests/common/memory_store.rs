use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::{Duration, Instant},
};

use parking_lot::{Condvar, Mutex};
use store::{KeyStore, StoreError, StoreVersion, StoredValue};

/// An in-memory store that records every write and can simulate failures of a real store.
#[derive(Default)]
pub struct MemoryStore {
    keys: Mutex<BTreeMap<String, StoredValue>>,
    changed: Condvar,
    versions: AtomicU64,
    history: Mutex<Vec<(String, Vec<u8>)>>,
    /// While set, all calls fail without effect.
    pub down: AtomicBool,
    /// Number of writes whose responses will be lost after they took effect.
    pub lose_answers: AtomicU64,
    pub reads: AtomicU64,
    pub writes: AtomicU64,
    pub bytes_written: AtomicU64,
    pub bytes_read: AtomicU64,
}

impl MemoryStore {
    /// Returns every value written to keys with `prefix`, in order.
    pub fn history(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let history = self.history.lock();
        let matching = history.iter().filter(|(key, _)| key.starts_with(prefix));
        matching.cloned().collect()
    }

    pub fn calls(&self) -> u64 {
        self.reads.load(Ordering::SeqCst) + self.writes.load(Ordering::SeqCst)
    }

    fn check_up(&self) -> Result<(), StoreError> {
        if self.down.load(Ordering::SeqCst) {
            return Err(StoreError::Unavailable("store is down".to_owned()));
        }
        Ok(())
    }

    fn count_read(&self, found: Option<&StoredValue>) {
        self.reads.fetch_add(1, Ordering::SeqCst);
        let bytes = found.map_or(0, |found| found.value.len() as u64);
        self.bytes_read.fetch_add(bytes, Ordering::SeqCst);
    }

    fn lose_answer(&self) -> Result<(), StoreError> {
        let lost = self
            .lose_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            });
        match lost {
            Ok(_) => Err(StoreError::Unknown("answer lost".to_owned())),
            Err(_) => Ok(()),
        }
    }
}

impl KeyStore for MemoryStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.check_up()?;
        let found = self.keys.lock().get(key).cloned();
        self.count_read(found.as_ref());
        Ok(found)
    }

    fn swap(
        &self,
        key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError> {
        self.check_up()?;
        self.writes.fetch_add(1, Ordering::SeqCst);
        let mut keys = self.keys.lock();
        let current = keys.get(key).map_or(0, |stored| stored.version);
        if current != expect {
            return Err(StoreError::Conflict { current });
        }
        if value.len() > 1_000_000 {
            return Err(StoreError::Rejected("value too large".to_owned()));
        }
        // All keys share one version counter, as on some platforms, so the first version of
        // a key can be any number.
        let version = self.versions.fetch_add(1, Ordering::SeqCst) + 1;
        let stored = StoredValue {
            version,
            value: value.to_vec(),
        };
        keys.insert(key.to_owned(), stored);
        self.history.lock().push((key.to_owned(), value.to_vec()));
        self.bytes_written
            .fetch_add(value.len() as u64, Ordering::SeqCst);
        drop(keys);
        self.changed.notify_all();
        self.lose_answer()?;
        Ok(version)
    }

    fn remove(&self, key: &str, expect: StoreVersion) -> Result<(), StoreError> {
        self.check_up()?;
        self.writes.fetch_add(1, Ordering::SeqCst);
        let mut keys = self.keys.lock();
        let current = keys.get(key).map_or(0, |stored| stored.version);
        if current != expect {
            return Err(StoreError::Conflict { current });
        }
        keys.remove(key);
        Ok(())
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        timeout: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        let until = Instant::now() + timeout;
        let mut keys = self.keys.lock();
        loop {
            self.check_up()?;
            let found = keys.get(key).filter(|stored| stored.version > after);
            if let Some(found) = found {
                self.count_read(Some(found));
                return Ok(Some(found.clone()));
            }
            if self.changed.wait_until(&mut keys, until).timed_out() {
                self.count_read(None);
                return Ok(None);
            }
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        self.check_up()?;
        let keys = self.keys.lock();
        let found: Vec<_> = keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| (key.clone(), stored.clone()))
            .collect();
        for (_, stored) in &found {
            self.count_read(Some(stored));
        }
        Ok(found)
    }
}
