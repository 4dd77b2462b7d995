//! Team quotas: splits a team's limit into units that are granted to entry hosts and moved between
//! them.
//!
//! Start with [`QuotaMachine`], the state machine of one entry host. Times, records and messages
//! are passed in as values; [`QuotaAction`]s are returned. `docs/design/05-quotas.md` explains why
//! the limit holds.

mod action;
mod ends;
mod grant_record;
mod machine;
mod messages;
mod next_record;
mod options;
mod round;
mod team;
mod token_bucket;

pub use action::{QuotaAction, QuotaWrite, WriteOutcome};
pub use machine::{QuotaMachine, TeamLimit};
pub use options::{QuotaMutation, QuotaOptions};
