//! Slot leases that divide each pool among entry hosts and teams.
//!
//! Start with [`ShareService`], which offers [`ports::SlotSource`] to the entry queues.
//! Each pool has one broker, named by rendezvous hashing over the members that are heard.
//! Every entry host keeps a session with each broker: it reports its demand, and is
//! granted slots for a few seconds. `docs/design/06-shares.md` says why this is safe and
//! what it costs.

pub mod event;

mod broker_desk;
mod convert;
mod demand_merge;
mod pool_terms;
mod service;
mod session_book;

pub use broker_desk::BrokerDesk;
pub use service::{ShareOptions, ShareService, ShareTimes};
pub use session_book::SessionBook;
