use std::{
    fs, thread,
    time::{Duration, Instant},
};

use admin::{AdminProblem, ProblemCode};
use anyhow::Context;
use serde::de::DeserializeOwned;

use crate::{args::CliArguments, exit::CommandError};

/// Timeout of one call; accepting a change takes some seconds at most.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a read is retried while no entry host serves.
const READ_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two rounds of attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Largest response body that is read; the status of a whole fleet takes a few hundred KB.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// One call to the administration interface.
#[derive(Clone, Debug, Default)]
pub struct AdminRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Id of the change, which makes retries idempotent; empty for a read.
    pub change_id: String,
    /// Revision that the change was made against.
    pub base_revision: Option<u64>,
    /// Request body.
    pub body: Vec<u8>,
}

impl AdminRequest {
    /// A call that only reads.
    pub fn read(path: impl Into<String>) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            ..Self::default()
        }
    }

    /// A call that changes something under a change id.
    pub fn change(method: &'static str, path: impl Into<String>, change_id: &str) -> Self {
        Self {
            method,
            path: path.into(),
            change_id: change_id.to_owned(),
            ..Self::default()
        }
    }
}

/// Client of the administration interface, with failover between several entry hosts.
pub struct AdminClient {
    urls: Vec<String>,
    key: String,
    retry_timeout: Duration,
    agent: ureq::Agent,
}

/// How one attempt of a call failed.
enum AttemptError {
    /// A retry, possibly at another entry host, may succeed.
    Retry(CommandError),
    /// A retry would fail in the same way.
    Permanent(CommandError),
}

impl AdminClient {
    /// Creates a client with the addresses and the key from the arguments or the environment.
    pub fn new(arguments: &CliArguments) -> Result<Self, CommandError> {
        let urls = arguments
            .admin
            .clone()
            .or_else(|| std::env::var("LACEWINGSHORE_ADMIN").ok())
            .context("name an entry host with --admin or LACEWINGSHORE_ADMIN")?;
        let key = match &arguments.key_file {
            Some(path) => fs::read_to_string(path)
                .with_context(|| format!("read the key from {}", path.display()))?,
            None => std::env::var("LACEWINGSHORE_KEY")
                .context("give a key with --key-file or LACEWINGSHORE_KEY")?,
        };
        let urls: Vec<&str> = urls.split(',').map(str::trim).collect();
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .timeout_connect(Some(Duration::from_secs(2)))
            .build()
            .into();
        let urls = urls.iter().map(|url| url.trim_end_matches('/').to_owned());
        Ok(Self {
            urls: urls.collect(),
            key: key.trim().to_owned(),
            retry_timeout: Duration::from_secs(arguments.patience),
            agent,
        })
    }

    /// The addresses of the entry hosts.
    pub fn urls(&self) -> &[String] {
        &self.urls
    }

    /// Reads from the first entry host that answers; returns the body and its revision.
    ///
    /// Retries for a few seconds, as an entry host that has just started may not have joined
    /// yet.
    pub fn read_text(&self, path: &str) -> Result<(String, u64), CommandError> {
        self.call_with_retries(
            &AdminRequest::read(path),
            READ_RETRY_TIMEOUT.min(self.retry_timeout),
        )
    }

