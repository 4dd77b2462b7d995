use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
};

use model::{
    BootTime, HostId, PoolId, WorkspaceId,
    work::{AttemptNumber, ResourceVector, TaskKey},
};

use super::{
    JobTable, TargetState, WorkScheduler, job_index::JobIndex, occurrence_summary::JobView,
    target_index::TargetIndex, tracked_map::TrackedMap,
};

/// A run and the target that it may be on, ordered by task.
pub(super) type RunIndexKey = (TaskKey, AttemptNumber, HostId);

/// Indexes over targets, jobs and runs, updated by [`WorkScheduler::sync_indexes`].
#[derive(Clone, Debug, Default)]
pub(super) struct SchedulerIndex {
    pub(super) targets: TargetIndex,
    pub(super) jobs: JobIndex,
    /// Runs that reserve capacity.
    pub(super) runs: BTreeSet<RunIndexKey>,
    /// Limits of the workspaces that have one.
    pub(super) limits: BTreeMap<WorkspaceId, ResourceVector>,
    /// Weights of the workspaces.
    pub(super) weights: BTreeMap<WorkspaceId, u32>,
    /// Sum of the weights.
    pub(super) total_weight: f64,
    /// Pools in which tasks may be startable.
    pub(super) startable_pools: BTreeSet<PoolId>,
    /// Pools with targets that had not been polled yet when starts were last planned.
    pub(super) unpolled_pools: BTreeSet<PoolId>,
    /// Pools in which tasks wait because their workspace is at its limit.
    pub(super) capped: BTreeMap<WorkspaceId, BTreeSet<PoolId>>,
    /// Targets added since [`WorkScheduler::take_added_targets`] was last called.
    pub(super) added_targets: Vec<HostId>,
}

/// Number of items that a scheduler has examined since it was created.
///
/// Shows whether the cost of an event is proportional to what the event changes.
#[derive(Clone, Debug, Default)]
pub struct WorkCounters {
    /// Targets considered for a task.
    pub candidates: Cell<u64>,
    /// Waiting steps, and blocks of them, considered for a start.
    pub steps: Cell<u64>,
    /// Changed targets, jobs and occurrences with which indexes were updated.
    pub index_updates: Cell<u64>,
}

impl WorkCounters {
    pub(super) fn add(counter: &Cell<u64>, count: u64) {
        counter.set(counter.get().wrapping_add(count));
    }

    /// Returns how many targets and waiting steps have been considered for starts.
    pub(super) fn examined(&self) -> u64 {
        self.candidates.get().wrapping_add(self.steps.get())
    }
}

impl SchedulerIndex {
    fn update_targets(&mut self, targets: &TrackedMap<TargetState>, ids: &[HostId], now: BootTime) {
        for id in ids {
            let new = self
                .targets
                .update(id, targets.get(id), now, &mut self.startable_pools);
            if new {
                self.added_targets.push(id.clone());
            }
        }
    }

    fn update_jobs(&mut self, job_table: &mut JobTable, now: BootTime) -> usize {
        for (id, occurrence) in self.jobs.work.take_due_reranks(now) {
            if let Some(job) = job_table.jobs.get_mut(&id) {
                job.occurrences.mark_changed(occurrence);
            }
        }
        let changed = job_table.jobs.take_changed();
        let mut visited = 0;
        for id in &changed {
            let job = job_table.jobs.get_mut_untracked(id);
            let occurrences = job.map(|job| job.occurrences.take_changed());
            let occurrences = occurrences.unwrap_or_default();
            let job = job_table.jobs.get(id);
            let view = job.map(|job| JobView { job, now });
            let due = &mut self.startable_pools;
            visited += self.jobs.update(id, view, &occurrences, due);
        }
        visited
    }
}

impl WorkScheduler {
    /// Updates all indexes with the changes since the last call.
    pub(super) fn sync_indexes(&mut self, now: BootTime) {
        self.sync_target_index(now);
        let jobs = self.index.update_jobs(&mut self.job_table, now);
        WorkCounters::add(&self.counters.index_updates, jobs as u64);
    }

    /// Updates the target index with the changes since the last call.
    pub(super) fn sync_target_index(&mut self, now: BootTime) {
        let targets = self.targets.take_changed();
        self.index.update_targets(&self.targets, &targets, now);
        WorkCounters::add(&self.counters.index_updates, targets.len() as u64);
    }

    /// Takes the targets added since the last call.
    pub fn take_added_targets(&mut self) -> Vec<HostId> {
        std::mem::take(&mut self.index.added_targets)
    }

    /// Names of the indexes that differ from freshly built ones. For tests.
    pub fn index_mismatches(&mut self, now: BootTime) -> Vec<&'static str> {
        self.sync_indexes(now);
        let mut fresh = SchedulerIndex::default();
        let targets: Vec<HostId> = self.targets.keys().cloned().collect();
        fresh.update_targets(&self.targets, &targets, now);
        for (id, job) in &self.job_table.jobs {
            let view = JobView { job, now };
            let (all, due) = (
                job.occurrences.keys().copied().collect(),
                &mut BTreeSet::new(),
            );
            fresh.jobs.update(id, Some(view), &all, due);
        }
        for (id, target) in &self.targets {
            let keys = target.claims.keys();
            let keys = keys.map(|(key, attempt)| (key.clone(), *attempt, id.clone()));
            fresh.runs.extend(keys);
        }
        let checks = [
            (
                "targets",
                fresh.targets.without_pauses() == self.index.targets.without_pauses(),
            ),
            ("jobs", fresh.jobs == self.index.jobs),
            ("runs", fresh.runs == self.index.runs),
        ];
        let mismatched = checks.into_iter().filter(|(_, matches)| !matches);
        mismatched.map(|(name, _)| name).collect()
    }
}
