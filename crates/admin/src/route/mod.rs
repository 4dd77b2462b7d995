//! What each path of the administration interface answers.

mod audit_route;
mod key_route;
mod manifest_route;
mod status_route;

use std::sync::Arc;

use model::event as log_event;
use ports::{AuditRecord, AuditSink, ChangeOutcome, ChangeRequest};

use crate::{
    AdminConfig, AdminProblem, ProblemCode,
    audit::{AuditStore, TrailName},
    event,
    server::{AdminCall, AdminReply, HttpVerb},
};

/// Bytes of sections from which on a change counts as large: half of what the change log
/// keeps when it folds, less a margin for what comes with them.
const LARGE_CHANGE: usize = 2 * 1024;

/// Answers calls from the areas that the interface shows and changes.
pub(crate) struct AdminRouter {
    config: AdminConfig,
    changes: AuditStore,
    grants: AuditStore,
}

impl AdminRouter {
    pub(crate) fn new(config: AdminConfig) -> Self {
        let trail = |name| AuditStore::new(Arc::clone(&config.store), name);
        Self {
            changes: trail(TrailName::Changes),
            grants: trail(TrailName::Grants),
            config,
        }
    }

    /// Answers the paths that need no key; none of them waits.
    pub(crate) fn answer_open(&self, verb: HttpVerb, path: &str) -> Option<AdminReply> {
        match (verb, path) {
            (HttpVerb::Get, "/livez") => Some(AdminReply::text(200, "live\n")),
            (HttpVerb::Get, "/readyz") => Some(self.readiness()),
            (HttpVerb::Get, "/metrics") => {
                Some(AdminReply::text(200, self.config.metrics.render()))
            }
            _ => None,
        }
    }

    pub(crate) fn answer(&self, call: &AdminCall) -> AdminReply {
        self.try_answer(call).unwrap_or_else(AdminReply::from)
    }

    fn try_answer(&self, call: &AdminCall) -> Result<AdminReply, AdminProblem> {
        self.check_gate()?;
        match (call.verb, call.path.as_str()) {
            (HttpVerb::Get, "/v1/manifest") => Ok(self.show_manifest()),
            (HttpVerb::Put, "/v1/manifest") => self.apply_manifest(call),
            (HttpVerb::Get, "/v1/keys") => Ok(self.list_keys()),
            (HttpVerb::Post, "/v1/keys") => self.grant_key(call),
            (HttpVerb::Get, "/v1/status") => Ok(self.show_status()),
            (HttpVerb::Get, "/v1/audit") => self.show_audit(call),
            (HttpVerb::Delete, path) => match path.strip_prefix("/v1/keys/") {
                Some(key_id) => self.withdraw_key(call, key_id),
                None => Err(not_found()),
            },
            _ => Err(not_found()),
        }
    }

    /// An entry host that was cut off does not know of keys withdrawn since, nor of newer
    /// configurations. It neither obeys nor informs operators until it has caught up.
    fn check_gate(&self) -> Result<(), AdminProblem> {
        self.config.gate.check().map_err(|reason| {
            let detail = format!("this entry host does not serve: {reason}; ask another one");
            AdminProblem::new(ProblemCode::Unavailable, detail)
        })
    }

    fn readiness(&self) -> AdminReply {
        match self.config.gate.check() {
            Ok(()) => AdminReply::text(200, "ready\n"),
            Err(reason) => AdminReply::text(503, format!("not ready: {reason}\n")),
        }
    }

    /// Submits a change and logs what became of it.
    fn submit(&self, request: &ChangeRequest) -> Result<ChangeOutcome, AdminProblem> {
        // The body may have taken seconds to arrive.
        self.check_gate()?;
        let outcome = self.config.changes.submit(request);
        let (change_id, author) = (&request.change_id, &request.author);
        match &outcome {
            Ok(outcome) => {
                log_event::info(
                    &event::CHANGE_ACCEPTED,
                    format_args!(
                        "revision={} change={change_id:?} author={author} repeated={}",
                        outcome.revision, outcome.repeated
                    ),
                );
                self.note_large(request, outcome);
            }
            Err(error) => log_event::warn(
                &event::CHANGE_REFUSED,
                format_args!("change={change_id:?} author={author} cause=\"{error}\""),
            ),
        }
        Ok(outcome?)
    }
}

impl AdminRouter {
    /// Notes who made a large change.
    ///
    /// The change log folds large changes at once, and the base that is left of them does not
    /// tell their author. Small ones are audited from the log.
    fn note_large(&self, request: &ChangeRequest, outcome: &ChangeOutcome) {
        let bytes: usize = request.sections.iter().map(|edit| edit.text.len()).sum();
        if bytes < LARGE_CHANGE || outcome.repeated {
            return;
        }
        let names: Vec<&str> = request
            .sections
            .iter()
            .map(|edit| edit.section.as_str())
            .collect();
        self.config.audit.record(AuditRecord {
            author: request.author.clone(),
            change_id: request.change_id.to_string(),
            subject: "large change".to_owned(),
            difference: names.join(", "),
            revision_before: outcome.revision.saturating_sub(1),
            revision_after: outcome.revision,
        });
    }
}

/// Every change needs an id, so that a call whose answer was lost can be repeated.
fn need_change_id(call: &AdminCall) -> Result<(), AdminProblem> {
    let fits = (1..=64).contains(&call.change_id.len())
        && call
            .change_id
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if fits {
        return Ok(());
    }
    Err(AdminProblem::new(
        ProblemCode::BadRequest,
        "a header `Change-Id` of 1 to 64 characters from A-Z, a-z, 0-9, `-`, `_` and `.` is needed",
    ))
}

fn not_found() -> AdminProblem {
    AdminProblem::new(ProblemCode::NotFound, "no such path; see docs/ADMIN-API.md")
}
