//! What the audit trail costs the store: calls and bytes for each audited change.
//!
//! `cargo run --release -p admin --example audit_cost` prints the slopes that
//! `docs/design/11-audit.md` uses.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use admin::audit::{AuditBatch, AuditDraft, AuditStore, TrailName};
use parking_lot::Mutex;
use store::{KeyStore, StoreError, StoreVersion, StoredValue};

/// A store in memory that counts.
#[derive(Default)]
struct CountingStore {
    values: Mutex<BTreeMap<String, StoredValue>>,
    counts: Mutex<StoreUse>,
}

#[derive(Clone, Copy, Default)]
struct StoreUse {
    calls: usize,
    bytes: usize,
}

impl CountingStore {
    fn note(&self, bytes: usize) {
        let mut counts = self.counts.lock();
        counts.calls += 1;
        counts.bytes += bytes;
    }
}

impl KeyStore for CountingStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let found = self.values.lock().get(key).cloned();
        self.note(found.as_ref().map_or(0, |stored| stored.value.len()));
        Ok(found)
    }

    fn swap(
        &self,
        key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError> {
        self.note(value.len());
        let stored = StoredValue {
            version: expect + 1,
            value: value.to_vec(),
        };
        self.values.lock().insert(key.to_owned(), stored);
        Ok(expect + 1)
    }

    fn remove(&self, key: &str, _expect: StoreVersion) -> Result<(), StoreError> {
        self.note(0);
        self.values.lock().remove(key);
        Ok(())
    }

    fn watch(
        &self,
        key: &str,
        _after: StoreVersion,
        _patience: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.read(key)
    }

    fn list(&self, _prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        Ok(Vec::new())
    }
}

fn draft(revision: u64) -> AuditDraft {
    AuditDraft {
        unix_ms: 1_796_000_000_000 + revision,
        author: "k2a7086e6da06".to_owned(),
        change_id: format!("release-{revision:08}"),
        subject: "manifest".to_owned(),
        difference: "[team.dakota-surveys] -limit = 160; +limit = 150;".to_owned(),
        revision_before: revision - 1,
        revision_after: revision,
    }
}

fn main() -> Result<(), model::StepError> {
    println!("changes  calls/change  bytes/change  store KB  us/change");
    for changes in [500u64, 1_000, 2_000, 4_000, 8_000] {
        let store = Arc::new(CountingStore::default());
        let trail = AuditStore::new(Arc::clone(&store) as Arc<dyn KeyStore>, TrailName::Changes);
        let start = Instant::now();
        for revision in 1..=changes {
            trail.append(&AuditBatch {
                member: "entry-1".to_owned(),
                incarnation: 1,
                batch: revision,
                config_revision: revision,
                drafts: vec![draft(revision)],
            })?;
        }
        let counts = *store.counts.lock();
        let kept: usize = store
            .values
            .lock()
            .values()
            .map(|stored| stored.value.len())
            .sum();
        println!(
            "{changes:>7}  {:>12.2}  {:>12.0}  {:>8}  {:>9.1}",
            counts.calls as f64 / changes as f64,
            counts.bytes as f64 / changes as f64,
            kept / 1024,
            start.elapsed().as_micros() as f64 / changes as f64,
        );
    }
    Ok(())
}
