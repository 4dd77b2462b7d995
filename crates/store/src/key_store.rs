use std::time::Duration;

/// Version of a key's value; it grows with each write, and 0 means that the key is absent.
pub type StoreVersion = u64;

/// A value read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Version of the value.
    pub version: StoreVersion,
    /// The value, at most a megabyte.
    pub value: Vec<u8>,
}

/// Why an operation on the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The key's version is not the expected one; nothing was written.
    #[error("conflict: the key is at version {current}")]
    Conflict {
        /// Version that the key has.
        current: StoreVersion,
    },
    /// Nothing was done: the store refused the call or no connection was made.
    #[error("store unavailable: {0}")]
    Unavailable(String),
    /// The call was sent and no answer came: a write may have taken effect.
    #[error("store did not answer: {0}")]
    Unknown(String),
    /// The call is malformed, or the value is too large; repeating it is useless.
    #[error("store rejected the call: {0}")]
    Rejected(String),
}

/// The platform's configuration store: keys with versions, compare-and-swap and watches.
pub trait KeyStore: Send + Sync {
    /// Reads a key; linearizable. `None` if it is absent.
    ///
    /// # Errors
    /// `Unavailable` or `Unknown` if no answer came in time.
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError>;
    /// Writes a key if its version is `expect` (0: if it is absent); returns the new version.
    ///
    /// # Errors
    /// `Conflict` if the version differs; after `Unknown` the write may have taken effect,
    /// and only a read tells.
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
    /// Waits up to `patience` until the key's version is above `after`; `None` if it was not.
    ///
    /// # Errors
    /// As for [`KeyStore::read`].
    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        patience: Duration,
    ) -> Result<Option<StoredValue>, StoreError>;
    /// Reads all keys that begin with `prefix`, in order.
    ///
    /// # Errors
    /// As for [`KeyStore::read`].
    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError>;
}
