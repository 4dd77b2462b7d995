use std::collections::{BTreeMap, BTreeSet};

use model::{BootTime, JobId, PoolId, WorkspaceId, work::ResourceVector};

use super::{
    core_demand::CoreDemand,
    job_summary::{JobContext, PoolBacklog, WaitingGroup, may_run_unseen},
    occurrence_summary::OccurrenceSummary,
    ranked_steps::{RankedSteps, WaitingStep},
};

/// Index of the open occurrences of all jobs: their waiting steps, and sums of what they need.
///
/// Part of [`JobIndex`](super::job_index::JobIndex), which keeps the summary of each occurrence and
/// removes it here before it changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct OccurrenceIndex {
    /// Waiting steps of each pool.
    pools: BTreeMap<PoolId, BTreeMap<WaitingGroup, RankedSteps>>,
    /// Processor demand of each pool and workspace.
    demands: BTreeMap<PoolId, BTreeMap<WorkspaceId, CoreDemand>>,
    /// Backlog of each pool, by the pools in which predecessors may have started tasks of its jobs.
    backlogs: BTreeMap<PoolId, BTreeMap<Vec<PoolId>, PoolBacklog>>,
    /// Resources of tasks that predecessors may have started and that are not known to run, by the
    /// pools in which they may run.
    unconfirmed_usage: BTreeMap<WaitingGroup, ResourceVector>,
    /// Number of open occurrences without a started task, for each repeating job that has any.
    unstarted: BTreeMap<JobId, u32>,
    /// Times at which the rank of an occurrence's steps changes.
    reranks: BTreeSet<(BootTime, JobId, u32)>,
}

impl OccurrenceIndex {
    /// Replaces the summary of an occurrence; the default stands for none. Returns true if a task may
    /// be able to start because of the change.
    pub(super) fn replace(
        &mut self,
        (id, number): (&JobId, u32),
        context: &JobContext,
        before: &OccurrenceSummary,
        after: &OccurrenceSummary,
    ) -> bool {
        self.remove_sums(context, before);
        self.add_sums(context, after);
        if before.is_unstarted != after.is_unstarted {
            self.count_unstarted(id, after.is_unstarted);
        }
        if before.rerank_at != after.rerank_at {
            if let Some(until) = before.rerank_at {
                self.reranks.remove(&(until, id.clone(), number));
            }
            if let Some(until) = after.rerank_at {
                self.reranks.insert((until, id.clone(), number));
            }
        }
        self.remove_steps(context, before.steps_missing_in(after));
        self.add_steps(context, after.steps_missing_in(before))
    }

    /// Returns the number of open occurrences of a repeating job without a started task.
    pub(super) fn unstarted(&self, id: &str) -> u32 {
        self.unstarted.get(id).copied().unwrap_or_default()
    }

    /// Removes and returns the occurrences whose rank has changed over time.
    pub(super) fn take_due_reranks(&mut self, now: BootTime) -> Vec<(JobId, u32)> {
        let mut due = Vec::new();
        while let Some((until, ..)) = self.reranks.first()
            && *until < now
        {
            due.extend(self.reranks.pop_first().map(|(_, id, number)| (id, number)));
        }
        due
    }

    /// Returns the pools with waiting steps.
    pub(super) fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Returns the waiting steps of a pool.
    pub(super) fn waiting_groups(
        &self,
        pool: &str,
    ) -> impl Iterator<Item = (&WaitingGroup, &RankedSteps)> {
        self.pools.get(pool).into_iter().flatten()
    }

    /// Returns the processor demand of the open jobs of a pool.
    pub(super) fn demand(&self, pool: &str) -> CoreDemand {
        let demands = self.workspace_demands(pool).map(|(_, demand)| *demand);
        demands.fold(CoreDemand::default(), CoreDemand::plus)
    }

    /// Returns the processor demand of the open jobs of a pool, for each workspace that has any.
    pub(super) fn workspace_demands(
        &self,
        pool: &str,
    ) -> impl Iterator<Item = (&WorkspaceId, &CoreDemand)> {
        self.demands.get(pool).into_iter().flatten()
    }

    /// Returns the backlog of a pool without the jobs that wait until targets of `unpolled_pools`
    /// have been polled.
    pub(super) fn backlog(&self, pool: &str, unpolled_pools: &BTreeSet<PoolId>) -> PoolBacklog {
        let backlogs = self.backlogs.get(pool).into_iter().flatten();
        let startable = backlogs
            .filter(|(inherited_pools, _)| !may_run_unseen(inherited_pools, unpolled_pools));
        let startable = startable.map(|(_, backlog)| *backlog);
        startable.fold(PoolBacklog::default(), PoolBacklog::plus)
    }

    /// Returns the pools with a backlog.
    pub(super) fn backlogged_pools(&self) -> impl Iterator<Item = &PoolId> {
        self.backlogs.keys()
    }

    /// Returns the backlog of all pools.
    pub(super) fn total_backlog(&self) -> PoolBacklog {
        let backlogs = self.backlogs.values().flat_map(BTreeMap::values).copied();
        backlogs.fold(PoolBacklog::default(), PoolBacklog::plus)
    }

