use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use ports::{
    LeaseId, LeaseStore, LeaseStoreError, PortFuture, StoreChange, StoreChanges, StoreEvent,
    StoreItem, StoreOutcome, StorePage, StoreRevision,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

/// Maximum number of keys in one list.
const LIST_KEYS: usize = 100;
/// Time after which a change times out.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Which fault the store simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// None.
    #[default]
    Normal,
    /// Refuses every call.
    Refuses,
    /// Makes changes and loses the responses.
    LosesAnswers,
}

/// An in-memory store. Each response takes a millisecond.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Rc<StoreState>,
    /// Whether the store refuses the calls through this handle.
    cut_off: Rc<Cell<bool>>,
    /// Faults of lists through this handle.
    list_fault: Rc<RefCell<ListFault>>,
    /// How long responses to reads of a key take through this handle.
    read_delay: Rc<Cell<Duration>>,
    /// How long changes take through this handle before they are made.
    change_delay: Rc<Cell<Duration>>,
    /// Maximum bytes of a change through this handle that does not time out; 0 for no limit.
    change_bytes: Rc<Cell<usize>>,
    /// How long answers to watches take through this handle.
    watch_delay: Rc<Cell<Duration>>,
    /// Bytes of lists a second through this handle; 0 for no limit.
    list_rate: Rc<Cell<usize>>,
    /// Prefix whose lists and watches fail through this handle; empty for none.
    unreadable_prefix: Rc<RefCell<String>>,
}

/// Faults of lists of the keys below a prefix.
#[derive(Clone, Default)]
struct ListFault {
    prefix: String,
    /// Maximum number of keys in one list; 0 for the usual number.
    page: usize,
    /// One call in this many fails, beginning with the first; 0 for none.
    fail_every: usize,
    calls: usize,
}

#[derive(Default)]
struct StoreState {
    items: RefCell<BTreeMap<String, StoreItem>>,
    key_leases: RefCell<BTreeMap<String, LeaseId>>,
    leases: RefCell<BTreeMap<LeaseId, (Instant, Duration)>>,
    history: RefCell<Vec<(StoreRevision, StoreEvent)>>,
    revision: Cell<StoreRevision>,
    /// Changes up to this revision are no longer in the history.
    forgotten: Cell<StoreRevision>,
    changed: Notify,
    mode: Cell<StoreMode>,
    renewals: Cell<usize>,
}

impl MemoryStore {
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.mode.set(mode);
    }

    /// Another handle on the same store, for a process with its own faults.
    pub fn new_handle(&self) -> Self {
        Self {
            state: self.state.clone(),
            cut_off: Rc::default(),
            list_fault: Rc::default(),
            read_delay: Rc::default(),
            change_delay: Rc::default(),
            change_bytes: Rc::default(),
            watch_delay: Rc::default(),
            list_rate: Rc::default(),
            unreadable_prefix: Rc::default(),
        }
    }

    /// Sets how long responses to reads of a key take through this handle.
    pub fn delay_reads(&self, delay: Duration) {
        self.read_delay.set(delay);
    }

    /// Sets how long changes take through this handle before they are made.
    pub fn delay_changes(&self, delay: Duration) {
        self.change_delay.set(delay);
    }

    /// Sets how long answers to watches take through this handle.
    pub fn delay_watches(&self, delay: Duration) {
        self.watch_delay.set(delay);
    }

    /// Limits the bytes of lists a second through this handle.
    pub fn limit_list_rate(&self, bytes_per_second: usize) {
        self.list_rate.set(bytes_per_second);
    }

    /// Number of lease renewals.
    pub fn renewals(&self) -> usize {
        self.state.renewals.get()
    }

    /// Lets larger changes through this handle time out.
    pub fn limit_change_bytes(&self, bytes: usize) {
        self.change_bytes.set(bytes);
    }

    async fn check_change_size(&self, change: &StoreChange) -> Result<(), LeaseStoreError> {
        let bytes: usize = change.writes.iter().map(|write| write.value.len()).sum();
        let most = self.change_bytes.get();
        if most == 0 || bytes <= most {
            return Ok(());
        }
        sleep(CHANGE_TIMEOUT).await;
        Err(LeaseStoreError::Unanswered("timed out".to_owned()))
    }

    /// Lets lists and watches of this prefix fail through this handle; empty for none.
    pub fn set_unreadable_prefix(&self, prefix: &str) {
        *self.unreadable_prefix.borrow_mut() = prefix.to_owned();
    }

    fn check_readable(&self, prefix: &str) -> Result<(), LeaseStoreError> {
        if !prefix.is_empty() && prefix == *self.unreadable_prefix.borrow() {
            return Err(LeaseStoreError::Unanswered("timed out".to_owned()));
        }
        Ok(())
    }

    /// Limits lists of the keys below a prefix to `page` keys, and lets each `fail_every`-th fail.
    pub fn limit_lists(&self, prefix: &str, page: usize, fail_every: usize) {
        *self.list_fault.borrow_mut() = ListFault {
            prefix: prefix.to_owned(),
            page,
            fail_every,
            calls: 0,
        };
    }

    /// Lets all lists of the keys below a prefix fail through this handle.
    pub fn fail_lists(&self, prefix: &str) {
        self.limit_lists(prefix, 0, 1);
    }

    /// Ends all faults of lists through this handle.
    pub fn restore_lists(&self) {
        *self.list_fault.borrow_mut() = ListFault::default();
    }

    /// Maximum number of keys in the next list.
    fn list_limit(&self, prefix: &str) -> Result<usize, LeaseStoreError> {
        let mut fault = self.list_fault.borrow_mut();
        if prefix != fault.prefix {
            return Ok(LIST_KEYS);
        }
        fault.calls += 1;
        if (fault.calls - 1).checked_rem(fault.fail_every) == Some(0) {
            return Err(LeaseStoreError::Unanswered("timed out".to_owned()));
        }
        Ok(match fault.page {
            0 => LIST_KEYS,
            page => page,
        })
    }

    /// Revision of a key.
    pub fn revision(&self, key: &str) -> Option<StoreRevision> {
        let items = self.state.items.borrow();
        items.get(key).map(|item| item.revision)
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let items = self.state.items.borrow();
        items.get(key).map(|item| item.value.clone())
    }

    /// Sets whether the store refuses the calls through this handle.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.set(cut_off);
    }

    async fn call(&self) -> Result<(), LeaseStoreError> {
        self.state.call().await?;
        if self.cut_off.get() {
            return Err(LeaseStoreError::Refused("status 503".to_owned()));
        }
        Ok(())
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        self.state.write(key, value.to_vec(), None);
    }

    pub fn remove(&self, key: &str) {
        self.state.remove(key);
    }

    /// Makes changes that no watch receives: the history is dropped right after them.
    pub fn change_unseen(&self, change: impl FnOnce(&Self)) {
        change(self);
        self.state.forgotten.set(self.state.revision.get());
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let items = self.state.items.borrow();
        items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }
}

