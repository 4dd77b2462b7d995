use std::collections::{BTreeMap, BTreeSet};

use model::{PoolId, WorkspaceId, work::ResourceVector};

use super::{
    SchedulerTime, WorkCounters, WorkScheduler,
    job_summary::WaitingGroup,
    ranked_steps::{RankedSteps, StepFilter, StepRank, WaitingStep},
    step_key::StepKey,
};

/// Starts that are planned at once; the rest follows with the next answer. It bounds the time
/// for which the event loop hears nothing else.
const MAX_STARTS_PER_PLAN: usize = 256;

/// Rooms that are remembered of a pool while starts are planned, since no target has them.
const MAX_UNPLACEABLE_SIZES: usize = 8;
/// What a workspace without a limit may take.
const NO_LIMIT: ResourceVector = ResourceVector {
    cpu: u64::MAX,
    memory_mb: u64::MAX,
    gpu: u64::MAX,
};

/// What is considered while starts are planned.
#[derive(Debug, Default)]
struct StartPlan {
    pools: BTreeSet<PoolId>,
    /// Pools whose inherited jobs have to wait.
    unobserved_pools: BTreeSet<PoolId>,
    /// What workspaces may have running on targets that have not been reached.
    unconfirmed_usage: BTreeMap<WorkspaceId, ResourceVector>,
    /// The most that a target of each pool has, of each resource by itself.
    max_free: BTreeMap<PoolId, ResourceVector>,
    /// Rooms that no target of the pool has.
    unplaceable: BTreeMap<PoolId, Vec<ResourceVector>>,
    /// The last step of each group that was tried.
    tried: BTreeMap<PoolId, BTreeMap<WaitingGroup, StepRank>>,
}

/// A step that is to be started next.
#[derive(Clone, Copy, Debug)]
struct NextStep<'a> {
    pool: &'a PoolId,
    group: &'a WaitingGroup,
    step: &'a WaitingStep,
}

impl WorkScheduler {
    /// Starts what can be started; cheap if nothing has changed since the last time.
    ///
    /// While another process may own the cell nothing is started: its books don't hold what this
    /// one would add, so that a workspace's limit would be passed, and a target's life that has
    /// not seen the successor's token yet would run a task that the successor knows to be done.
    /// An outage of the store for 4.2 s costs 0.03 of a day's worth by that.
    pub fn plan_starts(&mut self, now: SchedulerTime) {
        self.sync_indexes(now.boot);
        let is_due = self.replan_needed || !self.index.startable_pools.is_empty();
        if self.ownership_uncertain || !is_due {
            return;
        }
        let mut plan = self.begin_plan();
        let mut left = MAX_STARTS_PER_PLAN;
        while let Some((pool, group, rank)) = self.next_step(&mut plan, now) {
            let outcome = self.start_step(&rank, &plan.unconfirmed_usage, now);
            if outcome.started > 0 {
                self.sync_indexes(now.boot);
                plan.max_free.remove(&pool);
            }
            left = left.saturating_sub(outcome.started);
            if left == 0 {
                self.index.startable_pools.extend(plan.pools);
                return;
            }
            if outcome.no_capacity {
                self.remember_unplaceable_size(&mut plan, &pool, &rank.1);
            }
            let tried = plan.tried.entry(pool).or_default();
            tried.insert(group, rank);
        }
    }

    fn begin_plan(&mut self) -> StartPlan {
        let mut pools = std::mem::take(&mut self.index.startable_pools);
        if std::mem::take(&mut self.replan_needed) {
            pools.extend(self.index.jobs.pools().cloned());
        }
        let unobserved_pools = self.index.targets.unknown_pools();
        if self.index.unobserved_pools != unobserved_pools {
            // What may run there counted against limits, in all pools.
            pools.extend(self.index.jobs.pools().cloned());
            self.index.unobserved_pools.clone_from(&unobserved_pools);
        }
        StartPlan {
            pools,
            unconfirmed_usage: self.index.jobs.unconfirmed_usage(&unobserved_pools),
            unobserved_pools,
            ..StartPlan::default()
        }
    }

