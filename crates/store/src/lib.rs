//! Clients of the platform's configuration store and host list, and a clock that includes
//! suspended time.
//!
//! Start with [`KeyStore`] and [`HostList`]: a deployment on another platform implements
//! these two traits. [`HttpStore`] and [`HttpHostList`] speak the HTTP protocol of
//! `docs/PLATFORM.md`; [`RetryStore`] retries calls and finds out whether a write with a lost
//! response took effect; `docs/design/08-platform.md` explains why this is safe.

pub mod event;

mod boot_clock;
mod call_rate_limiter;
mod hex_text;
mod host_list;
mod http_caller;
mod http_host_list;
mod http_store;
mod key_store;
mod retry_store;
mod store_circuit;
mod store_counts;

pub use boot_clock::{BootClock, Clock, thread_processor_time};
pub use call_rate_limiter::CallRateLimiter;
pub use host_list::{HostEntry, HostList, HostListError};
pub use http_host_list::HttpHostList;
pub use http_store::HttpStore;
pub use key_store::{KeyStore, StoreError, StoreVersion, StoredValue};
pub use retry_store::{RetrySettings, RetryStore};
pub use store_circuit::{CircuitVerdict, StoreCircuit};
pub use store_counts::{CallKind, StoreCounts};
