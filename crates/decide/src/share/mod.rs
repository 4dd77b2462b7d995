//! Shares of a pool: which team goes next, and which entry host gets which slots.
//!
//! Start with [`pick`], the order inside one entry host, and [`SlotBroker`], which divides
//! the slots of one pool among entry hosts. [`SlotHolder`] is the broker's counterpart on
//! each entry host. `docs/design/06-shares.md` weighs the ways and measures them.

mod broker;
mod holder;
mod pick;
mod split;

pub use broker::{
    BrokerOptions, BrokerSwitch, HolderDemand, PoolOffer, SlotBroker, SlotMap, TeamLoad,
};
pub use holder::{HeldPool, HolderOptions, SlotHolder};
pub use pick::{PickOptions, TeamTurn, pick};
pub use split::{ShareClaim, apportion, fair_split};
