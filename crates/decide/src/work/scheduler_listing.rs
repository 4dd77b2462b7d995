use model::{HostId, work::TargetEntry};

use super::{SchedulerTime, TargetState, WorkScheduler};

impl WorkScheduler {
    /// Adds or updates a target from its entry in the host list.
    pub fn upsert_target(&mut self, entry: TargetEntry, now: SchedulerTime) {
        self.sync_indexes(now.boot);
        let id = entry.target.clone();
        if self.is_superseded_entry(&entry) {
            self.mark_target_unlisted(&id);
            return;
        }
        self.end_other_incarnations_at_address(&entry, now);
        let Some(target) = self.targets.get_mut(&id) else {
            let recorded = self.job_table.used_targets.contains_key(id.as_str());
            let target = TargetState {
                recorded,
                drain: self.drains.get(&id).copied().unwrap_or_default(),
                data_centre_drained: self.drained_data_centres.contains(&entry.data_centre),
                ..TargetState::new(entry, now.boot)
            };
            self.targets.insert(id.clone(), target);
            self.record_target_use(&id);
            return;
        };
        let (started_at, known_start) = (entry.started_at, target.incarnation.started_at);
        if !started_at.is_zero() && started_at < known_start {
            // A delayed entry of the previous incarnation.
            return;
        }
        let has_new_incarnation = !known_start.is_zero() && started_at > known_start;
        if known_start.is_zero() {
            target.incarnation.started_at = started_at;
        }
        let pool_changed = target.recorded && target.entry.pool != entry.pool;
        target.data_centre_drained = self.drained_data_centres.contains(&entry.data_centre);
        target.entry = entry;
        if !target.listed {
            target.listed = true;
            target.last_answered_call = now.boot;
        }
        if pool_changed {
            target.recorded = false;
        }
        let (recorded, unreachable) = (target.recorded, target.unreachable_recorded);
        if has_new_incarnation {
            self.end_incarnation(&id, started_at, "reborn", now);
        }
        if !recorded && !unreachable {
            self.record_target_use(&id);
        }
    }

    /// Marks a target that is no longer in the host list.
    pub fn mark_target_unlisted(&mut self, id: &HostId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.listed = false;
        }
    }

    /// Targets that are in the host list.
    pub fn listed_targets(&self) -> Vec<HostId> {
        let listed = self.targets.values().filter(|target| target.listed);
        listed.map(|target| target.entry.target.clone()).collect()
    }

    /// Whether a later incarnation is known at the address of an entry.
    ///
    /// The entry of an incarnation that ended during a network partition may show up again after
    /// the next one has started. Accepting it would end the current incarnation, and its tasks
    /// would be started a second time. While the store is unavailable, the entry of the current
    /// incarnation may have expired. An entry without a start time comes from another writer.
    fn is_superseded_entry(&self, entry: &TargetEntry) -> bool {
        let others = self.other_targets_at_address(entry);
        let mut others = others.iter().filter_map(|id| self.targets.get(id));
        others.any(|other| {
            let is_live = other.listed || !other.claims.is_empty();
            is_live && other.incarnation.started_at > entry.started_at
        })
    }

    /// Other targets at the address of an entry.
    fn other_targets_at_address(&self, entry: &TargetEntry) -> Vec<HostId> {
        let at_address = self.index.targets.at_address(&entry.address);
        let others = at_address.filter(|id| **id != entry.target);
        others.cloned().collect()
    }

    /// Ends the incarnations of other targets at the address of a new one, since an address has one
    /// target at a time. An entry of an unknown pool comes from another writer and ends nothing.
    ///
    /// For a predecessor's target that has not been polled yet, it is unknown which of the two is
    /// newer; a poll decides that.
    fn end_other_incarnations_at_address(&mut self, entry: &TargetEntry, now: SchedulerTime) {
        if !self.policy.pools.iter().any(|pool| pool.name == entry.pool) {
            return;
        }
        for id in self.other_targets_at_address(entry) {
            if self
                .targets
                .get(&id)
                .is_some_and(TargetState::is_state_known)
            {
                self.mark_target_lost(&id, "replaced", now);
            }
        }
    }
}
