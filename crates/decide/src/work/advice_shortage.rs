use model::{BootTime, PoolId, work::StepPlan};

use super::{StepState, WorkScheduler, pick::suits, step_key::StepKey};

/// Upper limit of the steps of a pool that one pass examines.
const MAX_EXAMINED_STEPS: usize = 32;
/// Upper limit of the hosts that are added at a time for steps that were denied all targets.
const MAX_ADDED_HOSTS: usize = 8;

impl WorkScheduler {
    /// Returns the number of hosts that a pool needs for steps that have been denied all its
    /// targets, or so many that the others can't run all long-running tasks; zero if there are none.
    ///
    /// Such a step can only start on a target about which the service has not been asked, so more
    /// free cores on the present ones do not help.
    pub(super) fn hosts_for_denied_steps(&self, pool: &PoolId, now: BootTime) -> usize {
        let steps = self.advice_queue.waiting_steps();
        let of_pool = steps.filter(|step| {
            let job = self.job_table.jobs.get(&step.job);
            job.is_some_and(|job| job.pool == *pool)
        });
        let added = of_pool
            .take(MAX_EXAMINED_STEPS)
            .filter_map(|step| self.hosts_to_add(pool, step, now));
        let Some(added) = added.max() else {
            return 0;
        };
        self.index.targets.of_pool(pool).count() + added
    }

    /// Returns how many more hosts a step needs; `None` if it may start on targets that are there.
    fn hosts_to_add(&self, pool: &PoolId, step: &StepKey, now: BootTime) -> Option<usize> {
        let job = self.job_table.jobs.get(&step.job)?;
        let plan = job.plan.steps.get(step.step as usize)?;
        let state = self.step_state(step)?;
        let advice = state.advice.as_ref()?;
        let may_start_later = !plan.long_running && (state.placed > 0 || advice.has_grants());
        if may_start_later || state.waiting_tasks() == 0 {
            return None;
        }
        let targets = self.index.targets.of_pool(pool);
        let mut suitable = targets
            .filter_map(|id| self.targets.get(id))
            .filter(|target| target.accepts_tasks(now) && suits(plan, state, target));
        if suitable.any(|target| !advice.was_denied(target)) {
            return None;
        }
        let granted = self.grant_rates.expected_of_all(&job.queue);
        let hosts = hosts_needed(plan, state) / granted.max(f64::EPSILON);
        Some(ceiled(hosts).clamp(1, MAX_ADDED_HOSTS))
    }
}

/// Number of hosts on which the waiting tasks of a step could run, as far as anti-affinity goes.
fn hosts_needed(plan: &StepPlan, state: &StepState) -> f64 {
    match plan.anti_affinity {
        0 => 1.0,
        limit => f64::from(state.waiting_tasks().div_ceil(limit)),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number of hosts"
)]
fn ceiled(hosts: f64) -> usize {
    hosts.ceil() as usize
}
