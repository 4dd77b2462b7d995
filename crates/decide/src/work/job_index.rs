use std::collections::{BTreeMap, BTreeSet, HashMap};

use compact_str::CompactString;
use model::{
    BootTime, JobId, PoolId, WorkspaceId,
    work::{FleetPolicy, ResourceVector},
};

use super::{
    WorkJob,
    job_summary::{CoreDemand, JobSummary, PoolBacklog, WaitingGroup},
    ranked_steps::RankedSteps,
};

/// Jobs by what decisions ask for, so that none walks over all of them.
///
/// It says nothing that the books of jobs don't: it can be made anew from them at any time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct JobIndex {
    summaries: HashMap<JobId, JobSummary>,
    /// What waits in each pool.
    pools: BTreeMap<PoolId, BTreeMap<WaitingGroup, RankedSteps>>,
    /// Open jobs of each queue that have not begun.
    pending: BTreeMap<CompactString, u64>,
    demands: BTreeMap<PoolId, CoreDemand>,
    /// What is to be started in each pool: of predecessors' jobs, and of others.
    backlogs: BTreeMap<(PoolId, bool), PoolBacklog>,
    /// What tasks of predecessors' jobs that are not known to run would take, for each pool.
    unconfirmed_usage: BTreeMap<PoolId, BTreeMap<WorkspaceId, ResourceVector>>,
    /// How many open jobs of each pool need so many hosts for tasks that may not share one.
    anti_affinity_hosts: BTreeMap<PoolId, BTreeMap<usize, usize>>,
    /// When the rank of a job's steps changes.
    reranks: BTreeSet<(BootTime, JobId)>,
    /// Open jobs with occurrences that are not due yet.
    pub(super) repeating: BTreeSet<JobId>,
    /// Open jobs with steps that start whole.
    pub(super) gangs: BTreeSet<JobId>,
    /// Jobs that have ended and hold nothing, by the time of their end.
    ended: BTreeSet<(BootTime, JobId)>,
}

