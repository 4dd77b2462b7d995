//! Maintenance: which hosts go out when, and how each comes back.
//!
//! Start with [`RoundPlan::make`], which turns what is known of the fleet into the next
//! change of the pool map. It is called again and again with fresh observations; whatever
//! it needs to remember is in the map, so that another entry host can go on where one
//! stopped. See `docs/design/07-fleet.md`.

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
