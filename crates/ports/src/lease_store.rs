use std::{future::Future, pin::Pin, time::Duration};

use compact_str::CompactString;

/// Future returned by asynchronous ports. Not `Send`: the process runs a single-threaded event loop.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = T>>>;
/// Revision of the store: the number of changes so far.
pub type StoreRevision = u64;
/// Id of a lease in the store.
pub type LeaseId = u64;

/// A key with its value and revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: CompactString,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// A page of the keys with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StorePage {
    /// The items, in the order of their keys.
    pub items: Vec<StoreItem>,
    /// Whether more keys follow.
    pub more: bool,
    /// Revision of the store at the time of the read.
    pub revision: StoreRevision,
}

/// A change of one key, reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// A key was written.
    Written(StoreItem),
    /// A key was removed, at this revision.
    Removed(CompactString, StoreRevision),
}

/// The changes reported by a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// The changes, oldest first.
    pub events: Vec<StoreEvent>,
    /// Revision from which the next watch continues.
    pub revision: StoreRevision,
}

/// A transaction: takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChange {
    /// Condition: keys with the revisions that they must have; 0 for a key that must not exist.
    pub expect: Vec<(CompactString, StoreRevision)>,
    /// Keys to write.
    pub writes: Vec<StoreWrite>,
    /// Keys to remove.
    pub removes: Vec<CompactString>,
}

/// A write of one key in a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreWrite {
    /// The key.
    pub key: CompactString,
    /// The new value.
    pub value: Vec<u8>,
    /// Lease that the key is attached to; `None` for a permanent key. The key is removed when the
    /// lease ends.
    pub lease: Option<LeaseId>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It took effect at this revision.
    Done(StoreRevision),
    /// A key had another revision than expected. Nothing was changed. Holds the current items.
    Conflict(Vec<StoreItem>),
    /// The lease has ended. Nothing was changed.
    LeaseEnded,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseStoreError {
    /// The store refused the call, or the call was not sent. Nothing was changed.
    #[error("store refused the call: {0}")]
    Refused(String),
    /// No response. The call may have taken effect already, or may still do so later.
    #[error("store did not answer: {0}")]
    Unanswered(String),
    /// The history that a watch needs has been compacted.
    #[error("the history has been dropped")]
    HistoryGone,
    /// The response is unreadable.
    #[error("unreadable answer of the store: {0}")]
    Unreadable(String),
}

/// Client of the platform's key-value store, with leases and watches.
pub trait LeaseStore {
    /// Reads one key. The read is linearizable.
    fn read(&self, key: &str) -> PortFuture<Result<Option<StoreItem>, LeaseStoreError>>;
    /// Reads a page of the keys with `prefix` that follow the key `after`.
    ///
    /// Each page is linearizable, but the pages together are not a snapshot.
    fn list(&self, prefix: &str, after: &str) -> PortFuture<Result<StorePage, LeaseStoreError>>;
    /// Waits up to `timeout` for changes of keys with `prefix` after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        timeout: Duration,
    ) -> PortFuture<Result<StoreChanges, LeaseStoreError>>;
    /// Commits a transaction if its conditions hold.
    fn change(&self, change: StoreChange) -> PortFuture<Result<StoreOutcome, LeaseStoreError>>;
    /// Creates a lease that ends after `length` unless it is renewed.
    fn take_lease(&self, length: Duration) -> PortFuture<Result<LeaseId, LeaseStoreError>>;
    /// Renews a lease; false if it has ended. Its full length counts from the arrival of the call
    /// at the store.
    fn renew_lease(&self, lease: LeaseId) -> PortFuture<Result<bool, LeaseStoreError>>;
    /// Ends a lease and removes the keys attached to it.
    fn end_lease(&self, lease: LeaseId) -> PortFuture<Result<(), LeaseStoreError>>;
}
