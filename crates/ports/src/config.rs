use std::{collections::BTreeMap, sync::Arc};

use model::{KeyId, Manifest, Revision};
use wire::state::KeyRecord;

/// The configuration in force on this entry host at one revision.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Number of accepted changes.
    pub revision: Revision,
    /// Hash of all sections and keys.
    pub hash: u64,
    /// The manifest built from the sections.
    pub manifest: Manifest,
    /// The sections as text, by section name.
    pub sections: BTreeMap<String, String>,
    /// Keys granted at this revision.
    pub keys: BTreeMap<KeyId, KeyRecord>,
}

/// Gives read access to the configuration in force.
pub trait ConfigSource: Send + Sync {
    /// The current configuration. Cheap enough to call for each request.
    fn current(&self) -> Arc<ActiveConfig>;
}