    /// Reads JSON from the first entry host that answers.
    pub fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        parse_json(&self.read_text(path)?.0)
    }

    /// Reads JSON from one entry host.
    pub fn read_from<T: DeserializeOwned>(&self, url: &str, path: &str) -> Result<T, CommandError> {
        match self.attempt_call(url, &AdminRequest::read(path)) {
            Ok((text, _)) => parse_json(&text),
            Err(AttemptError::Retry(error) | AttemptError::Permanent(error)) => Err(error),
        }
    }

    /// Makes a change and returns once it is accepted.
    ///
    /// A response may be lost after the change took effect. Each attempt carries the same
    /// change id, so the change is made once whichever attempts reach an entry host.
    pub fn change<T: DeserializeOwned>(&self, request: &AdminRequest) -> Result<T, CommandError> {
        parse_json(&self.call_with_retries(request, self.retry_timeout)?.0)
    }

    /// Tries each entry host in turn until one answers, a refusal is permanent, or the timeout
    /// has passed.
    fn call_with_retries(
        &self,
        request: &AdminRequest,
        retry_timeout: Duration,
    ) -> Result<(String, u64), CommandError> {
        let start = Instant::now();
        let mut last = CommandError::Unavailable("no entry host was named".to_owned());
        loop {
            for url in &self.urls {
                match self.attempt_call(url, request) {
                    Ok(answer) => return Ok(answer),
                    Err(AttemptError::Retry(error)) => last = prefer_pending(last, error),
                    Err(AttemptError::Permanent(error)) => return Err(final_error(last, error)),
                }
            }
            if start.elapsed() >= retry_timeout {
                return Err(last);
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn attempt_call(
        &self,
        url: &str,
        request: &AdminRequest,
    ) -> Result<(String, u64), AttemptError> {
        let mut call = ureq::http::Request::builder()
            .method(request.method)
            .uri(format!("{url}{}", request.path))
            .header("Authorization", format!("Bearer {}", self.key));
        if !request.change_id.is_empty() {
            call = call.header("Change-Id", &request.change_id);
        }
        if let Some(base) = request.base_revision {
            call = call.header("Base-Revision", base);
        }
        let call = call
            .body(request.body.clone())
            .with_context(|| format!("call {url}"))
            .map_err(|error| AttemptError::Permanent(error.into()))?;
        let mut answer = match self.agent.run(call) {
            Ok(answer) => answer,
            Err(error) => return Err(AttemptError::Retry(no_response(url, request, &error))),
        };
        let status = answer.status().as_u16();
        let revision = answer
            .headers()
            .get("Revision")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        let text = answer
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_string()
            .map_err(|error| AttemptError::Retry(no_response(url, request, &error)))?;
        match status {
            200 => Ok((text, revision)),
            _ => Err(refusal_error(url, status, &text)),
        }
    }
}

/// The error for a missing response: a change may have been made all the same.
fn no_response(url: &str, request: &AdminRequest, error: &ureq::Error) -> CommandError {
    if request.change_id.is_empty() {
        return CommandError::Unavailable(format!("{url}: {error}"));
    }
    CommandError::Pending(format!(
        "{url}: {error}; not known to be accepted, repeat with --change-id {}",
        request.change_id
    ))
}

fn refusal_error(url: &str, status: u16, text: &str) -> AttemptError {
    let Ok(problem) = serde_json::from_str::<AdminProblem>(text) else {
        let error = anyhow::anyhow!("{url}: status {status} without a readable body");
        return AttemptError::Permanent(error.into());
    };
    let mut detail = format!("{url}: {}", problem.detail);
    if !problem.touched.is_empty() {
        detail += &format!("; changed in between: {}", problem.touched.join(", "));
    }
    match problem.kind {
        ProblemCode::KeyRefused => AttemptError::Permanent(CommandError::KeyRefused(detail)),
        ProblemCode::Conflict => AttemptError::Permanent(CommandError::Conflict(detail)),
        ProblemCode::Pending => AttemptError::Retry(CommandError::Pending(detail)),
        ProblemCode::Unavailable | ProblemCode::Busy | ProblemCode::SlowSender => {
            AttemptError::Retry(CommandError::Unavailable(detail))
        }
        ProblemCode::Invalid
        | ProblemCode::TooLarge
        | ProblemCode::BadRequest
        | ProblemCode::NotFound => AttemptError::Permanent(CommandError::Invalid(detail)),
    }
}

/// Keeps a pending error over a later one: once an attempt may have made the change, a later
/// refusal does not show that nothing was done.
fn prefer_pending(last: CommandError, next: CommandError) -> CommandError {
    match last {
        CommandError::Pending(_) => last,
        _ => next,
    }
}

/// The error to return after a permanent refusal.
///
/// An operator may withdraw the key that the command itself presents. If that took effect
/// and the response was lost, the next attempt is refused for the key. This must not be
/// reported as a failed withdrawal, so the pending error is kept.
fn final_error(last: CommandError, refusal: CommandError) -> CommandError {
    match (&last, &refusal) {
        (CommandError::Pending(_), CommandError::KeyRefused(_)) => last,
        _ => refusal,
    }
}

fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, CommandError> {
    Ok(serde_json::from_str(text).context("read the answer")?)
}
