//! Administration interface: manifest changes, keys, status and audit trail.
//!
//! [`AdminServer`] answers operators over HTTP and [`AuditKeeper`] writes the audit trail.
//! The types in [`view`] and [`AdminProblem`] are the JSON bodies, shared with the
//! commands of the binary. `docs/design/12-admin-interface.md` says what bounds it.

pub mod audit;
pub mod event;
pub mod key_secret;
pub mod view;

mod admin_auth;
mod admin_problem;
mod admin_server;
mod metrics_keeper;
mod route;
mod server;

pub use admin_problem::{AdminProblem, ProblemCode};
pub use admin_server::{AdminConfig, AdminServer};
pub use audit::AuditKeeper;
