use std::time::Duration;

use fake::expected_answer;
use model::RunFate;
use serde::Deserialize;
use ureq::{
    Agent, Body, Error, Timeout,
    http::{Request, Response},
};

use super::{EntryPlace, TeamKey};
use crate::RequestOutcome;

/// Time that a caller waits beyond the deadline that it asked for.
const GRACE: Duration = Duration::from_secs(5);
/// Largest answer that a caller takes.
const MAX_ANSWER: u64 = 32 * 1024 * 1024;
/// What an executor's stand-in says of a run that failed.
const SERVICE_FAILURE: &[u8] = b"the service failed";

/// One call of a service.
#[derive(Clone, Debug)]
pub struct RequestCall {
    /// The service.
    pub service: String,
    /// The key.
    pub key: TeamKey,
    /// Request id; `None` lets the entry host mint one that can't be used again.
    pub request: Option<String>,
    /// How long an answer is of use.
    pub deadline: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// What a caller gets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestReply {
    /// For checkers.
    pub outcome: RequestOutcome,
    /// Status, 0 for none.
    pub status: u16,
}

/// Calls services as a caller does.
#[derive(Clone, Debug)]
pub struct RequestClient {
    agent: Agent,
}

/// A refusal's body.
#[derive(Debug, Deserialize)]
struct ProblemBody {
    problem: String,
    fate: RunFate,
}

/// A minted id's body.
#[derive(Debug, Deserialize)]
struct MintedBody {
    request_id: String,
}

impl Default for RequestClient {
    fn default() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_secs(1)))
            .build();
        Self {
            agent: config.new_agent(),
        }
    }
}

impl RequestClient {
    /// Has an entry host mint a request id; `None` if it did not.
    pub fn mint(&self, entry: &EntryPlace, key: &TeamKey) -> Option<String> {
        let url = format!("{}/v1/request-ids", entry.caller_url());
        let call = self
            .agent
            .post(url)
            .header("Authorization", format!("Bearer {}", key.text))
            .config()
            .timeout_global(Some(GRACE))
            .build();
        let mut response = call.send_empty().ok()?;
        let body = response.body_mut().read_to_vec().ok()?;
        let minted: MintedBody = serde_json::from_slice(&body).ok()?;
        Some(minted.request_id)
    }

    /// Calls a service through an entry host.
    pub fn call(&self, entry: &EntryPlace, call: &RequestCall) -> RequestReply {
        match self.send(entry, call) {
            Ok(response) => read_reply(response, &call.body),
            Err(error) if is_not_connected(&error) => RequestReply {
                outcome: RequestOutcome::NotConnected,
                status: 0,
            },
            Err(_) => RequestReply::default(),
        }
    }

    fn send(&self, entry: &EntryPlace, call: &RequestCall) -> Result<Response<Body>, Error> {
        let url = format!(
            "{}/v1/services/{}/requests",
            entry.caller_url(),
            call.service
        );
        let mut builder = Request::post(url)
            .header("Authorization", format!("Bearer {}", call.key.text))
            .header("Deadline-Ms", call.deadline.as_millis().to_string())
            .header("Idempotent", call.idempotent.to_string());
        if let Some(request) = &call.request {
            builder = builder.header("Request-Id", request);
        }
        let request = builder.body(&call.body[..])?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(call.deadline + GRACE))
            .build();
        self.agent.run(request)
    }
}

fn read_reply(mut response: Response<Body>, body: &[u8]) -> RequestReply {
    let status = response.status().as_u16();
    let reading = response.body_mut().with_config().limit(MAX_ANSWER);
    // An answer that breaks off is none: the caller sees that it is not whole.
    let Ok(answer) = reading.read_to_vec() else {
        return RequestReply::default();
    };
    let outcome = match serde_json::from_slice::<ProblemBody>(&answer) {
        Ok(problem) if status != 200 => RequestOutcome::Refused {
            fate: problem.fate,
            kind: problem.problem,
        },
        _ => RequestOutcome::Answer {
            is_right: (status == 200 && answer == expected_answer(body))
                || (status == 500 && answer == SERVICE_FAILURE),
        },
    };
    RequestReply { outcome, status }
}

fn is_not_connected(error: &Error) -> bool {
    match error {
        Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        Error::ConnectionFailed | Error::Timeout(Timeout::Connect) => true,
        _ => false,
    }
}