impl StoreState {
    fn page(&self, prefix: &str, after: &str, limit: usize) -> StorePage {
        let items = self.items.borrow();
        let below = items.range(prefix.to_owned()..).map(|(_, item)| item);
        let below = below.take_while(|item| item.key.starts_with(prefix));
        let mut found: Vec<_> = below.filter(|item| *item.key > *after).cloned().collect();
        let more = found.len() > limit;
        found.truncate(limit);
        StorePage {
            items: found,
            more,
            revision: self.revision.get(),
        }
    }

    fn write(&self, key: &str, value: Vec<u8>, lease: Option<LeaseId>) -> StoreRevision {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let item = StoreItem {
            key: key.into(),
            value,
            revision,
        };
        self.items.borrow_mut().insert(key.to_owned(), item.clone());
        if let Some(lease) = lease {
            self.key_leases.borrow_mut().insert(key.to_owned(), lease);
        }
        self.history
            .borrow_mut()
            .push((revision, StoreEvent::Written(item)));
        self.changed.notify_waiters();
        revision
    }

    fn remove(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_none() {
            return;
        }
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        self.history
            .borrow_mut()
            .push((revision, StoreEvent::Removed(key.into(), revision)));
        self.changed.notify_waiters();
    }

    fn end_lease(&self, lease: LeaseId) {
        self.leases.borrow_mut().remove(&lease);
        let owned: Vec<String> = {
            let mut key_leases = self.key_leases.borrow_mut();
            let keys: Vec<String> = key_leases
                .iter()
                .filter(|(_, owner)| **owner == lease)
                .map(|(key, _)| key.clone())
                .collect();
            keys.iter().for_each(|key| {
                key_leases.remove(key);
            });
            keys
        };
        owned.iter().for_each(|key| self.remove(key));
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let over: Vec<LeaseId> = self
            .leases
            .borrow()
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }

    async fn call(&self) -> Result<(), LeaseStoreError> {
        sleep(Duration::from_millis(1)).await;
        self.expire_leases();
        match self.mode.get() {
            StoreMode::Refuses => Err(LeaseStoreError::Refused("status 503".to_owned())),
            StoreMode::Normal | StoreMode::LosesAnswers => Ok(()),
        }
    }

