use model::{ChangeId, Revision};
use wire::state::{KeyEdit, SectionEdit};

/// A change of the manifest or of the keys, as an operator asks for it.
#[derive(Clone, Debug, Default)]
pub struct ChangeRequest {
    /// Repeating a change with the same id is idempotent.
    pub change_id: ChangeId,
    /// Who asks: the id of the administration key.
    pub author: String,
    /// Revision that the change was made against; `None` applies to whatever is newest.
    pub base: Option<Revision>,
    /// Sections of the manifest to replace or remove.
    pub sections: Vec<SectionEdit>,
    /// Keys to grant or withdraw.
    pub keys: Vec<KeyEdit>,
}

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeOutcome {
    /// Revision that the change made.
    pub revision: Revision,
    /// True if an earlier request with the same id had made it.
    pub repeated: bool,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Another change came first.
    #[error(
        "conflict: the configuration is at revision {newest}, the change was made against {base}"
    )]
    Conflict {
        /// Revision that the change was made against.
        base: Revision,
        /// Newest revision.
        newest: Revision,
        /// Sections and keys that changed in between.
        touched: Vec<String>,
    },
    /// The result would not be a valid manifest.
    #[error("refused: {0}")]
    Invalid(String),
    /// Not accepted yet: it may be recorded, but is not proved in force. Ask again with the same id.
    #[error("not accepted yet: {0}; repeat the change with the same id")]
    Pending(String),
    /// Not recorded: the store refused it or can't be reached.
    #[error("not accepted, nothing was recorded: {0}")]
    Unavailable(String),
}

/// Takes changes of configuration and says when they are in force.
pub trait ChangeSink: Send + Sync {
    /// Records the change and returns once it is accepted.
    ///
    /// # Errors
    /// See [`ChangeError`]; after `Pending` the same change id settles the outcome.
    fn submit(&self, request: &ChangeRequest) -> Result<ChangeOutcome, ChangeError>;
}
