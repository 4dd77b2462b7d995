use std::collections::{BTreeMap, VecDeque};

use model::{ChangeId, KeyId, Revision};
use sha2::{Digest, Sha256};
use wire::state::{
    Change, ChangeMark, ConfigBase, ConfigRecord, KeyRecord, SectionEdit, SectionMark,
};

/// Number of change ids that are remembered beyond the tail.
const MAX_MARKS: usize = 1024;

/// Why a change or a record can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The change does not follow the present revision.
    #[error("change {found} does not follow revision {held}")]
    Gap {
        /// Present revision.
        held: Revision,
        /// Revision of the change.
        found: Revision,
    },
    /// Two configurations of the same revision differ: the store or a host is corrupt.
    #[error("revision {0} has two different hashes")]
    Diverged(Revision),
    /// The record refers to a base that is needed but was not given.
    #[error("the base {0} is needed")]
    BaseNeeded(String),
}

/// Result of applying a record from the store or a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum CatchUp {
    /// No change.
    Same,
    /// The record is older than the present state: a stale watch, or a store that lost writes.
    Stale,
    /// A newer configuration.
    Newer(ConfigState),
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    /// Number of changes.
    pub revision: Revision,
    /// Hash of sections and keys.
    pub hash: u64,
    /// Sections of the manifest as text, by name.
    pub sections: BTreeMap<String, String>,
    /// Granted keys.
    pub keys: BTreeMap<KeyId, KeyRecord>,
    touched: BTreeMap<String, Revision>,
    marks: VecDeque<(ChangeId, Revision)>,
}

impl ConfigState {
    /// Reads the configuration from a base.
    #[must_use]
    pub fn from_base(base: &ConfigBase) -> Self {
        let sections = base.sections.iter();
        let keys = base.keys.iter();
        let marks = base.marks.iter();
        let mut state = Self {
            revision: base.revision,
            hash: 0,
            sections: sections
                .map(|edit| (edit.section.clone(), edit.text.clone()))
                .collect(),
            touched: base
                .touched
                .iter()
                .map(|mark| (mark.section.clone(), mark.revision))
                .collect(),
            keys: keys
                .map(|key| (KeyId::from(key.key_id.as_str()), key.clone()))
                .collect(),
            marks: marks
                .map(|mark| (ChangeId::from(mark.change_id.as_str()), mark.revision))
                .collect(),
        };
        state.hash = state.digest();
        state
    }

    /// The base that holds this configuration.
    #[must_use]
    pub fn to_base(&self) -> ConfigBase {
        let sections = self.sections.iter().map(|(section, text)| SectionEdit {
            section: section.clone(),
            text: text.clone(),
        });
        let touched = self.touched.iter().map(|(section, revision)| SectionMark {
            section: section.clone(),
            revision: *revision,
        });
        let marks = self.marks.iter().map(|(change_id, revision)| ChangeMark {
            change_id: change_id.to_string(),
            revision: *revision,
        });
        ConfigBase {
            revision: self.revision,
            sections: sections.collect(),
            keys: self.keys.values().cloned().collect(),
            marks: marks.collect(),
            touched: touched.collect(),
        }
    }

    /// The revision of the last change to a section.
    #[must_use]
    pub fn section_revision(&self, section: &str) -> Revision {
        self.touched.get(section).copied().unwrap_or_default()
    }

    /// The revision that a change id created, if it is still remembered.
    #[must_use]
    pub fn revision_of(&self, change_id: &str) -> Option<Revision> {
        let mark = self.marks.iter().rev().find(|(id, _)| id == change_id);
        mark.map(|(_, revision)| *revision)
    }

    /// Applies the next change.
    ///
    /// # Errors
    /// If the change does not follow, or its hash is not that of the result.
    pub fn apply(&mut self, change: &Change) -> Result<(), ConfigError> {
        if change.revision != self.revision + 1 {
            return Err(ConfigError::Gap {
                held: self.revision,
                found: change.revision,
            });
        }
        let mut next = self.clone();
        next.apply_edits(change);
        if next.hash != change.hash {
            return Err(ConfigError::Diverged(change.revision));
        }
        *self = next;
        Ok(())
    }

    /// Completes a drafted change with the revision and the hash that it creates.
    #[must_use]
    pub fn draft(&self, mut change: Change) -> (Change, Self) {
        let mut next = self.clone();
        change.revision = self.revision + 1;
        next.apply_edits(&change);
        change.hash = next.hash;
        (change, next)
    }

