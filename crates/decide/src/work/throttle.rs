use model::{
    HostId,
    work::{StepPlan, ThrottleOrder},
};

use super::{SchedulerAction, WorkScheduler, target_state::RunKey};

/// Part of the tail's target, in percent, above which tasks that fill are stopped from
/// working. The tail is a rough figure of the last half second, so there has to be a margin.
const SUSPEND_TAIL_PERCENT: u64 = 85;
/// Part of the target, in percent, below which they may work more.
const RELAX_TAIL_PERCENT: u64 = 60;
/// Share of time, in percent, by which they may work more after each look.
const RELAX_STEP_PERCENT: u8 = 20;

impl WorkScheduler {
    /// Sets the share of time of the tasks that fill on a target by the response times of the
    /// tasks that serve there.
    ///
    /// Tasks that fill disturb those that serve by amounts that change within seconds. They
    /// give way at once when a tail comes near its target, and return in steps.
    pub(super) fn set_throttles(&mut self, id: &HostId) {
        let Some(worst) = self.worst_tail_percent(id) else {
            self.throttles.remove(id);
            return;
        };
        let old = self.throttles.get(id).copied().unwrap_or(100);
        let new = match worst {
            SUSPEND_TAIL_PERCENT.. => 0,
            RELAX_TAIL_PERCENT..SUSPEND_TAIL_PERCENT => old,
            _ => (old + RELAX_STEP_PERCENT).min(100),
        };
        self.throttles.insert(id.clone(), new);
        if new == old {
            return;
        }
        for run in self.best_effort_runs(id) {
            self.send_throttle(id, run, new);
        }
    }

    /// Sets the share of a task that fills right after its start, since it starts at full.
    pub(super) fn throttle_new(&mut self, id: &HostId, run: &RunKey) {
        let fills = self.step_plan(&run.0).is_some_and(|step| step.best_effort);
        let Some(percent) = self
            .throttles
            .get(id)
            .copied()
            .filter(|&percent| fills && percent < 100)
        else {
            return;
        };
        self.send_throttle(id, run.clone(), percent);
    }

    fn send_throttle(&mut self, id: &HostId, run: RunKey, percent: u8) {
        let order = ThrottleOrder {
            task: run.0,
            attempt: run.1,
            percent,
            token: self.token,
        };
        self.actions
            .push(SchedulerAction::Throttle(id.clone(), order));
    }

    fn best_effort_runs(&self, id: &HostId) -> Vec<RunKey> {
        let Some(target) = self.targets.get(id) else {
            return Vec::new();
        };
        let fills = |run: &&RunKey| self.step_plan(&run.0).is_some_and(|step| step.best_effort);
        target.claims.keys().filter(fills).cloned().collect()
    }

    /// The worst tail on a target, in percent of its target; `None` if nothing fills beside
    /// a task that serves.
    fn worst_tail_percent(&self, id: &HostId) -> Option<u64> {
        if self.best_effort_runs(id).is_empty() {
            return None;
        }
        let target = self.targets.get(id)?;
        let tails = target.claims.keys().filter_map(|run| {
            let job = self.job_table.jobs.get(&run.0.job)?;
            let step = job.plan.steps.get(run.0.step as usize)?;
            let task = job.task(run.0.occurrence, run.0.step, run.0.index)?;
            let place = task.placement.as_ref().filter(|_| step.serves_requests())?;
            Some(tail_percent(place.load, step))
        });
        tails.max()
    }
}

fn tail_percent(tail_ms: u64, step: &StepPlan) -> u64 {
    let target = u64::try_from(step.tail_latency_target.as_millis()).unwrap_or(u64::MAX);
    tail_ms.saturating_mul(100) / target.max(1)
}
