use std::time::Duration;

use model::{ProblemKind, RunFate};
use ports::NotServing;
use serde::Serialize;

/// Why a caller gets no response of a target. It is the JSON body of a refusal; see
/// `docs/API.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerProblem {
    /// The kind of problem.
    #[serde(rename = "problem")]
    pub kind: ProblemKind,
    /// Whether the request was run.
    pub fate: RunFate,
    /// A description for people.
    pub detail: String,
    /// Time after which a retry is useful, in milliseconds; absent if a retry is not
    /// useful.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// True once this attempt holds the claim on the request id, so that its fate is the
    /// fate of the request.
    #[serde(skip)]
    pub claimed: bool,
}

impl CallerProblem {
    /// A problem with a request that no target has started or will start.
    pub fn not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self::new(kind, RunFate::NotRun, detail)
    }

    /// A problem with a request that a target may have started.
    pub fn may_have_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self::new(kind, RunFate::MayHaveRun, detail)
    }

    /// A problem with a request that a target ran.
    pub fn ran(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self::new(kind, RunFate::Ran, detail)
    }

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Changes the fate from "not run" to "may have run": only this attempt is known not to
    /// have run.
    pub(crate) fn with_uncertain_fate(mut self) -> Self {
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
