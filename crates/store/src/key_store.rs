use std::time::Duration;

/// Version of a key's value. It grows with each write; 0 means that the key is absent.
pub type StoreVersion = u64;

/// A value read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Version of the value.
    pub version: StoreVersion,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
}

/// Why an operation on the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The key's version is not the expected one; nothing was written.
    #[error("conflict: the key is at version {current}")]
    Conflict {
        /// Current version of the key.
        current: StoreVersion,
    },
    /// The store refused the call or no connection was made; nothing was written.
    #[error("store unavailable: {0}")]
    Unavailable(String),
    /// The call was sent and no response arrived; a write may have taken effect.
    #[error("store did not answer: {0}")]
    Unknown(String),
    /// The call is malformed or the value is too large; a retry would fail again.
    #[error("store rejected the call: {0}")]
    Rejected(String),
}

/// The platform's configuration store: keys with versions, compare-and-swap and watches.
pub trait KeyStore: Send + Sync {
    /// Reads a key; the read is linearizable. `None` if the key is absent.
    ///
    /// # Errors
    /// `Unavailable` or `Unknown` if no response arrived in time.
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError>;
    /// Writes a key if its version is `expect` (0: if it is absent); returns the new version.
    ///
    /// # Errors
    /// `Conflict` if the version differs. After `Unknown` the write may have taken effect; only
    /// a read shows whether it did.
    fn swap(
        &self,
        key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError>;
    /// Removes a key if its version is `expect`.
    ///
    /// # Errors
    /// As for [`KeyStore::swap`].
    fn remove(&self, key: &str, expect: StoreVersion) -> Result<(), StoreError>;
    /// Waits up to `max_wait` until the key's version is above `after`; `None` if it stays below.
    ///
    /// # Errors
    /// As for [`KeyStore::read`].
    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        max_wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError>;
    /// Reads all keys that begin with `prefix`, in order.
    ///
    /// # Errors
    /// As for [`KeyStore::read`].
    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError>;
}
