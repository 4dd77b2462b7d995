use std::time::Duration;

use ureq::{
    Agent, Body, Error, Timeout,
    http::{Request, Response},
};

/// How long opening a connection may take; within one call's time for the whole answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle connections kept for the next calls; each duty that calls uses one at a time.
const IDLE_CONNECTIONS: usize = 8;

/// Why a call brought no answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection was made, so that the peer saw nothing of the call.
    NotSent(String),
    /// The call went out, at least in part, and no whole answer came.
    NoAnswer(String),
}

/// A whole answer.
#[derive(Debug, Default)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) version: Option<u64>,
    /// Names the content of the body, to be asked again with `if_none_match`.
    pub(crate) tag: Option<String>,
    pub(crate) body: Vec<u8>,
}

/// One call to be made.
#[derive(Debug)]
pub(crate) struct CallPlan<'a> {
    pub(crate) method: &'static str,
    pub(crate) url: String,
    pub(crate) if_version: Option<u64>,
    /// Answer 304 without a body if the content is still the one with this tag.
    pub(crate) if_none_match: Option<&'a str>,
    pub(crate) body: &'a [u8],
    /// Longest wait for the whole answer.
    pub(crate) timeout: Duration,
    /// Most bytes of an answer that are read.
    pub(crate) max_answer: u64,
}

/// Makes HTTP calls that end in time and whose answers are bounded.
///
/// `ureq` repeats no call by itself, also not on a pooled connection that the peer has
/// closed. So an error after the connection stood always means that the call may have
/// reached the peer.
#[derive(Clone, Debug)]
pub(crate) struct HttpCaller {
    agent: Agent,
    // What is called, for the metrics.
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
        let packed = header_text(&response, "Content-Length").and_then(|text| text.parse().ok());
        let answer = read_answer(response, plan.max_answer)?;
        self.count_bytes("received", packed.unwrap_or(answer.body.len()));
        Ok(answer)
    }

    // Bodies and URLs; what HTTP adds is small and the same for each call.
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

/// Only errors that can't arise once a connection stands count as not sent. Taking a
/// lost answer for an unsent call would make a caller repeat a write that took effect.
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
