use std::collections::BTreeSet;

use compact_str::CompactString;
use model::{BootTime, PoolId, WorkspaceId, work::ResourceVector};

use super::{WorkJob, WorkPhase};

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

/// What the summaries of all occurrences of a job depend on, besides their own state.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct JobContext {
    pub(super) pool: PoolId,
    pub(super) group: WaitingGroup,
    phase: WorkPhase,
    started: bool,
    beyond_share: bool,
    is_pool_recorded: bool,
}

/// Summary of a job for the index, without its occurrences.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct JobSummary {
    pub(super) context: JobContext,
    /// Queue of the job, if the job is open and no task has started.
    pub(super) pending_queue: Option<CompactString>,
    pub(super) anti_affinity_hosts: usize,
    pub(super) has_future_occurrences: bool,
    pub(super) has_gang: bool,
    pub(super) ended_at: Option<BootTime>,
    /// Resources of the occurrences that are not open and of which predecessors may have started
    /// tasks.
    pub(super) unopened_usage: ResourceVector,
}

impl JobContext {
    fn of_job(job: &WorkJob) -> Self {
        Self {
            pool: job.pool.clone(),
            group: WaitingGroup::of_job(job),
            phase: job.phase,
            started: job.started,
            beyond_share: job.beyond_share,
            is_pool_recorded: job.is_pool_recorded(),
        }
    }
}

impl JobSummary {
    pub(super) fn of_job(job: &WorkJob) -> Self {
        let summary = Self {
            context: JobContext::of_job(job),
            unopened_usage: unopened_usage(job),
            ..Self::default()
        };
        if !job.is_open() {
            return Self {
                ended_at: (job.unstored_entries == 0).then_some(job.ended),
                ..summary
            };
        }
        let with_anti_affinity = job.plan.steps.iter().filter(|step| step.anti_affinity > 0);
        let hosts = with_anti_affinity.map(|step| step.count.div_ceil(step.anti_affinity));
        Self {
            pending_queue: (!job.started).then(|| job.queue.clone()),
            anti_affinity_hosts: hosts.max().unwrap_or_default() as usize,
            has_future_occurrences: job.opened < job.plan.occurrences(),
            has_gang: job.plan.steps.iter().any(|step| step.gang),
            ..summary
        }
    }
}

/// Returns the resources of the occurrences of a job that are not open and of which predecessors may
/// have started tasks.
fn unopened_usage(job: &WorkJob) -> ResourceVector {
    if !job.inherited || job.phase == WorkPhase::Completed {
        return ResourceVector::default();
    }
    let steps = job.plan.steps.iter();
    let resources = steps.map(|step| step.resources.times(u64::from(step.count)));
    let each = resources.fold(ResourceVector::default(), ResourceVector::plus);
    each.times(u64::from(job.inherited_due.saturating_sub(job.opened)))
}
