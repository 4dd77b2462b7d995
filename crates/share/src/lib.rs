//! Slot leases that divide each pool among entry hosts and teams.
//!
//! Start with [`ShareService`], which offers [`ports::SlotSource`] to the entry queues.
//! Each pool has one broker, named by rendezvous hashing over the members that are heard.
//! Every entry host keeps a session with each broker: it reports its demand, and is
//! granted slots for a few seconds. `docs/design/06-shares.md` says why this is safe and
//! what it costs.

pub mod event;

mod broker_sessions;
mod convert;
mod demand_merge;
mod pool_brokers;
mod pool_config;
mod service;

pub use broker_sessions::BrokerSessions;
pub use pool_brokers::PoolBrokers;
pub use service::{ShareOptions, ShareService, ShareTimes};
