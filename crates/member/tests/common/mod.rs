//! A store in memory with fault switches, and entry hosts that share it.

#![allow(dead_code, clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use member::{MemberOptions, MemberService, claim_incarnation};
use model::{MemberId, ServeSettings};
use parking_lot::{Condvar, Mutex};
use peer::PeerNode;
use ports::ServingGate;
use store::{BootClock, KeyStore, StoreError, StoreVersion, StoredValue};

/// Timeout of a failing test; long enough not to affect a passing one.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Faults injected into the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Every call is refused.
    pub down: bool,
    /// Number of writes that take effect and whose responses are lost.
    pub lose_answers: u32,
    /// Watches never return a value.
    pub watch_hangs: bool,
}

#[derive(Default)]
struct StoreState {
    keys: BTreeMap<String, StoredValue>,
    faults: StoreFaults,
    calls: u64,
    writes: u64,
}

/// A linearizable store in memory.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl MemoryStore {
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.lock().faults = faults;
        self.changed.notify_all();
    }

    pub fn copy(&self) -> BTreeMap<String, StoredValue> {
        self.state.lock().keys.clone()
    }

    pub fn restore(&self, keys: BTreeMap<String, StoredValue>) {
        self.state.lock().keys = keys;
    }

    pub fn writes(&self) -> u64 {
        self.state.lock().writes
    }

    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }
}

impl StoreState {
    fn begin(&mut self) -> Result<(), StoreError> {
        self.calls += 1;
        if self.faults.down {
            return Err(StoreError::Unavailable("switched off".to_owned()));
        }
        Ok(())
    }

    fn version(&self, key: &str) -> StoreVersion {
        self.keys.get(key).map_or(0, |stored| stored.version)
    }

    fn end_write(&mut self) -> Result<(), StoreError> {
        self.writes += 1;
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Err(StoreError::Unknown("answer lost".to_owned()));
        }
        Ok(())
    }
}

impl KeyStore for MemoryStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let mut state = self.state.lock();
        state.begin()?;
        Ok(state.keys.get(key).cloned())
    }

    fn swap(
        &self,
        key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError> {
        let mut state = self.state.lock();
        state.begin()?;
        let current = state.version(key);
        if current != expect {
            return Err(StoreError::Conflict { current });
        }
        let stored = StoredValue {
            version: current + 1,
            value: value.to_vec(),
        };
        state.keys.insert(key.to_owned(), stored);
        self.changed.notify_all();
        state.end_write()?;
        Ok(current + 1)
    }

    fn remove(&self, key: &str, expect: StoreVersion) -> Result<(), StoreError> {
        let mut state = self.state.lock();
        state.begin()?;
        let current = state.version(key);
        if current != expect {
            return Err(StoreError::Conflict { current });
        }
        state.keys.remove(key);
        state.end_write()
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        max_wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        let deadline = Instant::now() + max_wait;
        let mut state = self.state.lock();
        state.begin()?;
        loop {
            let hangs = state.faults.watch_hangs;
            if state.version(key) > after && !hangs {
                return Ok(state.keys.get(key).cloned());
            }
            if self.changed.wait_until(&mut state, deadline).timed_out() {
                return Ok(None);
            }
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        let mut state = self.state.lock();
        state.begin()?;
        let keys = state.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        Ok(keys.map(|(k, v)| (k.clone(), v.clone())).collect())
    }
}

/// One host's connection to the store; it fails once the host is cut off or killed.
struct HostStore {
    store: Arc<MemoryStore>,
    is_cut_off: Arc<AtomicBool>,
}

impl HostStore {
    fn connect(&self) -> Result<&MemoryStore, StoreError> {
        if self.is_cut_off.load(Ordering::Acquire) {
            return Err(StoreError::Unavailable("the host is dead".to_owned()));
        }
        Ok(&self.store)
    }
}

impl KeyStore for HostStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.connect()?.read(key)
    }

    fn swap(
        &self,
        key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError> {
        self.connect()?.swap(key, expect, value)
    }

    fn remove(&self, key: &str, expect: StoreVersion) -> Result<(), StoreError> {
        self.connect()?.remove(key, expect)
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        max_wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.connect()?.watch(key, after, max_wait)
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        self.connect()?.list(prefix)
    }
}

/// An entry host without callers.
pub struct TestHost {
    is_cut_off: Arc<AtomicBool>,
    pub node: Arc<PeerNode>,
    pub service: Arc<MemberService>,
}

impl TestHost {
    pub fn start(store: &Arc<MemoryStore>, name: &str) -> Self {
        let is_cut_off = Arc::new(AtomicBool::new(false));
        let incarnation = claim_incarnation(store.as_ref()).unwrap();
        let member = MemberId::from(name);
        let node = PeerNode::start(member.clone(), incarnation, "127.0.0.1:0", Vec::new()).unwrap();
        let node = Arc::new(node);
        let settings = ServeSettings {
            member,
            ..ServeSettings::default()
        };
        let service = MemberService::start(MemberOptions {
            settings,
            caller_address: "127.0.0.1:1".to_owned(),
            node: node.clone(),
            store: Arc::new(HostStore {
                store: store.clone(),
                is_cut_off: is_cut_off.clone(),
            }),
            clock: Arc::new(BootClock),
            audit: None,
        })
        .unwrap();
        Self {
            is_cut_off,
            node,
            service,
        }
    }

    pub fn start_many(store: &Arc<MemoryStore>, count: usize) -> Vec<Self> {
        let hosts: Vec<_> = (1..=count)
            .map(|n| Self::start(store, &format!("e{n}")))
            .collect();
        for host in &hosts {
            host.await_serving();
            let full = || ports::MemberSource::members(&*host.service).len() == count;
            wait_until("every host is listed", full);
        }
        hosts
    }

    pub fn serves(&self) -> bool {
        self.service.check().is_ok()
    }

    pub fn await_serving(&self) {
        wait_until("the host serves", || self.serves());
    }

    /// Cuts the host off from the store only.
    pub fn cut_store(&self) {
        self.is_cut_off.store(true, Ordering::Release);
    }

    /// Lets the host reach the store again.
    pub fn restore_store(&self) {
        self.is_cut_off.store(false, Ordering::Release);
    }

    /// Stops the host without leaving the list, as a kill would.
    pub fn kill(self) {
        self.is_cut_off.store(true, Ordering::Release);
        self.node.stop();
        std::mem::forget(self.service);
    }
}

pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
