use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
};

use model::{
    BootTime, HostId, PoolId, WorkspaceId,
    work::{AttemptNumber, FleetPolicy, ResourceVector, TaskKey},
};

use super::{
    JobTable, TargetState, WorkScheduler, job_index::JobIndex, target_index::TargetIndex,
    tracked_map::TrackedMap,
};

/// A run and the target that it may be on, ordered by task.
pub(super) type RunIndexKey = (TaskKey, AttemptNumber, HostId);

/// Indexes of the desk's books. They follow the books with [`WorkScheduler::sync`].
#[derive(Clone, Debug, Default)]
pub(super) struct SchedulerIndex {
    pub(super) targets: TargetIndex,
    pub(super) jobs: JobIndex,
    /// Runs that claim room.
    pub(super) runs: BTreeSet<RunIndexKey>,
    /// Limits of workspaces that have one.
    pub(super) limits: BTreeMap<WorkspaceId, ResourceVector>,
    /// Pools in which something may be started.
    pub(super) startable_pools: BTreeSet<PoolId>,
    /// Pools with targets that had not been reached when starts were planned last.
    pub(super) unobserved_pools: BTreeSet<PoolId>,
    /// Pools in which tasks wait for their workspace to have less running.
    pub(super) capped: BTreeMap<WorkspaceId, BTreeSet<PoolId>>,
    /// Targets that were added and have not been taken.
    pub(super) added_targets: Vec<HostId>,
}

/// How much a desk has looked at, since its beginning.
///
/// It shows whether the cost of an event follows what the event changes.
#[derive(Clone, Debug, Default)]
pub struct WorkCounters {
    /// Targets that were considered for a task.
    pub candidates: Cell<u64>,
    /// Steps that wait, and blocks of them, that were considered for a start.
    pub steps: Cell<u64>,
    /// Entries of the books that indexes were told of.
    pub index_updates: Cell<u64>,
}

impl WorkCounters {
    pub(super) fn add(counter: &Cell<u64>, count: u64) {
        counter.set(counter.get().wrapping_add(count));
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

    fn update_jobs(&mut self, board: &mut JobTable, terms: &FleetPolicy, now: BootTime) -> usize {
        for id in self.jobs.take_due_reranks(now) {
            board.jobs.mark_changed(&id);
        }
        let changed = board.jobs.take_changed();
        for id in &changed {
            self.jobs.update(
                id,
                board.jobs.get(id),
                terms,
                now,
                &mut self.startable_pools,
            );
        }
        changed.len()
    }
}

impl WorkScheduler {
    /// Brings the indexes up to the books.
    pub(super) fn sync_indexes(&mut self, now: BootTime) {
        self.sync_target_index(now);
        let jobs = self
            .index
            .update_jobs(&mut self.job_table, &self.policy, now);
        WorkCounters::add(&self.counters.index_updates, jobs as u64);
    }

    /// Brings the index of targets up to the books.
    pub(super) fn sync_target_index(&mut self, now: BootTime) {
        let targets = self.targets.take_changed();
        self.index.update_targets(&self.targets, &targets, now);
        WorkCounters::add(&self.counters.index_updates, targets.len() as u64);
    }

    /// Targets that came to be known since the last time.
    pub fn take_added_targets(&mut self) -> Vec<HostId> {
        std::mem::take(&mut self.index.added_targets)
    }

    /// Indexes that don't say what the books say; for tests.
    pub fn index_mismatches(&mut self, now: BootTime) -> Vec<&'static str> {
        self.sync_indexes(now);
        let mut anew = SchedulerIndex::default();
        let targets: Vec<HostId> = self.targets.keys().cloned().collect();
        anew.update_targets(&self.targets, &targets, now);
        for (id, job) in &self.job_table.jobs {
            anew.jobs
                .update(id, Some(job), &self.policy, now, &mut anew.startable_pools);
        }
        for (id, target) in &self.targets {
            let rows = target.claims.keys();
            let rows = rows.map(|(key, attempt)| (key.clone(), *attempt, id.clone()));
            anew.runs.extend(rows);
        }
        let checks = [
            (
                "targets",
                anew.targets.without_pauses() == self.index.targets.without_pauses(),
            ),
            ("jobs", anew.jobs == self.index.jobs),
            ("runs", anew.runs == self.index.runs),
        ];
        let broken = checks.into_iter().filter(|(_, holds)| !holds);
        broken.map(|(name, _)| name).collect()
    }
}
