use std::time::Duration;

use anyhow::{Context, Result, bail};
use model::KeyText;
use serde::Deserialize;
use ureq::{
    Agent, Body, Error,
    http::{Request, Response},
};

use super::EntryPlace;
use crate::{ChangeEffect, ChangeOp, ChangeResult, ForceOp, HistoryLog, OpTimer};

/// Longest wait for an answer: acceptance waits for a majority.
const TIMEOUT: Duration = Duration::from_secs(20);
const SALT: [u8; model::KEY_SALT_LEN] = [7; model::KEY_SALT_LEN];

/// A key of a team as its callers hold it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamKey {
    /// Its public part.
    pub key_id: String,
    /// What callers present.
    pub text: String,
    /// The team.
    pub team: String,
}

/// What the administration interface tells of one entry host.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct StatusAnswer {
    /// The entry host.
    pub member: String,
    /// Revision in force.
    pub revision: u64,
    /// Hash of the configuration in force.
    pub hash: String,
    /// `yes`, or why it takes no new work.
    pub serving: String,
}

/// Drives the administration interface as operators do, and records what it is told.
#[derive(Clone, Debug)]
pub struct FleetOperator {
    agent: Agent,
    log: HistoryLog,
    key: KeyText,
}

/// Answer to a change that was accepted.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct AcceptAnswer {
    revision: u64,
    repeated: bool,
    key_id: String,
    key: String,
}

/// Answer to a change that was not.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ProblemAnswer {
    kind: String,
    detail: String,
    newest: u64,
}

/// One change to be asked for.
struct ChangeCall<'a> {
    method: &'static str,
    path: String,
    change_id: &'a str,
    base: Option<u64>,
    body: Vec<u8>,
    effect: ChangeEffect,
}

