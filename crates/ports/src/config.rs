use std::{collections::BTreeMap, sync::Arc};

use model::{KeyId, Manifest, Revision};
use wire::state::KeyRecord;

/// The configuration in force on this entry host at one revision.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Count of accepted changes.
    pub revision: Revision,
    /// Hash of all sections and keys.
    pub hash: u64,
    /// The manifest that the sections make.
    pub manifest: Manifest,
    /// The sections as text, by section name.
    pub sections: BTreeMap<String, String>,
    /// Keys that are granted now.
    pub keys: BTreeMap<KeyId, KeyRecord>,
}

/// Where the other areas read the configuration in force.
pub trait ConfigSource: Send + Sync {
    /// The configuration now; cheap enough to call for each request.
    fn current(&self) -> Arc<ActiveConfig>;
}