    fn apply(&self, change: StoreChange) -> StoreOutcome {
        let items = self.items.borrow();
        let found = |key: &str| items.get(key).cloned();
        let fits = change
            .expect
            .iter()
            .all(|(key, revision)| found(key).map_or(0, |item| item.revision) == *revision);
        if !fits {
            let now = change.expect.iter().map(|(key, _)| {
                found(key).unwrap_or_else(|| StoreItem {
                    key: key.clone(),
                    ..StoreItem::default()
                })
            });
            return StoreOutcome::Conflict(now.collect());
        }
        drop(items);
        let leases = self.leases.borrow();
        if change
            .writes
            .iter()
            .filter_map(|write| write.lease)
            .any(|id| !leases.contains_key(&id))
        {
            return StoreOutcome::LeaseEnded;
        }
        drop(leases);
        for write in change.writes {
            self.write(&write.key, write.value, write.lease);
        }
        change.removes.iter().for_each(|key| self.remove(key));
        StoreOutcome::Done(self.revision.get())
    }

    fn events_after(&self, prefix: &str, after: StoreRevision) -> Vec<StoreEvent> {
        let history = self.history.borrow();
        let newer = history.iter().filter(|(revision, _)| *revision > after);
        let below = newer.filter(|(_, event)| match event {
            StoreEvent::Written(item) => item.key.starts_with(prefix),
            StoreEvent::Removed(key, _) => key.starts_with(prefix),
        });
        below.map(|(_, event)| event.clone()).collect()
    }
}

impl LeaseStore for MemoryStore {
    fn read(&self, key: &str) -> PortFuture<Result<Option<StoreItem>, LeaseStoreError>> {
        let (state, key) = (self.state.clone(), key.to_owned());
        let handle = self.clone();
        Box::pin(async move {
            handle.call().await?;
            let found = state.items.borrow().get(&key).cloned();
            sleep(handle.read_delay.get()).await;
            Ok(found)
        })
    }

    fn list(&self, prefix: &str, after: &str) -> PortFuture<Result<StorePage, LeaseStoreError>> {
        let (state, prefix, after) = (self.state.clone(), prefix.to_owned(), after.to_owned());
        let handle = self.clone();
        Box::pin(async move {
            handle.call().await?;
            handle.check_readable(&prefix)?;
            let limit = handle.list_limit(&prefix)?;
            let page = state.page(&prefix, &after, limit);
            let bytes: usize = page.items.iter().map(|item| item.value.len()).sum();
            if let Some(millis) = (bytes * 1000).checked_div(handle.list_rate.get()) {
                sleep(Duration::from_millis(millis as u64)).await;
            }
            Ok(page)
        })
    }

    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        timeout_after: Duration,
    ) -> PortFuture<Result<StoreChanges, LeaseStoreError>> {
        let (state, prefix) = (self.state.clone(), prefix.to_owned());
        let handle = self.clone();
        Box::pin(async move {
            let end = Instant::now() + timeout_after;
            loop {
                handle.call().await?;
                handle.check_readable(&prefix)?;
                if after < state.forgotten.get() {
                    return Err(LeaseStoreError::HistoryGone);
                }
                let events = state.events_after(&prefix, after);
                if !events.is_empty() || Instant::now() >= end {
                    let revision = state.revision.get();
                    sleep(handle.watch_delay.get()).await;
                    return Ok(StoreChanges { events, revision });
                }
                let _ = timeout(Duration::from_millis(20), state.changed.notified()).await;
            }
        })
    }

    fn change(&self, change: StoreChange) -> PortFuture<Result<StoreOutcome, LeaseStoreError>> {
        let state = self.state.clone();
        let handle = self.clone();
        Box::pin(async move {
            handle.call().await?;
            sleep(handle.change_delay.get()).await;
            handle.check_change_size(&change).await?;
            let outcome = state.apply(change);
            if state.mode.get() == StoreMode::LosesAnswers {
                return Err(LeaseStoreError::Unanswered("timed out".to_owned()));
            }
            Ok(outcome)
        })
    }

    fn take_lease(&self, length: Duration) -> PortFuture<Result<LeaseId, LeaseStoreError>> {
        let state = self.state.clone();
        let handle = self.clone();
        Box::pin(async move {
            handle.call().await?;
            let lease = state.revision.get() + 1;
            state.revision.set(lease);
            state
                .leases
                .borrow_mut()
                .insert(lease, (Instant::now() + length, length));
            Ok(lease)
        })
    }

    fn renew_lease(&self, lease: LeaseId) -> PortFuture<Result<bool, LeaseStoreError>> {
        let state = self.state.clone();
        let handle = self.clone();
        Box::pin(async move {
            handle.call().await?;
            state.renewals.set(state.renewals.get() + 1);
            let mut leases = state.leases.borrow_mut();
            let Some((until, length)) = leases.get_mut(&lease) else {
                return Ok(false);
            };
            *until = Instant::now() + *length;
            Ok(true)
        })
    }

    fn end_lease(&self, lease: LeaseId) -> PortFuture<Result<(), LeaseStoreError>> {
        let state = self.state.clone();
        let handle = self.clone();
        Box::pin(async move {
            handle.call().await?;
            state.end_lease(lease);
            Ok(())
        })
    }
}
