//! The pool map and its availability budgets.
//!
//! Start with [`FleetMap`], which assigns hosts to pools, and [`PoolLedger`], which decides whether
//! a pool can spare a host now. A host has one entry in the map and an entry names one pool, so no
//! host is ever in two pools. See `docs/design/07-fleet.md`.

mod fleet_map;
mod host_state;
mod pool_ledger;

pub use fleet_map::{FleetMap, MapChange, MapGap, PoolHosts};
pub use host_state::{HostFacts, HostState};
pub use pool_ledger::{OutageRefusal, PoolLedger};
pub use wire::fleet::{HostPhase, OutCause};
