use serde::{Deserialize, Serialize};

/// Whether refused or failed work was executed, as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunFate {
    /// No target started the work and none will.
    NotRun,
    /// A target may have started the work, in whole or in part.
    MayHaveRun,
    /// A target ran the work.
    Ran,
}

/// Why a request or a job failed, as reported to callers; see `docs/API.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// The access key is missing, unknown, expired or revoked.
    KeyRefused,
    /// No such service, job or path.
    NotFound,
    /// The request body exceeds the size limit.
    TooLarge,
    /// The caller sent its request too slowly.
    SlowSender,
    /// The request id was used before.
    Duplicate,
    /// The deadline has passed or can't be met.
    Deadline,
    /// The queue is full.
    QueueFull,
    /// The team has reached its upper limit of running work.
    TeamLimit,
    /// This entry host is not serving at the moment.
    NotServing,
    /// The store can't be reached, so nothing can be recorded.
    StoreDown,
    /// No target could be reached.
    NoTarget,
    /// The target failed or became unreachable while it had the work.
    TargetFailed,
}

impl ProblemKind {
    /// Returns the HTTP status code of the problem.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::KeyRefused => 401,
            Self::NotFound => 404,
            Self::TooLarge => 413,
            Self::SlowSender => 408,
            Self::Duplicate => 409,
            Self::Deadline | Self::TargetFailed => 504,
            Self::QueueFull | Self::TeamLimit => 429,
            Self::NotServing | Self::StoreDown | Self::NoTarget => 503,
        }
    }
}
