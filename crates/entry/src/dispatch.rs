//! Sending of requests to targets, each on its own thread and connection.
//!
//! Start with [`DispatchPool`]. A [`TargetConnection`] is one connection to one target. The
//! admission thread passes it along with a request and gets it back with the report, so the
//! number of these connections bounds the connections that a target sees.

mod dispatch_pool;
mod run_attempt;
mod send_guard;
mod target_connection;

pub(crate) use dispatch_pool::{DispatchJob, DispatchPool};
pub(crate) use run_attempt::{AttemptEnd, AttemptReport, AttemptRunner, NotRunCause};
pub(crate) use target_connection::TargetConnection;
