use model::{
    BootTime,
    work::{ResourceVector, StepPlan},
};

use super::{
    OccurrenceState, StepState, WorkJob, WorkPhase,
    core_demand::{CoreDemand, WaitingDemand},
    job_summary::PoolBacklog,
    objective::{RankClass, rank},
    ranked_steps::WaitingStep,
    step_key::StepKey,
};

/// Upper bound of an occurrence's estimated work. Estimates come from callers, and sums must not
/// overflow.
const MAX_OCCURRENCE_WORK: u64 = 1 << 44;

/// Summary of an occurrence of a job for the index.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct OccurrenceSummary {
    /// Steps with waiting tasks whose earlier steps are done, in ascending order.
    pub(super) waiting_steps: Vec<WaitingStep>,
    pub(super) rerank_at: Option<BootTime>,
    pub(super) demand: CoreDemand,
    pub(super) backlog: PoolBacklog,
    pub(super) unconfirmed_usage: ResourceVector,
    /// Whether it is one of many occurrences, and no task of it is placed or done.
    pub(super) is_unstarted: bool,
}

/// A job with what its summaries depend on.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobView<'a> {
    pub(super) job: &'a WorkJob,
    pub(super) now: BootTime,
}

impl OccurrenceSummary {
    pub(super) fn of_occurrence(
        view: JobView<'_>,
        number: u32,
        occurrence: &OccurrenceState,
    ) -> Self {
        let job = view.job;
        let mut summary = Self::default();
        // Tasks of a cancelled or failed job may run on until they are stopped on their targets.
        if job.inherited && job.phase != WorkPhase::Completed {
            summary.unconfirmed_usage = unconfirmed_usage(job, occurrence);
        }
        if job.is_open() {
            summary.is_unstarted = job.plan.repeat.is_some() && !occurrence.is_started();
            summary.add_demand(job, occurrence);
            summary.add_waiting(view, number, occurrence);
        }
        summary
    }

    /// Returns the waiting steps that `other` does not have, or not with the same rank.
    pub(super) fn steps_missing_in(&self, other: &Self) -> impl Iterator<Item = &WaitingStep> {
        let has = |step: &WaitingStep| {
            let steps = &other.waiting_steps;
            let at = steps.binary_search_by_key(&step.step.step, |other| other.step.step);
            at.is_ok_and(|at| steps.get(at) == Some(step))
        };
        self.waiting_steps.iter().filter(move |step| !has(step))
    }

    /// Adds the demand of the tasks that run or could start now.
    fn add_demand(&mut self, job: &WorkJob, occurrence: &OccurrenceState) {
        for (_, plan, state) in ready_steps(job, occurrence) {
            let remaining = u64::from(plan.count.saturating_sub(state.done));
            let cpu = plan.footprint().cpu * remaining;
            if plan.long_running {
                self.demand.long_running += cpu;
            } else {
                self.demand.present += cpu;
            }
        }
        if job.terms().advice.is_some() {
            let steps = occurrence.steps.iter();
            let unadvised = steps.filter(|state| is_waiting(state) && state.advice.is_none());
            self.demand.unadvised_steps = unadvised.count() as u64;
        }
    }

    /// Adds the unstarted tasks to the backlog and the demand of their class.
    fn add_backlog(&mut self, job: &WorkJob, class: RankClass, waiting: WaitingDemand) {
        let is_overdue = class == RankClass::Overdue;
        let count = match is_overdue {
            _ if job.beyond_share => &mut self.backlog.beyond_share,
            true => &mut self.backlog.overdue,
            false => &mut self.backlog.not_overdue,
        };
        *count = waiting.tasks;
        self.demand.add_waiting(waiting, is_overdue);
    }

    /// Adds the tasks that wait for a start.
    fn add_waiting(&mut self, view: JobView<'_>, number: u32, occurrence: &OccurrenceState) {
        let job = view.job;
        if job.phase == WorkPhase::CancelPending {
            return;
        }
        let waiting = waiting_demand(job, occurrence);
        let mut waiting_steps = ready_steps(job, occurrence)
            .filter(|(_, _, state)| is_waiting(state))
            .peekable();
        if waiting.tasks == 0 && waiting_steps.peek().is_none() {
            return;
        }
        let (rank, until) = rank(job, occurrence, view.now);
        self.rerank_at = until;
        self.add_backlog(job, rank.class, waiting);
        if !job.is_pool_recorded() {
            return;
        }
        let needs_advice = job.terms().advice.is_some();
        for (step, plan, _) in waiting_steps {
            // Long-running tasks may be placed on a target that is draining or paused, and advice is
            // requested early. So these steps are considered regardless of free resources.
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
                    step,
                },
                resources,
                charged,
            });
        }
    }
}

/// Returns the steps of an occurrence that are not done and whose earlier steps are.
fn ready_steps<'a>(
    job: &'a WorkJob,
    occurrence: &'a OccurrenceState,
) -> impl Iterator<Item = (u32, &'a StepPlan, &'a StepState)> {
    let steps = (0..).zip(job.plan.steps.iter().zip(&occurrence.steps));
    let steps = steps.map(|(step, (plan, state))| (step, plan, state));
    steps.filter(|(step, _, state)| {
        !state.is_done() && occurrence.is_step_ready(&job.plan, *step as usize)
    })
}

/// Returns the demand of the unstarted tasks of an occurrence, without long-running ones.
///
/// Tasks that wait for advice, and those of the steps after them, do not wait for cores.
fn waiting_demand(job: &WorkJob, occurrence: &OccurrenceState) -> WaitingDemand {
    let mut demand = WaitingDemand::default();
    let awaits_advice = awaits_advice(job, occurrence);
    for (number, (state, plan)) in occurrence.steps.iter().zip(&job.plan.steps).enumerate() {
        if plan.long_running || (awaits_advice && !has_grants(state)) {
            continue;
        }
        let done_or_placed = u64::from(state.done) + u64::from(state.placed);
        let unstarted = (state.tasks.len() as u64).saturating_sub(done_or_placed);
        demand.tasks += unstarted;
        let cpu = plan.footprint().cpu * unstarted;
        let run_time = u64::try_from(plan.estimate.as_millis()).unwrap_or(u64::MAX);
        let work = cpu.saturating_mul(run_time);
        demand.work = demand.work.saturating_add(work).min(MAX_OCCURRENCE_WORK);
        if occurrence.is_step_ready(&job.plan, number) {
            demand.ready += cpu;
        }
    }
    demand
}

/// Returns true if a step that could start has not been granted any target.
fn awaits_advice(job: &WorkJob, occurrence: &OccurrenceState) -> bool {
    job.terms().advice.is_some()
        && ready_steps(job, occurrence).any(|(_, _, state)| is_waiting(state) && !has_grants(state))
}

/// Returns true if a task of a step is neither done nor placed.
fn is_waiting(state: &StepState) -> bool {
    (state.done + state.placed) < state.count()
}

fn has_grants(state: &StepState) -> bool {
    let advice = state.advice.as_ref();
    advice.is_some_and(|advice| advice.has_grants())
}

/// Returns the resources of tasks of an occurrence that are neither done nor known to run, but that
/// a predecessor may have started.
fn unconfirmed_usage(job: &WorkJob, occurrence: &OccurrenceState) -> ResourceVector {
    let steps = occurrence.steps.iter().zip(&job.plan.steps);
    let resources =
        steps.map(|(state, plan)| plan.resources.times(u64::from(state.waiting_tasks())));
    resources.fold(ResourceVector::default(), ResourceVector::plus)
}