    /// Returns the resources that workspaces may be using on targets of `unpolled_pools` that have
    /// not been polled.
    pub(super) fn unconfirmed_usage(
        &self,
        unpolled_pools: &BTreeSet<PoolId>,
    ) -> BTreeMap<WorkspaceId, ResourceVector> {
        let mut usage: BTreeMap<WorkspaceId, ResourceVector> = BTreeMap::new();
        for (group, unconfirmed) in &self.unconfirmed_usage {
            if may_run_unseen(&group.inherited_pools, unpolled_pools) {
                let used = usage.entry(group.workspace.clone()).or_default();
                *used = used.plus(*unconfirmed);
            }
        }
        usage
    }

    fn count_unstarted(&mut self, id: &JobId, is_unstarted: bool) {
        let count = self.unstarted.entry(id.clone()).or_default();
        *count = match is_unstarted {
            true => *count + 1,
            false => *count - 1,
        };
        if *count == 0 {
            self.unstarted.remove(id);
        }
    }

    /// Adds steps; returns true if there were any.
    fn add_steps<'a>(
        &mut self,
        context: &JobContext,
        mut steps: impl Iterator<Item = &'a WaitingStep>,
    ) -> bool {
        let Some(first) = steps.next() else {
            return false;
        };
        let pool = self.pools.entry(context.pool.clone()).or_default();
        let ranked = pool.entry(context.group.clone()).or_default();
        ranked.insert(first.clone());
        steps.for_each(|step| ranked.insert(step.clone()));
        true
    }

    fn remove_steps<'a>(
        &mut self,
        context: &JobContext,
        steps: impl Iterator<Item = &'a WaitingStep>,
    ) {
        let Some(pool) = self.pools.get_mut(&context.pool) else {
            return;
        };
        if let Some(ranked) = pool.get_mut(&context.group) {
            steps.for_each(|step| ranked.remove(&step.key()));
            if ranked.is_empty() {
                pool.remove(&context.group);
            }
        }
        if pool.is_empty() {
            self.pools.remove(&context.pool);
        }
    }

    fn add_sums(&mut self, context: &JobContext, summary: &OccurrenceSummary) {
        if summary.demand != CoreDemand::default() {
            let demands = self.demands.entry(context.pool.clone()).or_default();
            let demand = demands.entry(context.group.workspace.clone()).or_default();
            *demand = demand.plus(summary.demand);
        }
        if summary.backlog != PoolBacklog::default() {
            let pool = self.backlogs.entry(context.pool.clone()).or_default();
            let inherited_pools = context.group.inherited_pools.clone();
            let backlog = pool.entry(inherited_pools).or_default();
            *backlog = backlog.plus(summary.backlog);
        }
        self.add_unconfirmed_usage(&context.group, summary.unconfirmed_usage);
    }

    fn remove_sums(&mut self, context: &JobContext, summary: &OccurrenceSummary) {
        if summary.demand != CoreDemand::default() {
            self.remove_demand(context, summary);
        }
        if summary.backlog != PoolBacklog::default() {
            self.remove_backlog(context, summary);
        }
        self.remove_unconfirmed_usage(&context.group, summary.unconfirmed_usage);
    }

    fn remove_demand(&mut self, context: &JobContext, summary: &OccurrenceSummary) {
        let Some(pool) = self.demands.get_mut(&context.pool) else {
            return;
        };
        if let Some(demand) = pool.get_mut(&context.group.workspace) {
            *demand = demand.minus(summary.demand);
            if *demand == CoreDemand::default() {
                pool.remove(&context.group.workspace);
            }
        }
        if pool.is_empty() {
            self.demands.remove(&context.pool);
        }
    }

    fn remove_backlog(&mut self, context: &JobContext, summary: &OccurrenceSummary) {
        let Some(pool) = self.backlogs.get_mut(&context.pool) else {
            return;
        };
        if let Some(backlog) = pool.get_mut(&context.group.inherited_pools) {
            *backlog = backlog.minus(summary.backlog);
            if *backlog == PoolBacklog::default() {
                pool.remove(&context.group.inherited_pools);
            }
        }
        if pool.is_empty() {
            self.backlogs.remove(&context.pool);
        }
    }

    /// Adds resources that tasks of a group may be using.
    pub(super) fn add_unconfirmed_usage(&mut self, group: &WaitingGroup, usage: ResourceVector) {
        if usage != ResourceVector::default() {
            let unconfirmed = self.unconfirmed_usage.entry(group.clone()).or_default();
            *unconfirmed = unconfirmed.plus(usage);
        }
    }

    /// Removes resources that were added.
    pub(super) fn remove_unconfirmed_usage(&mut self, group: &WaitingGroup, usage: ResourceVector) {
        let Some(unconfirmed) = self.unconfirmed_usage.get_mut(group) else {
            return;
        };
        *unconfirmed = unconfirmed.minus(usage);
        if *unconfirmed == ResourceVector::default() {
            self.unconfirmed_usage.remove(group);
        }
    }
}
