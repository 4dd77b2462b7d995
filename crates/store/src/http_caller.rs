use std::time::Duration;

use ureq::{
    Agent, Body, Error, Timeout,
    http::{Request, Response},
};

/// Timeout for opening a connection; it counts against the timeout of the whole call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle connections kept for later calls; each calling thread uses one at a time.
const IDLE_CONNECTIONS: usize = 8;

/// Why a call got no response.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection was made, so the server did not receive the call.
    NotSent(String),
    /// The request was sent, at least in part, and no complete response arrived.
    NoAnswer(String),
}

/// A complete response.
#[derive(Debug, Default)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) version: Option<u64>,
    /// `ETag` of the body, for `if_none_match` of a later call.
    pub(crate) tag: Option<String>,
    pub(crate) body: Vec<u8>,
}

/// The parameters of one HTTP call.
#[derive(Debug)]
pub(crate) struct CallPlan<'a> {
    pub(crate) method: &'static str,
    pub(crate) url: String,
    pub(crate) if_version: Option<u64>,
    /// `ETag` for which the server responds 304 without a body if the content is unchanged.
    pub(crate) if_none_match: Option<&'a str>,
    pub(crate) body: &'a [u8],
    /// Timeout for the complete response.
    pub(crate) timeout: Duration,
    /// Maximum number of bytes read from the response body.
    pub(crate) max_answer: u64,
}

/// Makes HTTP calls with a timeout and a limit on the response size.
///
/// `ureq` does not retry calls by itself, not even on a pooled connection that the server has
/// closed. So an error after the connection was established always means that the server may
/// have received the call.
#[derive(Clone, Debug)]
pub(crate) struct HttpCaller {
    agent: Agent,
    // Name of the called service in metrics.
    service: &'static str,
}

impl HttpCaller {
    pub(crate) fn new(service: &'static str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(IDLE_CONNECTIONS)
            .max_idle_connections_per_host(IDLE_CONNECTIONS)
            .build();
        Self {
            agent: config.new_agent(),
            service,
        }
    }

    pub(crate) fn call(&self, plan: &CallPlan<'_>) -> Result<CallAnswer, CallError> {
        let mut builder = Request::builder().method(plan.method).uri(&plan.url);
        if let Some(version) = plan.if_version {
            builder = builder.header("If-Version", version);
        }
        if let Some(tag) = plan.if_none_match {
            builder = builder.header("If-None-Match", tag);
        }
        self.count_bytes("sent", plan.url.len() + plan.body.len());
        let result = if plan.body.is_empty() && plan.method != "PUT" {
            let request = builder.body(()).map_err(|error| not_sent(&error))?;
            let request = self.with_timeout(request, plan.timeout);
            self.agent.run(request)
        } else {
            let request = builder.body(plan.body).map_err(|error| not_sent(&error))?;
            let request = self.with_timeout(request, plan.timeout);
            self.agent.run(request)
        };
        let response = result.map_err(|error| classify(&error))?;
        let content_length =
            header_text(&response, "Content-Length").and_then(|text| text.parse().ok());
        let answer = read_answer(response, plan.max_answer)?;
        self.count_bytes("received", content_length.unwrap_or(answer.body.len()));
        Ok(answer)
    }

    // Counts bodies and URLs; the HTTP headers are small and the same for each call.
    fn count_bytes(&self, direction: &'static str, bytes: usize) {
        metrics::counter!(
            "lws_platform_bytes",
            "service" => self.service,
            "direction" => direction
        )
        .increment(bytes as u64);
    }

    fn with_timeout<S: ureq::AsSendBody>(
        &self,
        request: Request<S>,
        timeout: Duration,
    ) -> Request<S> {
        self.agent
            .configure_request(request)
            .timeout_global(Some(timeout))
            .build()
    }
}

fn not_sent(error: &ureq::http::Error) -> CallError {
    CallError::NotSent(error.to_string())
}

fn read_answer(mut response: Response<Body>, limit: u64) -> Result<CallAnswer, CallError> {
    let status = response.status().as_u16();
    let version = header_text(&response, "Version").and_then(|text| text.parse().ok());
    let tag = header_text(&response, "ETag").map(str::to_owned);
    let body = response
        .body_mut()
        .with_config()
        .limit(limit)
        .read_to_vec()
        .map_err(|error| CallError::NoAnswer(error.to_string()))?;
    Ok(CallAnswer {
        status,
        version,
        tag,
        body,
    })
}

fn header_text<'a>(response: &'a Response<Body>, name: &str) -> Option<&'a str> {
    let value = response.headers().get(name)?;
    value.to_str().ok()
}

/// Only errors that can't occur after a connection was established count as not sent. If a
/// lost response counted as an unsent call, a caller would repeat a write that took effect.
fn classify(error: &Error) -> CallError {
    let text = error.to_string();
    match error {
        Error::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallError::NotSent(text)
        }
        Error::Timeout(Timeout::Connect | Timeout::Resolve)
        | Error::HostNotFound
        | Error::ConnectionFailed
        | Error::BadUri(_)
        | Error::Http(_) => CallError::NotSent(text),
        _ => CallError::NoAnswer(text),
    }
}
