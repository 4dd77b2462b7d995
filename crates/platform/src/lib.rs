//! Clients of the platform: configuration store, host list and the clock that counts
//! suspended time.
//!
//! Start with [`KeyStore`] and [`HostList`]: a deployment on another platform implements
//! these two traits. The HTTP protocol of the adapters here is in `docs/PLATFORM.md`.

mod boot_clock;
mod host_list;
mod key_store;

pub use boot_clock::{BootClock, Clock};
pub use host_list::{HostEntry, HostList, HostListError};
pub use key_store::{KeyStore, StoreError, StoreVersion, StoredValue};
