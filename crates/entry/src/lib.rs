//! Caller interface, admission queues and dispatch to targets.
//!
//! Start with [`EntryServer::start`]: it opens the caller port and starts the threads of
//! this crate. A request is received by the caller port (`caller`), waits in the queue of
//! its pool (`admission`), and is sent to a target by a dispatch thread (`dispatch`). The
//! interface is described in `docs/API.md`, the reasons in `docs/design/03-callers.md` and
//! `docs/design/04-at-most-once.md`.

mod admission;
mod caller;
mod caller_request;
mod claim;
mod dispatch;
mod entry_server;
mod entry_tuning;
pub mod event;
mod problem;

pub use claim::ClaimService;
pub use entry_server::{EntryConfig, EntryServer};
pub use entry_tuning::EntryTuning;
pub use problem::CallerProblem;
