//! HTTP/1.1 over kept connections, both ends on one event loop.
//!
//! Start with [`CallClient`], which every outgoing call of a process goes through, and
//! [`serve_http`], which answers on one listening address. Measured on a quarter of a core,
//! a call over a kept connection costs both ends together about 30 microseconds, a third of
//! what a blocking client in a thread of its own takes; see `docs/design/13-platform.md`.

mod call_client;
mod http_call;
mod http_server;
mod shutdown;

pub use call_client::CallClient;
pub use http_call::{CallError, HttpCall, HttpReply};
pub use http_server::{HttpRequest, HttpService, ReplyFuture, ServerLimits, serve_http};
pub use shutdown::ShutdownSignal;
