//! Maintenance: which hosts are taken out of service when, and how each returns.
//!
//! Start with [`RoundPlan::plan`], which turns the observed state of the fleet into the next change
//! of the pool map. It is called repeatedly with fresh observations. All state that it needs
//! between rounds is in the map, so that another entry host can continue. See
//! `docs/design/07-fleet.md`.

mod lend;
mod observation;
mod outage_planner;
mod pool_choice;
mod progress;
mod rehome;
mod round_plan;
mod window_clock;

pub use observation::{FleetLimits, HealthStatus, HostObservation, PhaseEntry};
pub use pool_choice::PoolChoice;
pub use round_plan::{RoundInput, RoundPlan};
pub use window_clock::WindowClock;