    /// Applies the changes that follow the present revision, in order.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn apply_tail(&self, changes: &[Change]) -> Result<CatchUp, ConfigError> {
        let newest = changes.last().map_or(0, |change| change.revision);
        if newest <= self.revision {
            return Ok(CatchUp::Same);
        }
        let mut next = self.clone();
        let missing = changes.iter().filter(|c| c.revision > self.revision);
        for change in missing {
            next.apply(change)?;
        }
        Ok(CatchUp::Newer(next))
    }

    /// Applies a record; `base` is the base that it refers to, if it was read.
    ///
    /// A record older than the present state is never applied. The failure this guards against: a
    /// watch or a peer delivers an old value after a newer one, and a withdrawn key works again on
    /// that host.
    ///
    /// # Errors
    /// `BaseNeeded` if the tail does not reach back far enough.
    pub fn follow_record(
        &self,
        record: &ConfigRecord,
        base: Option<&ConfigBase>,
    ) -> Result<CatchUp, ConfigError> {
        if record.revision < self.revision {
            return Ok(CatchUp::Stale);
        }
        if record.revision == self.revision {
            if record.revision > 0 && record.hash != self.hash {
                return Err(ConfigError::Diverged(record.revision));
            }
            return Ok(CatchUp::Same);
        }
        let next = match self.apply_tail(&record.tail) {
            Ok(CatchUp::Newer(next)) => next,
            Ok(_) | Err(ConfigError::Gap { .. }) => Self::from_record(record, base)?,
            Err(error) => return Err(error),
        };
        if (next.revision, next.hash) != (record.revision, record.hash) {
            return Err(ConfigError::Diverged(record.revision));
        }
        Ok(CatchUp::Newer(next))
    }

    fn from_record(record: &ConfigRecord, base: Option<&ConfigBase>) -> Result<Self, ConfigError> {
        let Some(base) = base.filter(|base| base.revision == record.base_revision) else {
            return Err(ConfigError::BaseNeeded(record.base_key.clone()));
        };
        let state = Self::from_base(base);
        match state.apply_tail(&record.tail)? {
            CatchUp::Newer(next) => Ok(next),
            _ => Ok(state),
        }
    }

    fn apply_edits(&mut self, change: &Change) {
        for edit in &change.sections {
            if edit.text.is_empty() {
                self.sections.remove(&edit.section);
                self.touched.remove(&edit.section);
            } else {
                self.sections
                    .insert(edit.section.clone(), edit.text.clone());
                self.touched.insert(edit.section.clone(), change.revision);
            }
        }
        for edit in &change.keys {
            let key = KeyId::from(edit.key_id.as_str());
            match edit.record.clone().filter(|_| !edit.withdrawn) {
                Some(record) => drop(self.keys.insert(key, record)),
                None => drop(self.keys.remove(&key)),
            }
        }
        self.revision = change.revision;
        self.hash = self.digest();
        let id = ChangeId::from(change.change_id.as_str());
        self.marks.push_back((id, change.revision));
        if self.marks.len() > MAX_MARKS {
            self.marks.pop_front();
        }
    }

    /// 64 bits of SHA-256 over sections and keys in order of their names.
    fn digest(&self) -> u64 {
        let mut hasher = Sha256::new();
        for (section, text) in &self.sections {
            hash_part(&mut hasher, section.as_bytes());
            hash_part(&mut hasher, text.as_bytes());
        }
        hash_part(&mut hasher, &[]);
        for (key, record) in &self.keys {
            hash_part(&mut hasher, key.as_bytes());
            hash_key(&mut hasher, record);
        }
        let digest = hasher.finalize();
        digest[..8]
            .iter()
            .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
    }
}

/// Hashes the fields one by one, so that hosts with a newer schema compute the same hash.
fn hash_key(hasher: &mut Sha256, record: &KeyRecord) {
    hash_part(hasher, record.team.as_bytes());
    hash_part(hasher, &[u8::from(record.admin)]);
    hash_part(hasher, &record.salt);
    hash_part(hasher, &record.digest);
    hash_part(hasher, &record.granted_unix_ms.to_be_bytes());
    hash_part(hasher, &record.expires_unix_ms.to_be_bytes());
}

/// Hashes a part with its length, so that different lists of parts have different input.
fn hash_part(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}
