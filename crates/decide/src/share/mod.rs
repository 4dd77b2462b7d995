//! Fair sharing of a pool: which team is served next, and which entry host gets which slots.
//!
//! Start with [`pick_next_team`], the order inside one entry host, and [`SlotBroker`], which
//! divides the slots of one pool among entry hosts. [`SlotHolder`] is the broker's counterpart on
//! each entry host. `docs/design/06-shares.md` compares and measures the alternatives.

mod broker;
mod byte_budget;
mod holder;
mod holder_state;
mod pick;
mod split;
mod terms;

pub use broker::SlotBroker;
pub use byte_budget::ByteBudget;
pub use holder::{HeldPool, HolderOptions, SlotHolder};
pub use pick::{PickOptions, TeamTurn, pick_next_team};
pub use split::{ShareClaim, apportion, fair_split};
pub use terms::{BrokerOptions, BrokerSwitch, HolderDemand, PoolOffer, SlotMap, TeamLoad};