impl JobIndex {
    /// Takes in what became of a job; the pool in which something may be started by that is added to
    /// `due`.
    pub(super) fn update(
        &mut self,
        id: &JobId,
        job: Option<&WorkJob>,
        terms: &FleetPolicy,
        now: BootTime,
        due: &mut BTreeSet<PoolId>,
    ) {
        let new = job.map(|job| JobSummary::of_job(job, terms, now));
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

    /// Jobs whose rank has changed by time.
    pub(super) fn take_due_reranks(&mut self, now: BootTime) -> Vec<JobId> {
        let mut due = Vec::new();
        while let Some((until, _)) = self.reranks.first()
            && *until < now
        {
            due.extend(self.reranks.pop_first().map(|(_, id)| id));
        }
        due
    }

    /// Pools in which something waits.
    pub(super) fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// What waits in a pool.
    pub(super) fn waiting_groups(
        &self,
        pool: &str,
    ) -> impl Iterator<Item = (&WaitingGroup, &RankedSteps)> {
        self.pools.get(pool).into_iter().flatten()
    }

    /// Open jobs of a queue that have not begun.
    pub(super) fn pending(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or_default()
    }

    /// What open jobs of a pool need.
    pub(super) fn demand(&self, pool: &str) -> CoreDemand {
        self.demands.get(pool).copied().unwrap_or_default()
    }

    /// What is to be started in a pool; `inherited` adds what predecessors have accepted.
    pub(super) fn backlog(&self, pool: &PoolId, inherited: bool) -> PoolBacklog {
        let of = |inherited| {
            let backlog = self.backlogs.get(&(pool.clone(), inherited));
            backlog.copied().unwrap_or_default()
        };
        let (own, before): (PoolBacklog, PoolBacklog) = (of(false), of(true));
        match inherited {
            true => own.plus(before),
            false => own,
        }
    }

    /// Pools in which something is to be started; one may come twice.
    pub(super) fn backlogged_pools(&self) -> impl Iterator<Item = &PoolId> {
        self.backlogs.keys().map(|(pool, _)| pool)
    }

    /// What is to be started in all pools.
    pub(super) fn total_backlog(&self) -> PoolBacklog {
        let backlogs = self.backlogs.values().copied();
        backlogs.fold(PoolBacklog::default(), PoolBacklog::plus)
    }

    /// What workspaces may have running on targets of some pools that have not been reached.
    pub(super) fn unconfirmed_usage(
        &self,
        pools: &BTreeSet<PoolId>,
    ) -> BTreeMap<WorkspaceId, ResourceVector> {
        let mut usage: BTreeMap<WorkspaceId, ResourceVector> = BTreeMap::new();
        let doubts = pools
            .iter()
            .filter_map(|pool| self.unconfirmed_usage.get(pool));
        for (workspace, doubt) in doubts.flatten() {
            let used = usage.entry(workspace.clone()).or_default();
            *used = used.plus(*doubt);
        }
        usage
    }

    /// Hosts that an open job of a pool needs for tasks that may not share one; 0 if none does.
    pub(super) fn anti_affinity_hosts(&self, pool: &str) -> usize {
        let hosts = self
            .anti_affinity_hosts
            .get(pool)
            .and_then(BTreeMap::last_key_value);
        hosts.map_or(0, |(hosts, _)| *hosts)
    }

    /// Jobs that ended before a time and hold nothing.
    pub(super) fn ended_before(&self, before: BootTime) -> Vec<JobId> {
        let ended = self.ended.range(..(before, JobId::default()));
        ended.map(|(_, id)| id.clone()).collect()
    }

    fn add(&mut self, id: &JobId, facts: &JobSummary) {
        if !facts.waiting_steps.is_empty() {
            let pool = self.pools.entry(facts.pool.clone()).or_default();
            let steps = pool.entry(facts.group.clone()).or_default();
            for step in &facts.waiting_steps {
                steps.insert(step.clone());
            }
        }
        if let Some(queue) = &facts.pending_queue {
            *self.pending.entry(queue.clone()).or_default() += 1;
        }
        if facts.demand != CoreDemand::default() {
            let need = self.demands.entry(facts.pool.clone()).or_default();
            need.present += facts.demand.present;
            need.long_running += facts.demand.long_running;
        }
        if facts.backlog != PoolBacklog::default() {
            let key = (facts.pool.clone(), facts.group.inherited);
            let backlog = self.backlogs.entry(key).or_default();
            *backlog = backlog.plus(facts.backlog);
        }
        if facts.unconfirmed_usage != ResourceVector::default() {
            let pool = self
                .unconfirmed_usage
                .entry(facts.pool.clone())
                .or_default();
            let doubt = pool.entry(facts.group.workspace.clone()).or_default();
            *doubt = doubt.plus(facts.unconfirmed_usage);
        }
        if facts.anti_affinity_hosts > 0 {
            let apart = self
                .anti_affinity_hosts
                .entry(facts.pool.clone())
                .or_default();
            *apart.entry(facts.anti_affinity_hosts).or_default() += 1;
        }
        if let Some(until) = facts.rerank_at {
            self.reranks.insert((until, id.clone()));
        }
        if facts.has_future_occurrences {
            self.repeating.insert(id.clone());
        }
        if facts.has_gang {
            self.gangs.insert(id.clone());
        }
        if let Some(ended) = facts.ended_at {
            self.ended.insert((ended, id.clone()));
        }
    }

    fn remove(&mut self, id: &JobId, facts: &JobSummary) {
        self.remove_steps(facts);
        if let Some(queue) = &facts.pending_queue
            && let Some(pending) = self.pending.get_mut(queue)
        {
            *pending -= 1;
            if *pending == 0 {
                self.pending.remove(queue);
            }
        }
        if let Some(need) = self.demands.get_mut(&facts.pool) {
            need.present -= facts.demand.present;
            need.long_running -= facts.demand.long_running;
            if *need == CoreDemand::default() {
                self.demands.remove(&facts.pool);
            }
        }
        if facts.backlog != PoolBacklog::default() {
            self.remove_backlog(facts);
        }
        if facts.unconfirmed_usage != ResourceVector::default() {
            self.remove_unconfirmed_usage(facts);
        }
        if facts.anti_affinity_hosts > 0 {
            self.remove_anti_affinity_hosts(facts);
        }
        if let Some(until) = facts.rerank_at {
            self.reranks.remove(&(until, id.clone()));
        }
        if facts.has_future_occurrences {
            self.repeating.remove(id);
        }
        if facts.has_gang {
            self.gangs.remove(id);
        }
        if let Some(ended) = facts.ended_at {
            self.ended.remove(&(ended, id.clone()));
        }
    }

    fn remove_steps(&mut self, facts: &JobSummary) {
        let Some(pool) = self.pools.get_mut(&facts.pool) else {
            return;
        };
        if let Some(steps) = pool.get_mut(&facts.group) {
            for step in &facts.waiting_steps {
                steps.remove(&step.key());
            }
            if steps.is_empty() {
                pool.remove(&facts.group);
            }
        }
        if pool.is_empty() {
            self.pools.remove(&facts.pool);
        }
    }

    fn remove_unconfirmed_usage(&mut self, facts: &JobSummary) {
        let Some(pool) = self.unconfirmed_usage.get_mut(&facts.pool) else {
            return;
        };
        if let Some(doubt) = pool.get_mut(&facts.group.workspace) {
            *doubt = doubt.minus(facts.unconfirmed_usage);
            if *doubt == ResourceVector::default() {
                pool.remove(&facts.group.workspace);
            }
        }
        if pool.is_empty() {
            self.unconfirmed_usage.remove(&facts.pool);
        }
    }

    fn remove_backlog(&mut self, facts: &JobSummary) {
        let key = (facts.pool.clone(), facts.group.inherited);
        let Some(backlog) = self.backlogs.get_mut(&key) else {
            return;
        };
        *backlog = backlog.minus(facts.backlog);
        if *backlog == PoolBacklog::default() {
            self.backlogs.remove(&key);
        }
    }

    fn remove_anti_affinity_hosts(&mut self, facts: &JobSummary) {
        let Some(apart) = self.anti_affinity_hosts.get_mut(&facts.pool) else {
            return;
        };
        if let Some(jobs) = apart.get_mut(&facts.anti_affinity_hosts) {
            *jobs -= 1;
            if *jobs == 0 {
                apart.remove(&facts.anti_affinity_hosts);
            }
        }
        if apart.is_empty() {
            self.anti_affinity_hosts.remove(&facts.pool);
        }
    }
}
