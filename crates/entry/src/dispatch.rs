//! Sending requests to targets, each on a thread and a connection of its own.
//!
//! Start with [`DispatchPool`]. A [`TargetConnection`] is one connection to one target; the
//! admission thread hands it out with a request and gets it back with the report, so the
//! number of lanes bounds the connections a target sees.

mod dispatch_pool;
mod run_attempt;
mod send_guard;
mod target_connection;

pub(crate) use dispatch_pool::{DispatchJob, DispatchPool};
pub(crate) use run_attempt::{AttemptEnd, AttemptReport, AttemptRunner, NotRunCause};
pub(crate) use target_connection::TargetConnection;
