use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use model::{BootTime, PoolId, WorkspaceId, work::ResourceVector};

use super::{
    SchedulerEvent, SchedulerTime, WorkCounters, WorkScheduler,
    job_summary::{WaitingGroup, may_run_unseen},
    ranked_steps::{RankedSteps, StepFilter, StepRank, WaitingStep},
    step_key::StepKey,
};

/// Maximum starts per planning pass, unless a gang has more members; the rest follow in the next pass.
/// It bounds the time during which the event loop handles nothing else.
pub(super) const MAX_STARTS_PER_PLAN: usize = 256;

/// Maximum number of targets, waiting steps and blocks of steps that a planning pass examines, but for
/// those of its last step; the rest follow in the next pass. It bounds the time of a pass that starts
/// little, because thousands of steps wait that no target can take.
const MAX_EXAMINED_PER_PLAN: u64 = 50_000;

/// Resource amounts remembered per pool during planning because no target has that much free.
const MAX_UNPLACEABLE_SIZES: usize = 8;
/// What a workspace without a limit may use.
const NO_LIMIT: ResourceVector = ResourceVector {
    cpu: u64::MAX,
    memory_mb: u64::MAX,
    gpu: u64::MAX,
};

/// State of one planning pass.
#[derive(Clone, Debug, Default)]
pub(super) struct StartPlan {
    pools: BTreeSet<PoolId>,
    /// Pools in which something has changed that was not examined. They are due again after the plan.
    pools_to_repeat: BTreeSet<PoolId>,
    /// Pools with targets that have not been polled yet. Inherited jobs that may have tasks there
    /// have to wait.
    unpolled_pools: BTreeSet<PoolId>,
    /// What workspaces may have running on targets that have not been polled yet.
    unconfirmed_usage: BTreeMap<WorkspaceId, ResourceVector>,
    /// Largest free amount on any target of each pool, per resource.
    max_free: BTreeMap<PoolId, ResourceVector>,
    /// Resource amounts that no target of the pool has free.
    unplaceable: BTreeMap<PoolId, Vec<ResourceVector>>,
    /// Turn of each workspace in each pool, if workspaces take turns.
    turns: BTreeMap<PoolId, BTreeMap<WorkspaceId, u32>>,
    /// The last step of each group that was tried.
    tried: BTreeMap<PoolId, BTreeMap<WaitingGroup, StepRank>>,
}

/// What a planning pass may still do.
#[derive(Clone, Copy, Debug)]
struct PlanLimits {
    /// Tasks to start.
    starts: usize,
    /// Targets, steps and blocks of steps to examine.
    effort: u64,
}

/// Why a plan ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlanEnd {
    /// All steps were tried.
    Complete,
    /// As many tasks were started as a pass may start.
    StartLimit,
    /// As much was examined as a pass may examine.
    EffortLimit,
}

/// The best step found so far.
#[derive(Clone, Copy, Debug)]
struct NextStep<'a> {
    pool: &'a PoolId,
    group: &'a WaitingGroup,
    step: &'a WaitingStep,
}

impl NextStep<'_> {
    /// Returns the order of two steps of the same pool, in which workspaces may take turns.
    fn order_in_pool(&self, other: &Self, turns: Option<&BTreeMap<WorkspaceId, u32>>) -> Ordering {
        let Some(turns) = turns else {
            return self.step.order(other.step);
        };
        let key = |next: &Self| {
            let turn = turns.get(&next.group.workspace).copied();
            (next.step.rank.urgency(), turn)
        };
        let order = key(self).cmp(&key(other));
        order.then_with(|| self.step.order(other.step))
    }
}

impl WorkScheduler {
    /// Starts tasks as far as possible, about `max_starts` of them: the last step starts as a
    /// whole. Cheap if nothing has changed since the last call. Returns true if steps are left to be
    /// tried; the caller plans again once it has handled other events.
    ///
    /// Nothing is started while another process may own the cell. That process does not account for
    /// what this one would add, so that a workspace's limit could be exceeded. A target that has
    /// not seen the successor's token yet could also run a task that the successor knows to be
    /// done. The cost is small: a store outage of 4.2 s loses 0.03 of a day's value.
    pub fn plan_starts(&mut self, now: SchedulerTime, max_starts: usize) -> bool {
        self.sync_indexes(now.boot);
        let has_pools = !self.index.startable_pools.is_empty();
        let is_due = self.replan_needed || has_pools || self.unfinished_plan.is_some();
        if self.ownership_uncertain || !is_due {
            self.forecast.observe_held_back(false, now.boot);
            return false;
        }
        if max_starts == 0 {
            self.forecast.observe_held_back(true, now.boot);
            return false;
        }
        let is_unfinished = self.start_steps(now, max_starts);
        self.send_advice_requests(now);
        is_unfinished
    }