    /// The step to be tried next: of all that may be started the first by its rank.
    fn next_step(
        &mut self,
        plan: &mut StartPlan,
        now: SchedulerTime,
    ) -> Option<(PoolId, WaitingGroup, StepRank)> {
        let mut best: Option<NextStep<'_>> = None;
        let mut capped = Vec::new();
        self.measure_free_capacity(plan, now);
        for pool in &plan.pools {
            let blocked = plan.unobserved_pools.contains(pool);
            for (group, ranked) in self.index.jobs.waiting_groups(pool) {
                if group.inherited && blocked {
                    continue;
                }
                let found = self.next_startable_step(plan, pool, group, ranked);
                if found.is_some_and(|(_, is_capped)| is_capped) {
                    capped.push((group.workspace.clone(), pool.clone()));
                }
                let Some((Some(step), _)) = found else {
                    continue;
                };
                if best.is_none_or(|best| step.is_before_step(best.step)) {
                    best = Some(NextStep { pool, group, step });
                }
            }
        }
        let next = best.map(|best| (best.pool.clone(), best.group.clone(), best.step.key()));
        for (workspace, pool) in capped {
            self.mark_capped(&workspace, &pool);
        }
        next
    }

    /// The first step of a group that may be started, and whether others before it wait for their
    /// workspace to have less running; `None` if there is no room for any.
    fn next_startable_step<'a>(
        &self,
        plan: &StartPlan,
        pool: &PoolId,
        group: &WaitingGroup,
        ranked: &'a RankedSteps,
    ) -> Option<(Option<&'a WaitingStep>, bool)> {
        let unplaceable = plan.unplaceable.get(pool).map_or(&[][..], Vec::as_slice);
        let tried = plan.tried.get(pool).and_then(|tried| tried.get(group));
        let mut filter = StepFilter {
            max_free: plan.max_free.get(pool).copied().unwrap_or_default(),
            workspace_left: NO_LIMIT,
            unplaceable,
        };
        let (found, looked) = ranked.next(tried, &filter);
        WorkCounters::add(&self.counters.steps, looked);
        let found = found?;
        filter.workspace_left =
            self.remaining_workspace_limit(&group.workspace, &plan.unconfirmed_usage);
        if found.charged.fits_in(filter.workspace_left) {
            return Some((Some(found), false));
        }
        let (found, looked) = ranked.next(tried, &filter);
        WorkCounters::add(&self.counters.steps, looked);
        Some((found, true))
    }

    /// Measures the room of the pools that tasks were given room in, or that are new to the plan.
    fn measure_free_capacity(&self, plan: &mut StartPlan, now: SchedulerTime) {
        for pool in &plan.pools {
            if !plan.max_free.contains_key(pool) {
                let room = self.index.targets.most_free(pool, now.boot);
                plan.max_free.insert(pool.clone(), room);
            }
        }
    }

    /// What a workspace may still have running.
    pub(super) fn remaining_workspace_limit(
        &self,
        workspace: &WorkspaceId,
        doubt: &BTreeMap<WorkspaceId, ResourceVector>,
    ) -> ResourceVector {
        let Some(limit) = self.index.limits.get(workspace) else {
            return NO_LIMIT;
        };
        let used = self
            .workspace_usage
            .get(workspace)
            .copied()
            .unwrap_or_default();
        let doubt = doubt.get(workspace).copied().unwrap_or_default();
        limit.remaining_of_limit(used.plus(doubt))
    }

    /// Notes that steps of a workspace wait for it to have less running.
    pub(super) fn mark_capped(&mut self, workspace: &WorkspaceId, pool: &PoolId) {
        let pools = self.index.capped.entry(workspace.clone()).or_default();
        pools.insert(pool.clone());
    }

    /// Passes over further steps that take as much as one for which there was no room.
    fn remember_unplaceable_size(&self, plan: &mut StartPlan, pool: &PoolId, step: &StepKey) {
        let job = self.job_table.jobs.get(&step.job);
        let tried = job.and_then(|job| job.plan.steps.get(step.step as usize));
        if let Some(tried) = tried {
            let refused = plan.unplaceable.entry(pool.clone()).or_default();
            if refused.len() < MAX_UNPLACEABLE_SIZES {
                refused.push(tried.footprint());
            }
        }
    }
}
