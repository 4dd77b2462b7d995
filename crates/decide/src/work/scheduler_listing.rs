use std::time::Duration;

use model::{HostId, work::TargetEntry};

use super::{LossCause, SchedulerAction, SchedulerTime, TargetState, WorkScheduler};

impl WorkScheduler {
    /// Adds or updates a target from its entry in the host list.
    pub fn upsert_target(&mut self, entry: TargetEntry, now: SchedulerTime) {
        self.sync_indexes(now.boot);
        let id = entry.target.clone();
        self.deferred_entries.remove(&id);
        if self.is_superseded_entry(&entry) {
            self.mark_target_unlisted(&id);
            self.deferred_entries.insert(id, entry);
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
        if target.past_incarnations.contains(&started_at) {
            // A delayed entry.
            return;
        }
        if !started_at.is_zero() && started_at < known_start {
            // A delayed entry of an earlier incarnation, or the entry of a later one whose clock was
            // set back. The next poll shows which; until then nothing is started there.
            target.incarnation.clock = None;
            self.deferred_entries.insert(id.clone(), entry);
            self.actions.push(SchedulerAction::Poll(id));
            return;
        }
        let has_new_incarnation = !known_start.is_zero() && started_at > known_start;
        if known_start.is_zero() {
            target.incarnation.started_at = started_at;
        }
        // A successor polls the recorded address. Of a target that it takes for gone because another
        // one answers there, the tasks would start again.
        let moved = target.entry.pool != entry.pool || target.entry.address != entry.address;
        target.data_centre_drained = self.drained_data_centres.contains(&entry.data_centre);
        target.entry = entry;
        if !target.listed {
            target.listed = true;
            target.last_answered_call = now.boot;
        }
        if moved {
            target.recorded = false;
        }
        let (recorded, unreachable) = (target.recorded, target.unreachable_recorded);
        if has_new_incarnation {
            self.end_incarnation(&id, started_at, LossCause::RestartListed, now);
        }
        if !recorded && !unreachable {
            self.record_target_use(&id);
        }
    }

    /// Applies the entries that were deferred and are of the present incarnation by now.
    pub(super) fn apply_deferred_entries(&mut self, now: SchedulerTime) {
        let deferred = self.deferred_entries.values();
        let current = deferred.filter(|entry| self.is_current_entry(entry));
        let current: Vec<TargetEntry> = current.cloned().collect();
        for entry in current {
            self.upsert_target(entry, now);
        }
    }

    /// Forgets all deferred entries, because the whole host list is about to be applied: some of them
    /// may be gone.
    pub fn clear_deferred_entries(&mut self) {
        self.deferred_entries.clear();
    }

    fn is_current_entry(&self, entry: &TargetEntry) -> bool {
        let target = self.targets.get(&entry.target);
        let known = target.map_or(Duration::ZERO, |target| target.incarnation.started_at);
        entry.started_at >= known && !self.is_superseded_entry(entry)
    }

    /// Marks a target that is no longer in the host list.
    pub fn mark_target_unlisted(&mut self, id: &HostId) {
        self.deferred_entries.remove(id);
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
                let cause = LossCause::AddressTaken(entry.target.clone());
                self.mark_target_lost(&id, cause, now);
            }
        }
    }
}
