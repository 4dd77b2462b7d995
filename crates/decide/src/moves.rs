//! Moves of hosts between pools whose demand alternates.
//!
//! Start with [`MovePlanner::plan`], which is given the load of each pool every second and
//! says which pools give how many hosts to which. Hosts are not sent home after a peak:
//! they stay until another pool needs them, which saves every second move. See
//! `docs/design/10-moves.md`.

mod move_planner;
mod peak_forecast;

pub use move_planner::{HostMove, MovePlanner, MovePolicy, PoolLoad};
pub use peak_forecast::PeakForecast;
