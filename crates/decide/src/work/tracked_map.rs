use std::ops::Deref;

use compact_str::CompactString;
use indexmap::{IndexMap, map};

/// A map that remembers which of its entries may have changed.
///
/// It keeps the order in which they were added, as far as none is removed, so that what is decided
/// by it repeats. Indexes are kept by the changed entries alone, so that their cost follows the changes and not
/// the size of the books. Whoever may change an entry marks it by the way it is reached.
#[derive(Clone, Debug)]
pub struct TrackedMap<V> {
    entries: IndexMap<CompactString, V>,
    changed: Vec<CompactString>,
}

impl<V> TrackedMap<V> {
    /// An entry to be changed.
    pub fn get_mut(&mut self, key: &str) -> Option<&mut V> {
        let entry = self.entries.get_mut(key)?;
        if self.changed.last().is_none_or(|last| last != key) {
            self.changed.push(key.into());
        }
        Some(entry)
    }

    /// An entry of which nothing is to be changed that an index depends on.
    pub(super) fn get_mut_untracked(&mut self, key: &str) -> Option<&mut V> {
        self.entries.get_mut(key)
    }

    /// Marks an entry that was changed through [`TrackedMap::get_unindexed`] after all.
    pub(super) fn mark_changed(&mut self, key: &str) {
        self.changed.push(key.into());
    }

    /// All entries, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.changed.extend(self.entries.keys().cloned());
        self.entries.values_mut()
    }

    /// Adds an entry, or replaces it.
    pub fn insert(&mut self, key: CompactString, value: V) {
        self.changed.push(key.clone());
        self.entries.insert(key, value);
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &str) -> Option<V> {
        self.changed.push(key.into());
        self.entries.swap_remove(key)
    }

    /// Keys of entries that may have been changed, added or removed since the last time.
    pub(super) fn take_changed(&mut self) -> Vec<CompactString> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        changed
    }
}

impl<V> Default for TrackedMap<V> {
    fn default() -> Self {
        Self {
            entries: IndexMap::new(),
            changed: Vec::new(),
        }
    }
}

impl<V> Deref for TrackedMap<V> {
    type Target = IndexMap<CompactString, V>;

    fn deref(&self) -> &Self::Target {
        &self.entries
    }
}

impl<'a, V> IntoIterator for &'a TrackedMap<V> {
    type Item = (&'a CompactString, &'a V);
    type IntoIter = map::Iter<'a, CompactString, V>;

    fn into_iter(self) -> Self::IntoIter {
        self.entries.iter()
    }
}