impl FleetOperator {
    /// An operator with the first administration key.
    pub fn new(log: HistoryLog) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_secs(1)))
            .timeout_global(Some(TIMEOUT))
            .max_idle_connections(0)
            .build();
        Self {
            agent: config.new_agent(),
            log,
            key: KeyText {
                key_id: "kproof".into(),
                secret: "proof-secret".to_owned(),
            },
        }
    }

    /// The digest of the first administration key, as settings name it.
    pub fn bootstrap_key(&self) -> String {
        let hex = |bytes: &[u8]| -> String { bytes.iter().map(|b| format!("{b:02x}")).collect() };
        let digest = self.key.digest(&SALT);
        format!("{}:{}:{}", self.key.key_id, hex(&SALT), hex(&digest))
    }

    /// Applies a manifest and says what came of it. `limits` tells the checks which limits
    /// the text holds.
    pub fn apply(
        &self,
        entry: &EntryPlace,
        change_id: &str,
        base: Option<u64>,
        text: &str,
        limits: &[(&str, u32)],
    ) -> ChangeResult {
        let limits = limits
            .iter()
            .map(|(team, limit)| ((*team).to_owned(), *limit));
        let call = ChangeCall {
            method: "PUT",
            path: "/v1/manifest".to_owned(),
            change_id,
            base,
            body: text.as_bytes().to_vec(),
            effect: ChangeEffect::Manifest {
                limits: limits.collect(),
            },
        };
        self.submit(entry, call).0
    }

    /// Grants a key to a team.
    ///
    /// # Errors
    /// If the grant was not accepted.
    pub fn grant(&self, entry: &EntryPlace, change_id: &str, team: &str) -> Result<TeamKey> {
        let timer = OpTimer::begin();
        let body = format!("{{\"team\":\"{team}\"}}").into_bytes();
        let call = ChangeCall {
            method: "POST",
            path: "/v1/keys".to_owned(),
            change_id,
            base: None,
            body,
            effect: ChangeEffect::Other,
        };
        let answer = self.call(entry, &call);
        let Ok(CallAnswer::Accepted(accepted)) = answer else {
            bail!("grant {change_id} was not accepted: {answer:?}");
        };
        self.log.note_change(ChangeOp {
            span: timer.end(),
            entry: entry.member.clone(),
            change_id: change_id.to_owned(),
            base: None,
            effect: ChangeEffect::Grant {
                key_id: accepted.key_id.clone(),
                team: team.to_owned(),
            },
            outcome: ChangeResult::Accepted {
                revision: accepted.revision,
                repeated: accepted.repeated,
            },
        });
        Ok(TeamKey {
            key_id: accepted.key_id,
            text: accepted.key,
            team: team.to_owned(),
        })
    }

    /// Grants an administration key and uses it from now on, so that the first one, which
    /// every use of is logged as a warning, is no longer needed.
    ///
    /// # Errors
    /// If the grant was not accepted.
    pub fn grant_self(&mut self, entry: &EntryPlace, change_id: &str) -> Result<()> {
        let timer = OpTimer::begin();
        let call = ChangeCall {
            method: "POST",
            path: "/v1/keys".to_owned(),
            change_id,
            base: None,
            body: b"{\"admin\":true}".to_vec(),
            effect: ChangeEffect::Other,
        };
        let answer = self.call(entry, &call);
        let Ok(CallAnswer::Accepted(accepted)) = answer else {
            bail!("grant {change_id} was not accepted: {answer:?}");
        };
        self.log.note_change(ChangeOp {
            span: timer.end(),
            entry: entry.member.clone(),
            change_id: change_id.to_owned(),
            base: None,
            effect: ChangeEffect::Other,
            outcome: ChangeResult::Accepted {
                revision: accepted.revision,
                repeated: accepted.repeated,
            },
        });
        self.key = KeyText::parse(&accepted.key).context("not a key")?;
        Ok(())
    }

    /// Withdraws a key and says what came of it.
    pub fn withdraw(&self, entry: &EntryPlace, change_id: &str, key_id: &str) -> ChangeResult {
        let call = ChangeCall {
            method: "DELETE",
            path: format!("/v1/keys/{key_id}"),
            change_id,
            base: None,
            body: Vec::new(),
            effect: ChangeEffect::Withdraw {
                key_id: key_id.to_owned(),
            },
        };
        self.submit(entry, call).0
    }

    /// Asks an entry host for its status and records the configuration in force there.
    ///
    /// # Errors
    /// If it does not answer; one that does not serve says so instead of its status.
    pub fn status(&self, entry: &EntryPlace) -> Result<StatusAnswer> {
        let timer = OpTimer::begin();
        let request = self.request("GET", entry, "/v1/status").body(())?;
        let mut response = self.agent.run(request)?;
        let body = response.body_mut().read_to_vec()?;
        let status: StatusAnswer = serde_json::from_slice(&body)
            .with_context(|| String::from_utf8_lossy(&body).into_owned())?;
        self.log.note_force(ForceOp {
            span: timer.end(),
            member: status.member.clone(),
            revision: status.revision,
            hash: status.hash.clone(),
            serving: status.serving == "yes",
        });
        Ok(status)
    }

    /// Whether an entry host says that it takes new work.
    pub fn is_ready(&self, entry: &EntryPlace) -> bool {
        let url = format!("{}/readyz", entry.admin_url());
        let response = self.agent.get(url).call();
        response.is_ok_and(|response| response.status() == 200)
    }

    fn submit(&self, entry: &EntryPlace, call: ChangeCall<'_>) -> (ChangeResult, String) {
        let timer = OpTimer::begin();
        let (outcome, detail) = match self.call(entry, &call) {
            Ok(CallAnswer::Accepted(answer)) => {
                let outcome = ChangeResult::Accepted {
                    revision: answer.revision,
                    repeated: answer.repeated,
                };
                (outcome, String::new())
            }
            Ok(CallAnswer::Refused(problem)) => (refusal(&problem), problem.detail),
            Err(error) if is_refused_connection(&error) => {
                (ChangeResult::NotRecorded, error.to_string())
            }
            Err(error) => (ChangeResult::Unclear, error.to_string()),
        };
        self.log.note_change(ChangeOp {
            span: timer.end(),
            entry: entry.member.clone(),
            change_id: call.change_id.to_owned(),
            base: call.base,
            effect: call.effect,
            outcome,
        });
        (outcome, detail)
    }

    fn call(&self, entry: &EntryPlace, call: &ChangeCall<'_>) -> Result<CallAnswer> {
        let mut request = self
            .request(call.method, entry, &call.path)
            .header("Change-Id", call.change_id);
        if let Some(base) = call.base {
            request = request.header("Base-Revision", base);
        }
        let mut response: Response<Body> = if call.body.is_empty() {
            self.agent.run(request.body(())?)?
        } else {
            self.agent.run(request.body(&call.body[..])?)?
        };
        let body = response.body_mut().read_to_vec()?;
        if response.status() == 200 {
            return Ok(CallAnswer::Accepted(serde_json::from_slice(&body)?));
        }
        let problem = serde_json::from_slice(&body)
            .with_context(|| String::from_utf8_lossy(&body).into_owned())?;
        Ok(CallAnswer::Refused(problem))
    }

    fn request(
        &self,
        method: &str,
        entry: &EntryPlace,
        path: &str,
    ) -> ureq::http::request::Builder {
        let key = format!("Bearer {}.{}", self.key.key_id, self.key.secret);
        Request::builder()
            .method(method)
            .uri(format!("{}{path}", entry.admin_url()))
            .header("Authorization", key)
    }
}

#[derive(Debug)]
enum CallAnswer {
    Accepted(AcceptAnswer),
    Refused(ProblemAnswer),
}

/// `pending` is the one problem after which the change may be recorded.
fn refusal(problem: &ProblemAnswer) -> ChangeResult {
    match problem.kind.as_str() {
        "conflict" => ChangeResult::Conflict {
            newest: problem.newest,
        },
        "pending" => ChangeResult::Unclear,
        _ => ChangeResult::NotRecorded,
    }
}

fn is_refused_connection(error: &anyhow::Error) -> bool {
    match error.downcast_ref::<Error>() {
        Some(Error::Io(cause)) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        Some(Error::ConnectionFailed | Error::Timeout(ureq::Timeout::Connect)) => true,
        _ => false,
    }
}
