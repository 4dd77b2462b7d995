use std::ops::Deref;

use compact_str::CompactString;
use indexmap::{IndexMap, map};

/// A map that tracks which of its entries may have changed.
///
/// It keeps insertion order as long as no entry is removed, so that decisions based on it are
/// reproducible. Indexes are updated from the changed entries only, so that their cost depends on
/// the number of changes and not on the size of the map. Each method that gives mutable access
/// marks the entry as changed, except [`TrackedMap::get_mut_untracked`].
#[derive(Clone, Debug)]
pub struct TrackedMap<V> {
    entries: IndexMap<CompactString, V>,
    changed: Vec<CompactString>,
}

impl<V> TrackedMap<V> {
    /// Returns an entry for changes, and marks it as changed.
    pub fn get_mut(&mut self, key: &str) -> Option<&mut V> {
        let entry = self.entries.get_mut(key)?;
        if self.changed.last().is_none_or(|last| last != key) {
            self.changed.push(key.into());
        }
        Some(entry)
    }

    /// Returns an entry for changes that affect no index.
    pub(super) fn get_mut_untracked(&mut self, key: &str) -> Option<&mut V> {
        self.entries.get_mut(key)
    }

    /// Marks an entry as changed after a change through [`TrackedMap::get_mut_untracked`].
    pub(super) fn mark_changed(&mut self, key: &str) {
        self.changed.push(key.into());
    }

    /// Returns all entries for changes, and marks them as changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.changed.extend(self.entries.keys().cloned());
        self.entries.values_mut()
    }

    /// Adds or replaces an entry.
    pub fn insert(&mut self, key: CompactString, value: V) {
        self.changed.push(key.clone());
        self.entries.insert(key, value);
    }

    /// Removes an entry, and marks its key as changed.
    pub fn remove(&mut self, key: &str) -> Option<V> {
        self.changed.push(key.into());
        self.entries.swap_remove(key)
    }

    /// Returns the keys of entries that may have been changed, added or removed since the last
    /// call.
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
