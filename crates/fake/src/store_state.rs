use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    FaultDice, FaultRate, ViewCalls,
    hex_text::encode_hex,
    store_call::{StoreCallKind, WriteRefusal},
};

/// Largest value that the store holds.
const MAX_VALUE: usize = 1024 * 1024;
/// Most writes kept in the history; older ones go first.
const MAX_HISTORY: usize = 200_000;
/// Most bytes of values kept in the history.
const MAX_HISTORY_BYTES: usize = 256 * 1024 * 1024;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Faults of the store; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call is answered 503 and does nothing.
    pub down: bool,
    /// Every call hangs without an answer and does nothing.
    pub silent: bool,
    /// Wait before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Writes whose answer is lost after they took effect.
    pub lose_writes: FaultRate,
    /// Seed of the chances.
    pub seed: u64,
    /// Watches show nothing and hang beyond the wait asked for.
    pub watch_hang: bool,
    /// Watches show nothing and end in time.
    pub watch_stale: bool,
    /// Watches end in time and then show the value before the newest, as a replica does
    /// that was asked by mistake.
    pub watch_old: bool,
    /// Reads of one key that show the value before the newest; no platform does this, it
    /// is for showing that a checker sees it.
    pub stale_reads: FaultRate,
    /// Most reads, listings and watches a second; 0 for no ceiling.
    pub reads_per_s: u64,
    /// Most writes and removals a second; 0 for no ceiling.
    pub writes_per_s: u64,
}

/// One write that took effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreWrite {
    /// When, in nanoseconds of the boot clock.
    pub at_ns: u64,
    /// View of the client that wrote.
    pub view: String,
    /// Key.
    pub key: String,
    /// Version before.
    pub before: u64,
    /// Version after.
    pub after: u64,
    /// True for a removal.
    pub removed: bool,
    /// The value in hex.
    pub value: String,
}

/// Writes that took effect, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreHistory {
    /// Index of the first write here; writes before it are not shown.
    pub first: u64,
    /// The writes.
    pub writes: Vec<StoreWrite>,
}

/// One row of a listing.
#[derive(Debug, Serialize)]
pub(crate) struct ListRow {
    key: String,
    version: u64,
    value: String,
}

/// Faults in force, with what they still have to do.
#[derive(Debug)]
struct FaultState {
    faults: StoreFaults,
    dice: FaultDice,
}

/// Calls admitted in the running second.
#[derive(Debug, Default)]
struct RateWindow {
    second: u64,
    reads: u64,
    writes: u64,
}

#[derive(Debug, Default)]
pub(crate) struct StoreState {
    keys: BTreeMap<String, (u64, Vec<u8>)>,
    replaced: BTreeMap<String, (u64, Vec<u8>)>,
    newest: u64,
    faults: BTreeMap<String, FaultState>,
    window: RateWindow,
    pub(crate) calls: ViewCalls,
    history: VecDeque<StoreWrite>,
    history_first: u64,
    history_bytes: usize,
}

impl StoreState {
    pub(crate) fn set_faults(&mut self, view: &str, faults: StoreFaults) {
        let dice = FaultDice::new(faults.seed);
        self.faults
            .insert(view.to_owned(), FaultState { faults, dice });
    }

    pub(crate) fn faults(&self, view: &str) -> StoreFaults {
        let state = self.faults.get(view).or_else(|| self.faults.get(""));
        state.map(|state| state.faults.clone()).unwrap_or_default()
    }

    pub(crate) fn loses_answer(&mut self, view: &str) -> bool {
        let state = self.fault_state(view);
        state.is_some_and(|state| state.faults.lose_writes.strikes(&mut state.dice))
    }

    fn fault_state(&mut self, view: &str) -> Option<&mut FaultState> {
        let name = if self.faults.contains_key(view) {
            view
        } else {
            ""
        };
        self.faults.get_mut(name)
    }

    /// Counts the call; false if a ceiling refuses it.
    pub(crate) fn admit(&mut self, view: &str, kind: StoreCallKind, now_ns: u64) -> bool {
        let faults = self.faults(view);
        let calls = self.calls.entry(view.to_owned()).or_default();
        let is_write = matches!(kind, StoreCallKind::Swap | StoreCallKind::Remove);
        let count = match kind {
            StoreCallKind::Read => &mut calls.read,
            StoreCallKind::Swap => &mut calls.swap,
            StoreCallKind::Remove => &mut calls.remove,
            StoreCallKind::Watch => &mut calls.watch,
            StoreCallKind::List => &mut calls.list,
        };
        *count += 1;
        let second = now_ns / NANOS_PER_SECOND;
        if self.window.second != second {
            self.window = RateWindow {
                second,
                ..RateWindow::default()
            };
        }
        let (used, ceiling) = if is_write {
            (&mut self.window.writes, faults.writes_per_s)
        } else {
            (&mut self.window.reads, faults.reads_per_s)
        };
        *used += 1;
        let admitted = ceiling == 0 || *used <= ceiling;
        if !admitted {
            calls.over_rate += 1;
        }
        admitted
    }

    pub(crate) fn read(&mut self, view: &str, key: &str) -> Option<(u64, Vec<u8>)> {
        let state = self.fault_state(view);
        if state.is_some_and(|state| state.faults.stale_reads.strikes(&mut state.dice)) {
            return self.replaced.get(key).cloned();
        }
        self.keys.get(key).cloned()
    }

    pub(crate) fn newer(&self, key: &str, after: u64) -> Option<(u64, Vec<u8>)> {
        let (version, value) = self.keys.get(key)?;
        (*version > after).then(|| (*version, value.clone()))
    }

    pub(crate) fn replaced(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        self.replaced.get(key).cloned()
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<ListRow> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| ListRow {
                key: key.clone(),
                version: *version,
                value: encode_hex(value),
            })
            .collect()
    }

    /// Writes or, without a value, removes. Versions come from one counter, so that a key
    /// that was removed never shows an old version again.
    pub(crate) fn write(
        &mut self,
        view: &str,
        key: &str,
        expect: u64,
        value: Option<&[u8]>,
    ) -> Result<u64, WriteRefusal> {
        if value.is_some_and(|value| value.len() > MAX_VALUE) {
            return Err(WriteRefusal::TooLarge);
        }
        let before = self.keys.get(key).map_or(0, |(version, _)| *version);
        if before != expect {
            return Err(WriteRefusal::Conflict(before));
        }
        self.newest += 1;
        let replaced = match value {
            Some(value) => {
                let stored = (self.newest, value.to_vec());
                self.keys.insert(key.to_owned(), stored)
            }
            None => self.keys.remove(key),
        };
        if let Some(replaced) = replaced {
            self.replaced.insert(key.to_owned(), replaced);
        }
        self.note(StoreWrite::new(view, key, before, self.newest, value));
        Ok(self.newest)
    }

    fn note(&mut self, write: StoreWrite) {
        self.history_bytes += write.value.len();
        self.history.push_back(write);
        while self.history.len() > MAX_HISTORY || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                return;
            };
            self.history_bytes -= oldest.value.len();
            self.history_first += 1;
        }
    }

    pub(crate) fn history_after(&self, after: u64) -> StoreHistory {
        let skip = after.saturating_sub(self.history_first);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        StoreHistory {
            first: after.max(self.history_first),
            writes: self.history.iter().skip(skip).cloned().collect(),
        }
    }
}
