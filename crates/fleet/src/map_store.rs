use std::{sync::Arc, time::Duration};

use decide::budget::{FleetMap, MapChange};
use model::StepError;
use prost::Message;
use store::{KeyStore, StoreError, StoreVersion};
use wire::fleet::{FleetChange, FleetRecord};

/// Size of the tail in bytes above which a new base is written.
///
/// Every entry host reads the head after each change, so this bounds the cost of a change
/// for each of them. A larger value needs fewer base writes.
const TAIL_LIMIT: usize = 6 * 1024;

/// Bytes of the tail that are kept when a new base is written, so that entry hosts that are
/// a few changes behind need not read the base.
const TAIL_KEPT: usize = 2 * 1024;

/// The pool map as read from the store.
#[derive(Clone, Debug, Default)]
pub struct MapSnapshot {
    /// Version of the head key; 0 before it exists.
    pub version: StoreVersion,
    /// Head record: the key of the base and the changes since.
    pub head: FleetRecord,
    /// Pool map computed from the base and the changes of the head.
    pub map: FleetMap,
}

/// Result of a commit.
#[derive(Clone, Debug)]
pub enum CommitOutcome {
    /// The change took effect.
    Done(MapSnapshot),
    /// Another change was written first; read the map and plan again.
    Conflict,
    /// The result is unknown: read the map to see whether the change took effect.
    Unknown,
}

/// Reads and changes the pool map of one shard.
pub struct MapStore {
    store: Arc<dyn KeyStore>,
    head_key: String,
}

impl MapStore {
    /// Creates the store of the map of `shard`.
    pub fn new(store: Arc<dyn KeyStore>, shard: &str) -> Self {
        Self {
            store,
            head_key: format!("fleet/{shard}"),
        }
    }

    /// Reads the map.
    ///
    /// # Errors
    /// If the store does not respond or holds an invalid record.
    pub fn read(&self, known: &MapSnapshot) -> Result<MapSnapshot, StepError> {
        let found = self.store.read(&self.head_key).map_err(|e| self.step(e))?;
        let Some(found) = found else {
            return Ok(MapSnapshot::default());
        };
        self.decode_head(known, found.version, &found.value)
    }

    /// Waits up to `timeout` for a newer map; returns `None` on timeout.
    ///
    /// # Errors
    /// As for [`MapStore::read`].
    pub fn watch(
        &self,
        known: &MapSnapshot,
        timeout: Duration,
    ) -> Result<Option<MapSnapshot>, StepError> {
        let found = self
            .store
            .watch(&self.head_key, known.version, timeout)
            .map_err(|e| self.step(e))?;
        let Some(found) = found else {
            return Ok(None);
        };
        self.decode_head(known, found.version, &found.value)
            .map(Some)
    }

    /// Writes `change` if the stored map is still at the version of `known`.
    ///
    /// # Errors
    /// If the change was not written because the store rejected a write or is unreachable.
    pub fn commit(
        &self,
        known: &MapSnapshot,
        change: &MapChange,
        author: &str,
        now: Duration,
    ) -> Result<CommitOutcome, StepError> {
        let map = known.map.with_change(change);
        let record = change.to_record(map.revision, author, now);
        let mut head = known.head.clone();
        head.revision = map.revision;
        head.tail.push(record);
        if tail_bytes(&head.tail) > TAIL_LIMIT {
            self.write_base(&mut head, known)?;
        }
        let outcome = self
            .store
            .swap(&self.head_key, known.version, &head.encode_to_vec());
        match outcome {
            Ok(version) => {
                self.remove_old_base(&known.head, &head);
                Ok(CommitOutcome::Done(MapSnapshot { version, head, map }))
            }
            Err(StoreError::Conflict { .. }) => Ok(CommitOutcome::Conflict),
            Err(StoreError::Unknown(_)) => Ok(CommitOutcome::Unknown),
            Err(e) => Err(self.step(e)),
        }
    }
}

impl MapStore {
    fn decode_head(
        &self,
        known: &MapSnapshot,
        version: StoreVersion,
        value: &[u8],
    ) -> Result<MapSnapshot, StepError> {
        let head = FleetRecord::decode(value).map_err(|e| self.step(e))?;
        let mut map = known.map.clone();
        if map.revision > head.revision || map.catch_up(&head).is_err() {
            map = self.read_base(&head)?;
            map.catch_up(&head).map_err(|e| self.step(e))?;
        }
        Ok(MapSnapshot { version, head, map })
    }

    fn read_base(&self, head: &FleetRecord) -> Result<FleetMap, StepError> {
        if head.base_key.is_empty() {
            return Ok(FleetMap::default());
        }
        let base_step = |cause| StepError::new("read pool map base", &head.base_key, cause);
        let found = self
            .store
            .read(&head.base_key)
            .map_err(|e| base_step(e.to_string()))?;
        let Some(found) = found else {
            return Err(base_step("it was replaced meanwhile".to_owned()));
        };
        let base =
            FleetRecord::decode(found.value.as_slice()).map_err(|e| base_step(e.to_string()))?;
        Ok(FleetMap::from_base(&base))
    }

    /// Writes the map of `known` as the new base and shortens the tail.
    ///
    /// The base of a revision has the same bytes for every writer. So a conflict, also
    /// after an earlier write whose response was lost, means that the base exists.
    fn write_base(&self, head: &mut FleetRecord, known: &MapSnapshot) -> Result<(), StepError> {
        let base_key = format!("{}/base-{}", self.head_key, known.map.revision);
        let value = known.map.to_base().encode_to_vec();
        match self.store.swap(&base_key, 0, &value) {
            Ok(_) | Err(StoreError::Conflict { .. }) => {}
            Err(e) => return Err(StepError::new("write pool map base", &base_key, e)),
        }
        head.base_key = base_key;
        head.base_revision = known.map.revision;
        while head.tail.len() > 1 && tail_bytes(&head.tail) > TAIL_KEPT {
            head.tail.remove(0);
        }
        Ok(())
    }

    /// Removes the base that `after` no longer refers to. If that fails, an unused key remains.
    fn remove_old_base(&self, before: &FleetRecord, after: &FleetRecord) {
        if before.base_key.is_empty() || before.base_key == after.base_key {
            return;
        }
        // The version is read first, because platforms assign versions in different ways.
        let removed = self
            .store
            .read(&before.base_key)
            .and_then(|found| match found {
                Some(found) => self.store.remove(&before.base_key, found.version),
                None => Ok(()),
            });
        if let Err(e) = removed {
            log::debug!(target: "E0602", "old-base-kept key={} cause={e}", before.base_key);
        }
    }

    fn step(&self, cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> StepError {
        StepError::new("access pool map", &self.head_key, cause)
    }
}

fn tail_bytes(tail: &[FleetChange]) -> usize {
    tail.iter().map(Message::encoded_len).sum()
}
