use std::time::Duration;

use model::{ProblemKind, RunFate};
use ports::NotServing;
use serde::Serialize;

/// Why a caller gets no answer of a target; the JSON body of a refusal, see `docs/API.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerProblem {
    /// What went wrong.
    #[serde(rename = "problem")]
    pub kind: ProblemKind,
    /// Whether the work was run.
    pub fate: RunFate,
    /// What went wrong, for a person.
    pub detail: String,
    /// When asking again is worth it, in milliseconds; absent if it is not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// True once this attempt alone may run the request's id, so that what it says of
    /// itself holds for the work.
    #[serde(skip)]
    pub claimed: bool,
}

impl CallerProblem {
    /// A problem with work that no target started and none will.
    pub fn not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self::new(kind, RunFate::NotRun, detail)
    }

    /// A problem with work that a target may have started.
    pub fn may_have_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self::new(kind, RunFate::MayHaveRun, detail)
    }

    /// A problem with work that a target ran.
    pub fn ran(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self::new(kind, RunFate::Ran, detail)
    }

    /// Tells the caller when to come back.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Takes back that the work was not run: only this attempt was not.
    pub(crate) fn into_uncertain(mut self) -> Self {
        self.fate = RunFate::MayHaveRun;
        self.detail += "; this attempt did not run, but an earlier one with the same \
                        Request-Id may have: ask again with that id";
        self
    }

    fn new(kind: ProblemKind, fate: RunFate, detail: impl Into<String>) -> Self {
        Self {
            kind,
            fate,
            detail: detail.into(),
            retry_after_ms: None,
            claimed: false,
        }
    }
}

impl From<NotServing> for CallerProblem {
    fn from(cause: NotServing) -> Self {
        Self::not_run(
            ProblemKind::NotServing,
            format!("this entry host takes no new work: {cause}"),
        )
        .with_retry_after(Duration::from_secs(1))
    }
}
