//! Moves of hosts between pools whose demand peaks alternate.
//!
//! Start with [`MovePlanner::plan`]. It is called every second with the load of each pool and
//! returns how many hosts move from which pool to which. Hosts do not return to their original pool
//! after a peak. They stay until another pool needs them, which saves every second move. See
//! `docs/design/10-moves.md`.

mod move_planner;
mod peak_forecast;

pub use move_planner::{HostMove, MovePlanner, MovePolicy, PoolLoad};
pub use peak_forecast::PeakForecast;
