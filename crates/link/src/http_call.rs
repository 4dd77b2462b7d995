use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::{HeaderMap, Method};
use model::StepError;

/// A request to a peer.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Purpose of the call as a short verb phrase, included in errors.
    pub step: &'static str,
    /// Address of the peer, as `ip:port`.
    pub address: CompactString,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers other than host, content length and content type.
    pub headers: HeaderMap,
    /// Request body; empty for none.
    pub body: Bytes,
    /// Timeout for the head of the response, including the time to connect, and then for each
    /// further part of its body.
    pub timeout: Duration,
}

impl HttpCall {
    /// Creates a call without headers and body.
    pub fn new(
        step: &'static str,
        address: impl Into<CompactString>,
        method: Method,
        path: impl Into<String>,
        timeout: Duration,
    ) -> Self {
        Self {
            step,
            address: address.into(),
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout,
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

/// The response to a call, or to a request that this process serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Complete body.
    pub body: Bytes,
    /// Time after which the caller may retry, for refusals.
    pub retry_after: Option<Duration>,
}

impl HttpReply {
    /// Creates a response without a body.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            body: body.into(),
            ..Self::default()
        }
    }
}

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum HttpCallError {
    /// The request can't have reached the peer, so it had no effect.
    #[error("not sent: {0}")]
    NotSent(#[source] StepError),
    /// The request was sent but no complete response arrived. It may have taken effect, or may
    /// still do so later.
    #[error("unanswered: {0}")]
    Unanswered(#[source] StepError),
}
