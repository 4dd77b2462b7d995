use std::collections::BTreeSet;

use compact_str::CompactString;
use model::{
    BootTime, PoolId, WorkspaceId,
    work::{FleetPolicy, ResourceVector},
};

use super::{
    OccurrenceState, WorkJob, WorkPhase,
    core_demand::{CoreDemand, WaitingDemand},
    objective::{RankClass, rank},
    ranked_steps::WaitingStep,
    step_key::StepKey,
};

/// Upper bound of a job's estimated work. Estimates come from callers, and sums must not overflow.
const MAX_JOB_WORK: u64 = 1 << 44;

/// Key of a group of steps that are started or skipped together.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingGroup {
    /// Workspace whose limit applies.
    pub(super) workspace: WorkspaceId,
    /// Pools in which predecessors may have started tasks of these steps, in ascending order; empty
    /// if no predecessor knew their jobs.
    pub(super) inherited_pools: Vec<PoolId>,
}

impl WaitingGroup {
    fn of_job(job: &WorkJob) -> Self {
        let inherited_pools = job.recorded_pools.iter().filter(|_| job.inherited);
        Self {
            workspace: job.workspace.clone(),
            inherited_pools: inherited_pools.cloned().collect(),
        }
    }
}

/// Returns true if tasks that predecessors started in `inherited_pools` may run on targets that have
/// not been polled yet; `unpolled_pools` are the pools of these targets.
pub(super) fn may_run_unseen(
    inherited_pools: &[PoolId],
    unpolled_pools: &BTreeSet<PoolId>,
) -> bool {
    let mut pools = inherited_pools.iter();
    pools.any(|pool| unpolled_pools.contains(pool))
}

/// Number of unstarted tasks of the open jobs of a pool, including tasks of steps that wait for
/// other steps. Long-running tasks are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PoolBacklog {
    /// Tasks within the share of their workspace that can be on time, or that will be late but
    /// still count.
    pub(super) not_overdue: u64,
    /// Tasks within the share that are too late to count.
    pub(super) overdue: u64,
    /// Tasks beyond the share.
    pub(super) beyond_share: u64,
}

impl PoolBacklog {
    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            not_overdue: self.not_overdue + other.not_overdue,
            overdue: self.overdue + other.overdue,
            beyond_share: self.beyond_share + other.beyond_share,
        }
    }

    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            not_overdue: self.not_overdue - other.not_overdue,
            overdue: self.overdue - other.overdue,
            beyond_share: self.beyond_share - other.beyond_share,
        }
    }

    /// Returns the number of tasks within the share of their workspace.
    pub(super) fn within_share(&self) -> u64 {
        self.not_overdue + self.overdue
    }

    /// Returns the total number of tasks.
    pub(super) fn all(&self) -> u64 {
        self.within_share() + self.beyond_share
    }
}

/// Summary of a job for the index.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct JobSummary {
    pub(super) pool: PoolId,
    pub(super) group: WaitingGroup,
    pub(super) waiting_steps: Vec<WaitingStep>,
    pub(super) rerank_at: Option<BootTime>,
    /// Queue of the job, if the job is open and no task has started.
    pub(super) pending_queue: Option<CompactString>,
    pub(super) demand: CoreDemand,
    pub(super) backlog: PoolBacklog,
    pub(super) unconfirmed_usage: ResourceVector,
    pub(super) anti_affinity_hosts: usize,
    pub(super) has_future_occurrences: bool,
    pub(super) has_gang: bool,
    pub(super) ended_at: Option<BootTime>,
}

impl JobSummary {
    pub(super) fn of_job(job: &WorkJob, policy: &FleetPolicy, now: BootTime) -> Self {
        let mut summary = Self {
            pool: job.pool.clone(),
            ..Self::default()
        };
        summary.group = WaitingGroup::of_job(job);
        // Tasks of a cancelled or failed job may run on until they are stopped on their targets.
        if job.inherited && job.phase != WorkPhase::Completed {
            summary.unconfirmed_usage = unconfirmed_usage(job);
        }
        if !job.is_open() {
            summary.ended_at = (job.unstored_entries == 0).then_some(job.ended);
            return summary;
        }
        summary.pending_queue = (!job.started).then(|| job.queue.clone());
        summary.has_future_occurrences = job.opened < job.plan.occurrences();
        summary.has_gang = job.plan.steps.iter().any(|step| step.gang);
        let with_anti_affinity = job.plan.steps.iter().filter(|step| step.anti_affinity > 0);
        let hosts = with_anti_affinity.map(|step| step.count.div_ceil(step.anti_affinity));
        summary.anti_affinity_hosts = hosts.max().unwrap_or_default() as usize;
        summary.add_steps(job, policy, now);
        summary
    }

