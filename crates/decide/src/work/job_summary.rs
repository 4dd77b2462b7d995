use compact_str::CompactString;
use model::{
    BootTime, PoolId, WorkspaceId,
    work::{FleetPolicy, ResourceVector},
};

use super::{
    OccurrenceState, StepState, WorkJob, WorkPhase,
    objective::{RankClass, rank},
    ranked_steps::WaitingStep,
    step_key::StepKey,
};

/// Steps that are started or passed over together.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingGroup {
    /// Whose limit counts.
    pub(super) workspace: WorkspaceId,
    /// Whether a predecessor may have started tasks of them.
    pub(super) inherited: bool,
}

/// What open jobs of a pool need, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CoreDemand {
    /// For what runs or could start now.
    pub(super) present: u64,
    /// For tasks that last.
    pub(super) long_running: u64,
}

/// Tasks of open jobs of a pool that have not been started, also those of steps that wait for others.
/// Tasks that last are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PoolBacklog {
    /// Those within the share of their workspace that can still be in time, or late and count.
    pub(super) not_overdue: u64,
    /// Those within the share that are too late to count.
    pub(super) overdue: u64,
    /// Those beyond the share.
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

    /// Those within the share of their workspace.
    pub(super) fn within_share(&self) -> u64 {
        self.not_overdue + self.overdue
    }

    /// All of them.
    pub(super) fn all(&self) -> u64 {
        self.within_share() + self.beyond_share
    }
}

/// What the index knows of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct JobSummary {
    pub(super) pool: PoolId,
    pub(super) group: WaitingGroup,
    pub(super) waiting_steps: Vec<WaitingStep>,
    pub(super) rerank_at: Option<BootTime>,
    /// Its queue, if it is open and has not begun.
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
    pub(super) fn of_job(job: &WorkJob, terms: &FleetPolicy, now: BootTime) -> Self {
        let mut facts = Self {
            pool: job.pool.clone(),
            ..Self::default()
        };
        facts.group = WaitingGroup {
            workspace: job.workspace.clone(),
            inherited: job.inherited,
        };
        // Tasks of a job that was cancelled or failed run on until they can be stopped there.
        if job.inherited && job.phase != WorkPhase::Completed {
            facts.unconfirmed_usage = unconfirmed_usage(job);
        }
        if !job.is_open() {
            facts.ended_at = (job.unstored_entries == 0).then_some(job.ended);
            return facts;
        }
        facts.pending_queue = (!job.started).then(|| job.queue.clone());
        facts.has_future_occurrences = job.opened < job.plan.occurrences();
        facts.has_gang = job.plan.steps.iter().any(|step| step.gang);
        let apart = job.plan.steps.iter().filter(|step| step.anti_affinity > 0);
        let hosts = apart.map(|step| step.count.div_ceil(step.anti_affinity));
        facts.anti_affinity_hosts = hosts.max().unwrap_or_default() as usize;
        facts.add_steps(job, terms, now);
        facts
    }

    fn add_steps(&mut self, job: &WorkJob, terms: &FleetPolicy, now: BootTime) {
        let queue = terms.queue(&job.queue);
        let advised = queue.is_some_and(|queue| queue.advice.is_some());
        for (&number, occurrence) in &job.occurrences {
            let mut ranked = None;
            let unstarted = unstarted(job, occurrence);
            if unstarted > 0 && job.phase != WorkPhase::CancelPending {
                let (rank, until) =
                    *ranked.get_or_insert_with(|| rank(job, occurrence, queue, now));
                self.rerank_at = until.into_iter().chain(self.rerank_at).min();
                match rank.class {
                    _ if job.beyond_share => self.backlog.beyond_share += unstarted,
                    RankClass::Overdue => self.backlog.overdue += unstarted,
                    _ => self.backlog.not_overdue += unstarted,
                }
            }
            for (step, state) in occurrence.steps.iter().enumerate() {
                if state.is_done() || !occurrence.is_step_ready(&job.plan, step) {
                    continue;
                }
                let plan = &job.plan.steps[step];
                let left = u64::from(plan.count.saturating_sub(state.done));
                let cpu = plan.footprint().cpu * left;
                if plan.long_running {
                    self.demand.long_running += cpu;
                } else {
                    self.demand.present += cpu;
                }
                let busy = (state.done + state.placed) as usize >= state.tasks.len();
                if busy || job.phase == WorkPhase::CancelPending {
                    continue;
                }
                let (rank, until) =
                    *ranked.get_or_insert_with(|| rank(job, occurrence, queue, now));
                self.rerank_at = until.into_iter().chain(self.rerank_at).min();
                // Tasks that last may take a target that is being emptied or pauses, and advice is
                // asked for early: they are looked at whatever room there is.
                let needs_room = !plan.long_running && !advised;
                let (resources, charged) = match needs_room {
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

    /// True if something may be started by what has changed since `before`.
    pub(super) fn has_new_work(&self, before: &Self) -> bool {
        let new = |step: &WaitingStep| !before.waiting_steps.contains(step);
        self.waiting_steps.iter().any(new)
            || before.pool != self.pool
            || before.group.inherited != self.group.inherited
    }
}

/// Tasks of an occurrence that have not been started, but for those that last.
fn unstarted(job: &WorkJob, occurrence: &OccurrenceState) -> u64 {
    let steps = occurrence.steps.iter().zip(&job.plan.steps);
    let steps = steps.filter(|(_, plan)| !plan.long_running);
    let left = |state: &StepState| {
        let taken = u64::from(state.done) + u64::from(state.placed);
        (state.tasks.len() as u64).saturating_sub(taken)
    };
    steps.map(|(state, _)| left(state)).sum()
}

/// What tasks of a job that are neither done nor known to run would take.
fn unconfirmed_usage(job: &WorkJob) -> ResourceVector {
    let steps = job
        .occurrences
        .values()
        .flat_map(|occurrence| occurrence.steps.iter().zip(&job.plan.steps));
    let rooms = steps.map(|(state, plan)| plan.resources.times(u64::from(state.waiting_tasks())));
    rooms.fold(ResourceVector::default(), ResourceVector::plus)
}
