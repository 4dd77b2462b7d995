use model::TextError;
use ports::ChangeError;
use serde::{Deserialize, Serialize};

/// Why a call of an operator was refused, as a JSON body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminProblem {
    /// Kind, in kebab case; decides the exit code of the command.
    pub kind: ProblemCode,
    /// What is wrong and what to do about it.
    pub detail: String,
    /// Line of the manifest, from 1; 0 if the error is not on one line.
    #[serde(default)]
    pub line: usize,
    /// Section in error; empty if none.
    #[serde(default)]
    pub section: String,
    /// Key in error; empty if none.
    #[serde(default)]
    pub key: String,
    /// After a conflict: the revision now in force.
    #[serde(default)]
    pub newest: u64,
    /// After a conflict: sections and keys that changed in between.
    #[serde(default)]
    pub touched: Vec<String>,
}

/// The kinds of problems of the administration interface.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemCode {
    /// The call is malformed.
    #[default]
    BadRequest,
    /// No administration key, an unknown one, an expired one or a withdrawn one.
    KeyRefused,
    /// No such path, key or page.
    NotFound,
    /// Another change came first.
    Conflict,
    /// The body is too large.
    TooLarge,
    /// The body came too slowly.
    SlowSender,
    /// The change would not make a valid configuration.
    Invalid,
    /// Recorded perhaps, but not proved in force: repeat with the same change id.
    Pending,
    /// Nothing was recorded: this entry host does not serve, or the store does not answer.
    Unavailable,
    /// Too many calls at once.
    Busy,
}

impl ProblemCode {
    /// The HTTP status that carries the problem.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::KeyRefused => 401,
            Self::NotFound => 404,
            Self::SlowSender => 408,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::Invalid => 422,
            Self::Pending | Self::Unavailable | Self::Busy => 503,
        }
    }
}

impl AdminProblem {
    pub(crate) fn new(kind: ProblemCode, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            ..Self::default()
        }
    }
}

impl From<TextError> for AdminProblem {
    fn from(error: TextError) -> Self {
        Self {
            line: error.line,
            detail: error.to_string(),
            section: error.section,
            key: error.key,
            ..Self::new(ProblemCode::Invalid, "")
        }
    }
}

impl From<ChangeError> for AdminProblem {
    fn from(error: ChangeError) -> Self {
        let detail = error.to_string();
        match error {
            ChangeError::Conflict {
                newest, touched, ..
            } => Self {
                newest,
                touched,
                ..Self::new(ProblemCode::Conflict, detail)
            },
            ChangeError::Invalid(_) => Self::new(ProblemCode::Invalid, detail),
            ChangeError::Pending(_) => Self::new(ProblemCode::Pending, detail),
            ChangeError::Unavailable(_) => Self::new(ProblemCode::Unavailable, detail),
        }
    }
}
