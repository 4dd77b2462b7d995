use std::collections::BTreeMap;

use crate::Manifest;

/// The sections of a manifest as text, by section name such as `pool.coding`.
pub type SectionTexts = BTreeMap<String, String>;

/// Why a manifest was refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: [{section}] {key}: {reason}")]
pub struct ManifestError {
    /// Line of the text, from 1; 0 if the fault is not on one line.
    pub line: usize,
    /// Section at fault; empty if none.
    pub section: String,
    /// Key at fault; empty if none.
    pub key: String,
    /// What is wrong and what is allowed.
    pub reason: String,
}

impl Manifest {
    /// Splits manifest text into its sections, each in a normal form.
    ///
    /// # Errors
    /// The first fault of the text.
    pub fn split(_text: &str) -> Result<SectionTexts, ManifestError> {
        Ok(SectionTexts::new())
    }

    /// Reads and checks a whole manifest from its sections.
    ///
    /// # Errors
    /// The first fault: an unknown key, a value out of range, a reference to nothing, or
    /// a budget that can't be met.
    pub fn from_sections(_sections: &SectionTexts) -> Result<Self, ManifestError> {
        Ok(Self::default())
    }
}