    /// Tries the steps of all pools in which something has changed, and those that an earlier pass
    /// has left; returns true if some are left again.
    ///
    /// Each pass begins with the first steps by rank. Otherwise a new urgent step would wait until
    /// all those have been tried that no target can take.
    fn start_steps(&mut self, now: SchedulerTime, max_starts: usize) -> bool {
        let mut limits = PlanLimits {
            starts: max_starts.min(MAX_STARTS_PER_PLAN),
            effort: MAX_EXAMINED_PER_PLAN,
        };
        let Some(mut unfinished) = self.unfinished_plan.take() else {
            let mut plan = self.begin_plan();
            let end = self.run_plan(&mut plan, &mut limits, now);
            return self.end_plan(plan, end, now);
        };
        let reserved = limits.effort / 2;
        limits.effort -= reserved;
        let mut plan = self.begin_plan();
        let end = self.run_plan(&mut plan, &mut limits, now);
        limits.effort += reserved;
        if end == PlanEnd::StartLimit {
            self.unfinished_plan = Some(unfinished);
            return self.end_plan(plan, end, now);
        }
        if end == PlanEnd::EffortLimit {
            unfinished.pools_to_repeat.extend(plan.pools);
        }
        let mut rest = self.resume_plan(unfinished);
        let end = self.run_plan(&mut rest, &mut limits, now);
        self.end_plan(rest, end, now)
    }

    /// Keeps what a pass has left to do; returns true if it has to be continued.
    fn end_plan(&mut self, plan: StartPlan, end: PlanEnd, now: SchedulerTime) -> bool {
        if end != PlanEnd::EffortLimit {
            let is_held_back = end == PlanEnd::StartLimit;
            self.forecast.observe_held_back(is_held_back, now.boot);
        }
        let due = &mut self.index.startable_pools;
        match end {
            PlanEnd::Complete => {
                let must_repeat = !plan.pools_to_repeat.is_empty();
                due.extend(plan.pools_to_repeat);
                must_repeat
            }
            PlanEnd::StartLimit => {
                due.extend(plan.pools.into_iter().chain(plan.pools_to_repeat));
                false
            }
            PlanEnd::EffortLimit => {
                self.unfinished_plan = Some(plan);
                true
            }
        }
    }

    /// Tries the steps of a plan by rank, up to the limits of the pass, from which it takes what it
    /// uses.
    fn run_plan(
        &mut self,
        plan: &mut StartPlan,
        limits: &mut PlanLimits,
        now: SchedulerTime,
    ) -> PlanEnd {
        let mut examined = self.counters.examined();
        while let Some((pool, group, rank)) = self.next_step(plan, now) {
            let outcome = self.start_step(&rank, &plan.unconfirmed_usage, now);
            if outcome.started > 0 {
                self.sync_indexes(now.boot);
                plan.max_free.remove(&pool);
                if let Some(turns) = plan.turns.get_mut(&pool) {
                    let turn = self.turn(&pool, &group.workspace, now.boot);
                    turns.insert(group.workspace.clone(), turn);
                }
            }
            limits.starts = limits.starts.saturating_sub(outcome.started);
            if limits.starts == 0 {
                return PlanEnd::StartLimit;
            }
            if outcome.no_capacity {
                self.remember_unplaceable_size(plan, &pool, &rank.1);
            }
            let tried = plan.tried.entry(pool).or_default();
            tried.insert(group, rank);
            let examined_before = std::mem::replace(&mut examined, self.counters.examined());
            let effort = examined.wrapping_sub(examined_before);
            limits.effort = limits.effort.saturating_sub(effort);
            if limits.effort == 0 {
                return PlanEnd::EffortLimit;
            }
        }
        PlanEnd::Complete
    }

    fn begin_plan(&mut self) -> StartPlan {
        let unpolled_pools = self.index.targets.unknown_pools();
        let has_changed = self.index.unpolled_pools != unpolled_pools;
        if has_changed {
            self.index.unpolled_pools.clone_from(&unpolled_pools);
            self.emit(SchedulerEvent::UnpolledPools(unpolled_pools));
        }
        let mut pools = std::mem::take(&mut self.index.startable_pools);
        // What may run on targets that were not polled counted against the limits in all pools.
        if std::mem::take(&mut self.replan_needed) || has_changed {
            pools.extend(self.index.jobs.work.pools().cloned());
        }
        self.resume_plan(StartPlan {
            pools,
            ..StartPlan::default()
        })
    }

    /// Returns the rest of a plan, to be run on what is known now.
    fn resume_plan(&self, plan: StartPlan) -> StartPlan {
        let unpolled_pools = self.index.unpolled_pools.clone();
        StartPlan {
            pools: plan.pools,
            pools_to_repeat: plan.pools_to_repeat,
            tried: plan.tried,
            unconfirmed_usage: self.index.jobs.work.unconfirmed_usage(&unpolled_pools),
            unpolled_pools,
            ..StartPlan::default()
        }
    }

