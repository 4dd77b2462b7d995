use std::collections::{BTreeMap, BTreeSet, HashMap};

use compact_str::CompactString;
use model::{
    BootTime, JobId, PoolId, WorkspaceId,
    work::{FleetPolicy, ResourceVector},
};

use super::{
    WorkJob,
    core_demand::CoreDemand,
    job_summary::{JobSummary, PoolBacklog, WaitingGroup, may_run_unseen},
    ranked_steps::RankedSteps,
};

/// Index of jobs by what scheduling decisions look up, so that no decision iterates over all jobs.
///
/// It holds no information of its own and can be rebuilt from the job table at any time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct JobIndex {
    summaries: HashMap<JobId, JobSummary>,
    /// Waiting steps of each pool.
    pools: BTreeMap<PoolId, BTreeMap<WaitingGroup, RankedSteps>>,
    /// Number of open jobs without a started task, for each queue.
    pending: BTreeMap<CompactString, u64>,
    demands: BTreeMap<PoolId, BTreeMap<WorkspaceId, CoreDemand>>,
    /// Backlog of each pool, by the pools in which predecessors may have started tasks of its jobs.
    backlogs: BTreeMap<PoolId, BTreeMap<Vec<PoolId>, PoolBacklog>>,
    /// Resources of tasks that predecessors may have started and that are not known to run, by the
    /// pools in which they may run.
    unconfirmed_usage: BTreeMap<WaitingGroup, ResourceVector>,
    /// For each pool, the number of open jobs by the number of hosts that they need for
    /// anti-affinity.
    anti_affinity_hosts: BTreeMap<PoolId, BTreeMap<usize, usize>>,
    /// Times at which the rank of a job's steps changes.
    reranks: BTreeSet<(BootTime, JobId)>,
    /// Open jobs with occurrences that are not due yet.
    pub(super) repeating: BTreeSet<JobId>,
    /// Open jobs with gang steps.
    pub(super) gangs: BTreeSet<JobId>,
    /// Jobs that have ended and have no unstored log entries, by the time of their end.
    ended: BTreeSet<(BootTime, JobId)>,
}

impl JobIndex {
    /// Updates the summary of a job. If a task may be able to start because of the change, adds the
    /// job's pool to `due`.
    pub(super) fn update(
        &mut self,
        id: &JobId,
        job: Option<&WorkJob>,
        policy: &FleetPolicy,
        now: BootTime,
        due: &mut BTreeSet<PoolId>,
    ) {
        let new = job.map(|job| JobSummary::of_job(job, policy, now));
        if self.summaries.get(id) == new.as_ref() {
            return;
        }
        let old = self.summaries.remove(id).unwrap_or_default();
        self.remove(id, &old);
        let Some(new) = new else {
            return;
        };
        if new.has_new_work(&old) {
            due.insert(new.pool.clone());
        }
        self.add(id, &new);
        self.summaries.insert(id.clone(), new);
    }

