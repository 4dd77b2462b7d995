//! The caller port: connections, limits, keys and routes.
//!
//! Start with [`CallerPort`]. One thread serves all connections. With a thread per
//! connection, slow senders would decide how much memory the process uses; see
//! `docs/design/03-callers.md`. Nothing here blocks: requests are passed on over bounded
//! channels and their outcomes are awaited.

mod body_budget;
mod body_reader;
mod caller_port;
mod caller_stream;
mod connection_limiter;
mod job_routes;
mod job_thread_pool;
mod key_check;
mod port_loop;
mod request_head;
mod respond;
mod routes;

pub(crate) use body_budget::{BodyBudget, BodyReservation};
pub(crate) use caller_port::CallerPort;
pub(crate) use connection_limiter::ConnectionLimiter;
pub(crate) use job_thread_pool::{JobRunner, JobThreadPool};
pub(crate) use key_check::recheck_key;
pub(crate) use port_loop::{PortPhase, serve_port};
