//! Slot leases that divide the slots of each pool among entry hosts and teams.
//!
//! Start with [`ShareService`], which offers [`ports::SlotSource`] to the entry queues.
//! Each pool has one broker, chosen by rendezvous hashing over the reachable members. Every
//! entry host keeps a session with each broker: it reports its demand and receives slots for a
//! few seconds. `docs/design/06-shares.md` explains why this is safe and what it costs.

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
