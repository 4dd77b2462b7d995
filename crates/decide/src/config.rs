//! The configuration: how changes are applied, when they conflict, and what is stored.
//!
//! Start with [`ConfigState`], the whole configuration at one revision, and [`plan_change`], which
//! turns an operator's change into the record to write. `docs/design/02-configuration.md` explains
//! the design.

mod plan;
mod state;

pub use plan::{ChangePlan, ConfigLimits, ConfigWrite, PlanInput, plan_change};
pub use state::{CatchUp, ConfigError, ConfigState};
