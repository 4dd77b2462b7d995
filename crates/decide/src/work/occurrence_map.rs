use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Deref,
};

use super::OccurrenceState;

/// The open occurrences of a job by number, which tracks those that may have changed.
///
/// A schedule may have thousands of open occurrences. Indexes are updated from the changed ones
/// only, so that the cost of a change does not depend on how many there are. See
/// [`TrackedMap`](super::TrackedMap), which does the same for jobs.
#[derive(Clone, Debug, Default)]
pub struct OccurrenceMap {
    entries: BTreeMap<u32, OccurrenceState>,
    changed: BTreeSet<u32>,
}

impl OccurrenceMap {
    /// Returns an occurrence for changes, and marks it as changed.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut OccurrenceState> {
        let entry = self.entries.get_mut(&number)?;
        self.changed.insert(number);
        Some(entry)
    }

    /// Adds or replaces an occurrence.
    pub(super) fn insert(&mut self, number: u32, occurrence: OccurrenceState) {
        self.changed.insert(number);
        self.entries.insert(number, occurrence);
    }

    /// Removes an occurrence; returns `None` if it was not open.
    pub(super) fn remove(&mut self, number: u32) -> Option<OccurrenceState> {
        let removed = self.entries.remove(&number)?;
        self.changed.insert(number);
        Some(removed)
    }

    /// Marks an occurrence as changed, because something else that its indexes depend on has.
    pub(super) fn mark_changed(&mut self, number: u32) {
        self.changed.insert(number);
    }

    /// Marks all occurrences as changed.
    pub(super) fn mark_all_changed(&mut self) {
        self.changed.extend(self.entries.keys());
    }

    /// Returns the numbers of the occurrences that may have been changed, added or removed since the
    /// last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<u32> {
        std::mem::take(&mut self.changed)
    }
}

impl Deref for OccurrenceMap {
    type Target = BTreeMap<u32, OccurrenceState>;

    fn deref(&self) -> &Self::Target {
        &self.entries
    }
}
