use std::{future::Future, pin::Pin, time::Duration};

use compact_str::CompactString;

/// What an asynchronous interface returns; the process runs one event loop.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = T>>>;
/// The store's count of changes.
pub type StoreRevision = u64;
/// Id of a lease of the store.
pub type LeaseId = u64;

/// A key with its value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: CompactString,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// Part of the keys below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StorePage {
    /// The keys, in order.
    pub items: Vec<StoreItem>,
    /// Whether there are more.
    pub more: bool,
    /// The store's revision when it was read.
    pub revision: StoreRevision,
}

/// One change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// A key was written.
    Written(StoreItem),
    /// A key was removed, at this revision.
    Removed(CompactString, StoreRevision),
}

/// What a watch saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// The changes, oldest first.
    pub events: Vec<StoreEvent>,
    /// Revision from which the next watch continues.
    pub revision: StoreRevision,
}

/// A change that takes effect whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChange {
    /// Keys with the revisions that they must have; 0 for a key that must not exist.
    pub expect: Vec<(CompactString, StoreRevision)>,
    /// Keys to write, with the lease that they end with.
    pub writes: Vec<StoreWrite>,
    /// Keys to remove.
    pub removes: Vec<CompactString>,
}

/// One key of a change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreWrite {
    /// The key.
    pub key: CompactString,
    /// Its new value.
    pub value: Vec<u8>,
    /// Lease that the key ends with; `None` if it stays.
    pub lease: Option<LeaseId>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It took effect, at this revision.
    Done(StoreRevision),
    /// Some key had another revision; nothing was changed. Holds the keys as they are.
    Conflict(Vec<StoreItem>),
    /// The lease has ended; nothing was changed.
    LeaseEnded,
}

/// Why a call brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Nothing was done: the store refused the call, or it never left.
    #[error("store refused the call: {0}")]
    Refused(String),
    /// No answer came: it may have been done, and may still be later.
    #[error("store did not answer: {0}")]
    Unanswered(String),
    /// The history that a watch asks for has been dropped.
    #[error("the history has been dropped")]
    HistoryGone,
    /// The answer can't be read.
    #[error("unreadable answer of the store: {0}")]
    Unreadable(String),
}

/// The platform's store, with leases and watches.
pub trait LeaseStore {
    /// Reads one key; linearizable.
    fn read(&self, key: &str) -> PortFuture<Result<Option<StoreItem>, StoreError>>;
    /// Reads a page of the keys below `prefix`, after a key; linearizable, but pages are no
    /// snapshot together.
    fn list(&self, prefix: &str, after: &str) -> PortFuture<Result<StorePage, StoreError>>;
    /// Waits up to `timeout` for changes below `prefix` after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        timeout: Duration,
    ) -> PortFuture<Result<StoreChanges, StoreError>>;
    /// Makes a change.
    fn change(&self, change: StoreChange) -> PortFuture<Result<StoreOutcome, StoreError>>;
    /// Takes a lease.
    fn take_lease(&self, length: Duration) -> PortFuture<Result<LeaseId, StoreError>>;
    /// Renews a lease from the arrival of the call on; false if it has ended.
    fn renew_lease(&self, lease: LeaseId) -> PortFuture<Result<bool, StoreError>>;
    /// Ends a lease and removes its keys.
    fn end_lease(&self, lease: LeaseId) -> PortFuture<Result<(), StoreError>>;
}
