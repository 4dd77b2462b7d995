//! Clients of the platform: configuration store, host list and the clock that counts
//! suspended time.
//!
//! Start with [`KeyStore`] and [`HostList`]: a deployment on another platform implements
//! these two traits. [`HttpStore`] and [`HttpHostList`] speak the HTTP protocol of
//! `docs/PLATFORM.md`.

mod boot_clock;
mod hex_text;
mod host_list;
mod http_caller;
mod http_host_list;
mod http_store;
mod key_store;
mod store_counts;

pub use boot_clock::{BootClock, Clock};
pub use host_list::{HostEntry, HostList, HostListError};
pub use http_host_list::HttpHostList;
pub use http_store::HttpStore;
pub use key_store::{KeyStore, StoreError, StoreVersion, StoredValue};
pub use store_counts::{CallKind, StoreCounts};