    fn add_steps(&mut self, job: &WorkJob, policy: &FleetPolicy, now: BootTime) {
        let queue = policy.queue(&job.queue);
        let needs_advice = queue.is_some_and(|queue| queue.advice.is_some());
        for (&number, occurrence) in &job.occurrences {
            let mut ranked = None;
            let waiting = waiting_demand(job, occurrence);
            let unstarted = waiting.tasks;
            if unstarted > 0 && job.phase != WorkPhase::CancelPending {
                let (rank, until) =
                    *ranked.get_or_insert_with(|| rank(job, occurrence, queue, now));
                self.rerank_at = until.into_iter().chain(self.rerank_at).min();
                match rank.class {
                    _ if job.beyond_share => self.backlog.beyond_share += unstarted,
                    RankClass::Overdue => self.backlog.overdue += unstarted,
                    _ => self.backlog.not_overdue += unstarted,
                }
                let is_overdue = rank.class == RankClass::Overdue;
                self.demand.add_waiting(waiting, is_overdue);
            }
            for (step, state) in occurrence.steps.iter().enumerate() {
                if state.is_done() || !occurrence.is_step_ready(&job.plan, step) {
                    continue;
                }
                let plan = &job.plan.steps[step];
                let remaining = u64::from(plan.count.saturating_sub(state.done));
                let cpu = plan.footprint().cpu * remaining;
                if plan.long_running {
                    self.demand.long_running += cpu;
                } else {
                    self.demand.present += cpu;
                }
                let all_placed = (state.done + state.placed) as usize >= state.tasks.len();
                let may_start = job.phase != WorkPhase::CancelPending && job.is_pool_recorded();
                if all_placed || !may_start {
                    continue;
                }
                let (rank, until) =
                    *ranked.get_or_insert_with(|| rank(job, occurrence, queue, now));
                self.rerank_at = until.into_iter().chain(self.rerank_at).min();
                // Long-running tasks may be placed on a target that is draining or paused, and
                // advice is requested early. So these steps are considered regardless of free
                // resources.
                let needs_resources = !plan.long_running && !needs_advice;
                let (resources, charged) = match needs_resources {
                    true => (plan.footprint(), plan.resources),
                    false => Default::default(),
                };
                self.waiting_steps.push(WaitingStep {
                    rank,
                    step: StepKey {
                        job: job.id.clone(),
                        occurrence: number,
                        step: u32::try_from(step).unwrap_or(u32::MAX),
                    },
                    resources,
                    charged,
                });
            }
        }
    }

    /// Returns true if a task may be able to start because of the changes since `before`.
    pub(super) fn has_new_work(&self, before: &Self) -> bool {
        let is_new = |step: &WaitingStep| !before.waiting_steps.contains(step);
        self.waiting_steps.iter().any(is_new)
            || before.pool != self.pool
            || before.group.inherited_pools != self.group.inherited_pools
    }
}

/// Returns the demand of the unstarted tasks of an occurrence, without long-running ones.
fn waiting_demand(job: &WorkJob, occurrence: &OccurrenceState) -> WaitingDemand {
    let mut demand = WaitingDemand::default();
    for (number, (state, plan)) in occurrence.steps.iter().zip(&job.plan.steps).enumerate() {
        if plan.long_running {
            continue;
        }
        let done_or_placed = u64::from(state.done) + u64::from(state.placed);
        let unstarted = (state.tasks.len() as u64).saturating_sub(done_or_placed);
        demand.tasks += unstarted;
        let cpu = plan.footprint().cpu * unstarted;
        let run_time = u64::try_from(plan.estimate.as_millis()).unwrap_or(u64::MAX);
        let work = cpu.saturating_mul(run_time);
        demand.work = demand.work.saturating_add(work).min(MAX_JOB_WORK);
        if occurrence.is_step_ready(&job.plan, number) {
            demand.ready += cpu;
        }
    }
    demand
}

/// Returns the resources of tasks of a job that are neither done nor known to run, but that a
/// predecessor may have started.
fn unconfirmed_usage(job: &WorkJob) -> ResourceVector {
    let steps = job
        .occurrences
        .values()
        .flat_map(|occurrence| occurrence.steps.iter().zip(&job.plan.steps));
    let resources =
        steps.map(|(state, plan)| plan.resources.times(u64::from(state.waiting_tasks())));
    resources.fold(ResourceVector::default(), ResourceVector::plus)
}
