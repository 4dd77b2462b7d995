use model::{ChangeId, Revision};
use wire::state::{KeyEdit, SectionEdit};

/// A change of the manifest or of the keys, requested by an operator.
#[derive(Clone, Debug, Default)]
pub struct ChangeRequest {
    /// Makes repeating the change idempotent.
    pub change_id: ChangeId,
    /// Id of the administration key that requested the change.
    pub author: String,
    /// Revision that the change is based on; `None` for the newest one.
    pub base: Option<Revision>,
    /// Sections of the manifest to replace or remove.
    pub sections: Vec<SectionEdit>,
    /// Keys to grant or to revoke.
    pub keys: Vec<KeyEdit>,
}

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeOutcome {
    /// Revision that the change created.
    pub revision: Revision,
    /// True if an earlier request with the same id created it.
    pub repeated: bool,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Another change was accepted first.
    #[error(
        "conflict: the configuration is at revision {newest}, the change was made against {base}"
    )]
    Conflict {
        /// Revision that the change is based on.
        base: Revision,
        /// Newest revision.
        newest: Revision,
        /// Sections and keys that changed between the two revisions.
        touched: Vec<String>,
    },
    /// The resulting manifest would be invalid.
    #[error("refused: {0}")]
    Invalid(String),
    /// Not accepted yet: it may be recorded, but a majority has not confirmed it. Retry with the
    /// same id.
    #[error("not accepted yet: {0}; repeat the change with the same id")]
    Pending(String),
    /// Not recorded: the store refused the change or is unreachable.
    #[error("not accepted, nothing was recorded: {0}")]
    Unavailable(String),
}

/// Records configuration changes and reports when they are in force.
pub trait ChangeSink: Send + Sync {
    /// Records the change and returns once it is accepted.
    ///
    /// # Errors
    /// See [`ChangeError`]. After `Pending`, a retry with the same change id finds out the outcome.
    fn submit(&self, request: &ChangeRequest) -> Result<ChangeOutcome, ChangeError>;
}
