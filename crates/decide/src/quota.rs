//! Team limits: how the units of an upper limit are split among entry hosts and moved.
//!
//! Start with [`QuotaMachine`], which holds the grants of one entry host. Times, records and
//! messages go in as values, [`QuotaAction`]s come out. `docs/design/05-quotas.md` holds the
//! argument.

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