    /// Removes and returns the jobs whose rank has changed over time.
    pub(super) fn take_due_reranks(&mut self, now: BootTime) -> Vec<JobId> {
        let mut due = Vec::new();
        while let Some((until, _)) = self.reranks.first()
            && *until < now
        {
            due.extend(self.reranks.pop_first().map(|(_, id)| id));
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

    /// Returns the number of open jobs of a queue without a started task.
    pub(super) fn pending(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or_default()
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

    /// Returns the number of hosts that the open jobs of a pool need for anti-affinity; 0 for none.
    pub(super) fn anti_affinity_hosts(&self, pool: &str) -> usize {
        let hosts = self
            .anti_affinity_hosts
            .get(pool)
            .and_then(BTreeMap::last_key_value);
        hosts.map_or(0, |(hosts, _)| *hosts)
    }

    /// Returns the jobs that ended before a time and have no unstored log entries.
    pub(super) fn ended_before(&self, before: BootTime) -> Vec<JobId> {
        let ended = self.ended.range(..(before, JobId::default()));
        ended.map(|(_, id)| id.clone()).collect()
    }

    fn add(&mut self, id: &JobId, summary: &JobSummary) {
        if !summary.waiting_steps.is_empty() {
            let pool = self.pools.entry(summary.pool.clone()).or_default();
            let steps = pool.entry(summary.group.clone()).or_default();
            for step in &summary.waiting_steps {
                steps.insert(step.clone());
            }
        }
        if let Some(queue) = &summary.pending_queue {
            *self.pending.entry(queue.clone()).or_default() += 1;
        }
        if summary.demand != CoreDemand::default() {
            let demands = self.demands.entry(summary.pool.clone()).or_default();
            let demand = demands.entry(summary.group.workspace.clone()).or_default();
            *demand = demand.plus(summary.demand);
        }
        if summary.backlog != PoolBacklog::default() {
            let pool = self.backlogs.entry(summary.pool.clone()).or_default();
            let inherited_pools = summary.group.inherited_pools.clone();
            let backlog = pool.entry(inherited_pools).or_default();
            *backlog = backlog.plus(summary.backlog);
        }
        if summary.unconfirmed_usage != ResourceVector::default() {
            let group = summary.group.clone();
            let unconfirmed = self.unconfirmed_usage.entry(group).or_default();
            *unconfirmed = unconfirmed.plus(summary.unconfirmed_usage);
        }
        if summary.anti_affinity_hosts > 0 {
            let job_counts = self
                .anti_affinity_hosts
                .entry(summary.pool.clone())
                .or_default();
            *job_counts.entry(summary.anti_affinity_hosts).or_default() += 1;
        }
        if let Some(until) = summary.rerank_at {
            self.reranks.insert((until, id.clone()));
        }
        if summary.has_future_occurrences {
            self.repeating.insert(id.clone());
        }
        if summary.has_gang {
            self.gangs.insert(id.clone());
        }
        if let Some(ended) = summary.ended_at {
            self.ended.insert((ended, id.clone()));
        }
    }

    fn remove(&mut self, id: &JobId, summary: &JobSummary) {
        self.remove_steps(summary);
        if let Some(queue) = &summary.pending_queue
            && let Some(pending) = self.pending.get_mut(queue)
        {
            *pending -= 1;
            if *pending == 0 {
                self.pending.remove(queue);
            }
        }
        if summary.demand != CoreDemand::default() {
            self.remove_demand(summary);
        }
        if summary.backlog != PoolBacklog::default() {
            self.remove_backlog(summary);
        }
        if summary.unconfirmed_usage != ResourceVector::default() {
            self.remove_unconfirmed_usage(summary);
        }
        if summary.anti_affinity_hosts > 0 {
            self.remove_anti_affinity_hosts(summary);
        }
        if let Some(until) = summary.rerank_at {
            self.reranks.remove(&(until, id.clone()));
        }
        if summary.has_future_occurrences {
            self.repeating.remove(id);
        }
        if summary.has_gang {
            self.gangs.remove(id);
        }
        if let Some(ended) = summary.ended_at {
            self.ended.remove(&(ended, id.clone()));
        }
    }

    fn remove_steps(&mut self, summary: &JobSummary) {
        let Some(pool) = self.pools.get_mut(&summary.pool) else {
            return;
        };
        if let Some(steps) = pool.get_mut(&summary.group) {
            for step in &summary.waiting_steps {
                steps.remove(&step.key());
            }
            if steps.is_empty() {
                pool.remove(&summary.group);
            }
        }
        if pool.is_empty() {
            self.pools.remove(&summary.pool);
        }
    }

    fn remove_demand(&mut self, summary: &JobSummary) {
        let Some(pool) = self.demands.get_mut(&summary.pool) else {
            return;
        };
        if let Some(demand) = pool.get_mut(&summary.group.workspace) {
            *demand = demand.minus(summary.demand);
            if *demand == CoreDemand::default() {
                pool.remove(&summary.group.workspace);
            }
        }
        if pool.is_empty() {
            self.demands.remove(&summary.pool);
        }
    }

    fn remove_unconfirmed_usage(&mut self, summary: &JobSummary) {
        let Some(unconfirmed) = self.unconfirmed_usage.get_mut(&summary.group) else {
            return;
        };
        *unconfirmed = unconfirmed.minus(summary.unconfirmed_usage);
        if *unconfirmed == ResourceVector::default() {
            self.unconfirmed_usage.remove(&summary.group);
        }
    }

    fn remove_backlog(&mut self, summary: &JobSummary) {
        let Some(pool) = self.backlogs.get_mut(&summary.pool) else {
            return;
        };
        if let Some(backlog) = pool.get_mut(&summary.group.inherited_pools) {
            *backlog = backlog.minus(summary.backlog);
            if *backlog == PoolBacklog::default() {
                pool.remove(&summary.group.inherited_pools);
            }
        }
        if pool.is_empty() {
            self.backlogs.remove(&summary.pool);
        }
    }

    fn remove_anti_affinity_hosts(&mut self, summary: &JobSummary) {
        let Some(job_counts) = self.anti_affinity_hosts.get_mut(&summary.pool) else {
            return;
        };
        if let Some(jobs) = job_counts.get_mut(&summary.anti_affinity_hosts) {
            *jobs -= 1;
            if *jobs == 0 {
                job_counts.remove(&summary.anti_affinity_hosts);
            }
        }
        if job_counts.is_empty() {
            self.anti_affinity_hosts.remove(&summary.pool);
        }
    }
}
