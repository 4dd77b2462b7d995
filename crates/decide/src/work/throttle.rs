use model::{
    HostId,
    work::{StepPlan, ThrottleOrder},
};

use super::{SchedulerAction, WorkScheduler, target_state::RunKey};

/// Tail latency in percent of its target at which best-effort tasks are suspended. The tail latency
/// is a rough estimate over the last half second, so a margin is needed.
const HIGH_TAIL: u64 = 85;
/// Tail latency in percent of its target below which best-effort tasks may run more.
const LOW_TAIL: u64 = 60;
/// Increase of the share of time, in percent, after each poll.
const RAISE: u8 = 20;

impl WorkScheduler {
    /// Sets the share of time of the best-effort tasks on a target by the tail latencies of its
    /// serving tasks.
    ///
    /// Best-effort tasks slow serving tasks down to an extent that changes within seconds. They are
    /// suspended as soon as a tail latency comes near its target, and resumed in steps.
    pub(super) fn set_throttles(&mut self, id: &HostId) {
        let Some(worst) = self.worst_tail(id) else {
            self.throttles.remove(id);
            return;
        };
        let old = self.throttles.get(id).copied().unwrap_or(100);
        let new = match worst {
            HIGH_TAIL.. => 0,
            LOW_TAIL..HIGH_TAIL => old,
            _ => (old + RAISE).min(100),
        };
        self.throttles.insert(id.clone(), new);
        if new == old {
            return;
        }
        for run in self.best_effort_runs(id) {
            self.send_throttle(id, run, new);
        }
    }

    /// Sets the share of time of a best-effort task right after its start, since it starts with the
    /// full share.
    pub(super) fn throttle_new(&mut self, id: &HostId, run: &RunKey) {
        let is_best_effort = self.step_plan(&run.0).is_some_and(|step| step.best_effort);
        let Some(percent) = self
            .throttles
            .get(id)
            .copied()
            .filter(|&percent| is_best_effort && percent < 100)
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
        let is_best_effort =
            |run: &&RunKey| self.step_plan(&run.0).is_some_and(|step| step.best_effort);
        target
            .claims
            .keys()
            .filter(is_best_effort)
            .cloned()
            .collect()
    }

    /// Returns the worst tail latency on a target, in percent of its target; `None` if no
    /// best-effort task runs beside a serving task.
    fn worst_tail(&self, id: &HostId) -> Option<u64> {
        if self.best_effort_runs(id).is_empty() {
            return None;
        }
        let target = self.targets.get(id)?;
        let tails = target.claims.keys().filter_map(|run| {
            let job = self.job_table.jobs.get(&run.0.job)?;
            let step = job.plan.steps.get(run.0.step as usize)?;
            let task = job.task(run.0.occurrence, run.0.step, run.0.index)?;
            let placement = task.placement.as_ref().filter(|_| step.serves_requests())?;
            Some(tail_percent(placement.load, step))
        });
        tails.max()
    }
}

fn tail_percent(tail_ms: u64, step: &StepPlan) -> u64 {
    let target = u64::try_from(step.tail_latency_target.as_millis()).unwrap_or(u64::MAX);
    tail_ms.saturating_mul(100) / target.max(1)
}
