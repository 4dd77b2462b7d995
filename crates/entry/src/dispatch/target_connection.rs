use std::time::Duration;

use hyper::body::Bytes;
use model::{HostId, RequestId};
use ureq::{
    Agent, Body,
    config::Config,
    http::{Response, header::CONTENT_TYPE},
    unversioned::resolver::DefaultResolver,
};

use super::send_guard::{GuardedConnector, SendCheck, SendGuard, SendProgress};

/// A request to a target.
pub(crate) struct TargetRequest<'a> {
    /// Id that the target must echo.
    pub request: &'a RequestId,
    /// Value of the header `Team`.
    pub team: &'a str,
    /// Value of the header `Idempotent`.
    pub idempotent: bool,
    /// Value of the header `Content-Type`, if the caller sent one.
    pub content_type: Option<&'a str>,
    /// The body.
    pub body: &'a Bytes,
    /// Time left until the deadline.
    pub timeout: Duration,
}

/// A connection to one target, kept open between requests.
///
/// Each one has its own HTTP agent, so that no two requests share a connection and the
/// number of `TargetConnection`s bounds the connections that the target sees.
pub(crate) struct TargetConnection {
    /// The target.
    pub host: HostId,
    /// Address of the target. When the target's address changes, the connection is dropped.
    pub address: String,
    url: String,
    agent: Agent,
    guard: SendGuard,
}

impl TargetConnection {
    /// Creates a connection to `address`; it is opened by the first request.
    pub fn new(host: HostId, address: &str, connect_timeout: Duration) -> Self {
        let guard = SendGuard::default();
        let config = Config::builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .timeout_connect(Some(connect_timeout))
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .user_agent("lacewingshore")
            .build();
        let connector = GuardedConnector::new(guard.clone());
        Self {
            host,
            address: address.to_owned(),
            url: format!("http://{address}/v1/run"),
            agent: Agent::with_parts(config, connector, DefaultResolver::default()),
            guard,
        }
    }

    /// Sends a request and waits for the head of the response. `check` runs immediately
    /// before the first byte is sent.
    ///
    /// # Errors
    /// The error of the HTTP library; [`TargetConnection::progress`] says how far the request got.
    pub fn send(
        &self,
        request: &TargetRequest<'_>,
        check: SendCheck,
    ) -> Result<Response<Body>, ureq::Error> {
        self.guard.arm(check);
        let left = request.timeout.as_millis().max(1).to_string();
        let mut builder = self
            .agent
            .post(&self.url)
            .header("request-id", request.request.as_str())
            .header("deadline-ms", &left)
            .header("team", request.team)
            .header("idempotent", bool_text(request.idempotent));
        if let Some(text) = request.content_type {
            builder = builder.header(CONTENT_TYPE, text);
        }
        builder
            .config()
            .timeout_global(Some(request.timeout))
            .build()
            .send(request.body.as_ref())
    }

    /// How far the last request got.
    pub fn progress(&self) -> SendProgress {
        self.guard.progress()
    }
}

fn bool_text(value: bool) -> &'static str {
    if value { "true" } else { "false" }
}
