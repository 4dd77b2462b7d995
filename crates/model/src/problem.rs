use serde::{Deserialize, Serialize};

/// Whether refused or failed work was run, as callers are told.
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

/// Why a request or a job was not answered, as callers are told; see `docs/API.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// No key, an unknown key, an expired one or a withdrawn one.
    KeyRefused,
    /// No such service, job or path.
    NotFound,
    /// The body is larger than the limit.
    TooLarge,
    /// The caller sent too slowly.
    SlowSender,
    /// The request id was used before.
    Duplicate,
    /// The deadline passed, or can't be met.
    Deadline,
    /// The queue is full.
    QueueFull,
    /// The team runs as much as its upper limit allows.
    TeamLimit,
    /// This entry host does not serve now.
    NotServing,
    /// The store can't be reached, so nothing can be recorded.
    StoreDown,
    /// No target could be reached.
    NoTarget,
    /// The target failed or went away while it had the work.
    TargetFailed,
}

impl ProblemKind {
    /// The HTTP status that carries the problem.
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
