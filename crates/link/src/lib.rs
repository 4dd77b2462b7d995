//! HTTP/1.1 client and server with keep-alive connections on one event loop.
//!
//! Start with [`CallClient`], which sends all outgoing calls of a process, and [`serve_http`],
//! which serves one listening address. On a quarter of a core, a call over an open connection
//! costs both ends together about 30 microseconds, a third of the cost of a blocking client in
//! its own thread; see `docs/design/13-platform.md`.

mod call_client;
mod http_call;
mod http_server;
mod shutdown;

pub use call_client::CallClient;
pub use http_call::{HttpCall, HttpCallError, HttpReply};
pub use http_server::{HttpRequest, HttpService, ReplyFuture, ServerLimits, serve_http};
pub use shutdown::ShutdownSignal;