    /// The step to try next: the first by rank among all that may be started.
    fn next_step(
        &mut self,
        plan: &mut StartPlan,
        now: SchedulerTime,
    ) -> Option<(PoolId, WaitingGroup, StepRank)> {
        let mut best: Option<NextStep<'_>> = None;
        let mut capped = Vec::new();
        self.measure_free_capacity(plan, now);
        self.measure_turns(plan, now);
        for pool in &plan.pools {
            let turns = plan.turns.get(pool);
            let mut first: Option<NextStep<'_>> = None;
            for (group, ranked) in self.index.jobs.work.waiting_groups(pool) {
                if may_run_unseen(&group.inherited_pools, &plan.unpolled_pools) {
                    continue;
                }
                let found = self.next_startable_step(plan, pool, group, ranked);
                if found.is_some_and(|(_, is_capped)| is_capped) {
                    capped.push((group.workspace.clone(), pool.clone()));
                }
                let Some((Some(step), _)) = found else {
                    continue;
                };
                let next = NextStep { pool, group, step };
                if first.is_none_or(|first| next.order_in_pool(&first, turns).is_lt()) {
                    first = Some(next);
                }
            }
            let Some(first) = first else {
                continue;
            };
            if best.is_none_or(|best| first.step.order(best.step).is_lt()) {
                best = Some(first);
            }
        }
        let next = best.map(|best| (best.pool.clone(), best.group.clone(), best.step.key()));
        for (workspace, pool) in capped {
            self.mark_capped(&workspace, &pool);
        }
        next
    }

    /// Computes the turns of the workspaces of pools that are new to the plan.
    fn measure_turns(&self, plan: &mut StartPlan, now: SchedulerTime) {
        if !self.tuning.sharing.fair_order {
            return;
        }
        for pool in &plan.pools {
            if !plan.turns.contains_key(pool) {
                let groups = self.index.jobs.work.waiting_groups(pool);
                let workspaces = groups.map(|(group, _)| &group.workspace);
                let turn = |workspace: &WorkspaceId| {
                    (workspace.clone(), self.turn(pool, workspace, now.boot))
                };
                let turns = workspaces.map(turn).collect();
                plan.turns.insert(pool.clone(), turns);
            }
        }
    }

    /// Turn of a workspace in a pool; smaller goes first.
    fn turn(&self, pool: &PoolId, workspace: &WorkspaceId, now: BootTime) -> u32 {
        let cores = self.pool_cores.as_ref().and_then(|pools| pools.get(pool));
        let cores = cores.map_or(0.0, |cores| cores.present);
        let weight = f64::from(self.workspace_weight(workspace));
        let share = cores * weight / self.index.total_weight.max(1.0);
        self.fair_order.turn(pool, workspace, share, now)
    }

    /// The first step of a group that may be started, and whether steps before it are held back by
    /// the limit of their workspace. `None` if no step fits on a target.
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
        let (found, examined) = ranked.next(tried, &filter);
        WorkCounters::add(&self.counters.steps, examined);
        let found = found?;
        filter.workspace_left =
            self.remaining_workspace_limit(&group.workspace, &plan.unconfirmed_usage);
        if found.charged.fits_in(filter.workspace_left) {
            return Some((Some(found), false));
        }
        let (found, examined) = ranked.next(tried, &filter);
        WorkCounters::add(&self.counters.steps, examined);
        Some((found, true))
    }

    /// Computes the free capacity of pools that are new to the plan or in which tasks were placed.
    fn measure_free_capacity(&self, plan: &mut StartPlan, now: SchedulerTime) {
        for pool in &plan.pools {
            if !plan.max_free.contains_key(pool) {
                let free = self.index.targets.most_free(pool, now.boot);
                plan.max_free.insert(pool.clone(), free);
            }
        }
    }

    /// What remains of a workspace's limit.
    pub(super) fn remaining_workspace_limit(
        &self,
        workspace: &WorkspaceId,
        unconfirmed_usage: &BTreeMap<WorkspaceId, ResourceVector>,
    ) -> ResourceVector {
        let Some(limit) = self.index.limits.get(workspace) else {
            return NO_LIMIT;
        };
        let used = self
            .workspace_usage
            .get(workspace)
            .copied()
            .unwrap_or_default();
        let unconfirmed_usage = unconfirmed_usage
            .get(workspace)
            .copied()
            .unwrap_or_default();
        limit.remaining_of_limit(used.plus(unconfirmed_usage))
    }

    /// Marks a pool in which steps of a workspace wait because of its limit.
    pub(super) fn mark_capped(&mut self, workspace: &WorkspaceId, pool: &PoolId) {
        let pools = self.index.capped.entry(workspace.clone()).or_default();
        pools.insert(pool.clone());
    }

    /// Skips further steps that need as much as one that did not fit.
    fn remember_unplaceable_size(&self, plan: &mut StartPlan, pool: &PoolId, step: &StepKey) {
        let job = self.job_table.jobs.get(&step.job);
        let tried = job.and_then(|job| job.plan.steps.get(step.step as usize));
        if let Some(tried) = tried {
            let unplaceable = plan.unplaceable.entry(pool.clone()).or_default();
            if unplaceable.len() < MAX_UNPLACEABLE_SIZES {
                unplaceable.push(tried.footprint());
            }
        }
    }
}
