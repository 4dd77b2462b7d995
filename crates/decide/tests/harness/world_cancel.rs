use std::time::Duration;

use decide::work::WorkJob;
use model::{BootTime, HostId, work::TaskKey};

use super::world::{SimOwner, Simulation};

/// Longest time after an acknowledged cancellation in which tasks of the job may still start.
const MAX_START_AFTER_CANCEL: Duration = Duration::from_millis(3000);
/// Longest time that a target takes to stop a run.
const MAX_STOP: Duration = Duration::from_millis(200);
/// Time without faults after which all bounds hold.
const SETTLE: Duration = Duration::from_millis(4000);

impl Simulation {
    /// Checks that an owner sends no start for a job whose cancellation was acknowledged, or that
    /// it knows is cancelled.
    pub(super) fn check_start_sent(&mut self, owner: &SimOwner, key: &TaskKey) {
        let job = key.job.as_str();
        let at = self.cancelled.get(job).copied();
        if let Some(at) = at.filter(|at| self.now.boot > *at + MAX_START_AFTER_CANCEL) {
            let delay = self.now.boot.saturating_sub(at);
            self.violation(&format!("{key} starts {delay:?} after its cancellation"));
        }
        let known = owner.scheduler.job_table.jobs.get(job);
        if known.is_some_and(WorkJob::is_cancelled) {
            let token = owner.token;
            self.violation(&format!(
                "{key} is started by owner {token}, which knows its cancellation"
            ));
        }
    }

    /// Checks that a new owner knows each cancellation in the log.
    pub(super) fn check_elected(&mut self) {
        let Some(owner) = self.owners.last() else {
            return;
        };
        let open = self.cancels_stored.keys().filter(|job| {
            let job = owner.scheduler.job_table.jobs.get(job.as_str());
            job.is_some_and(WorkJob::is_open)
        });
        let open: Vec<String> = open.cloned().collect();
        for job in open {
            let token = self.current_token;
            self.violation(&format!(
                "{job} was cancelled and is open for owner {token}"
            ));
        }
    }

    /// Checks that no run outlives the acknowledged cancellation of its job.
    pub(super) fn check_cancelled(&mut self) {
        let now = self.now.boot;
        let mut violations: Vec<(HostId, TaskKey)> = Vec::new();
        for (name, state) in self.targets.iter().filter(|(_, state)| state.up) {
            if state.partitioned {
                continue;
            }
            let last_fault = [
                self.last_core_disturbance,
                state.disturbed_until,
                state.back_at,
            ]
            .into_iter()
            .filter(|at| *at < BootTime::MAX)
            .max();
            for (task, _) in state.runs.keys() {
                let Some(at) = self.cancelled.get(task.job.as_str()) else {
                    continue;
                };
                let started = state.task_starts.get(task).copied().unwrap_or_default();
                let due = (*at + MAX_START_AFTER_CANCEL)
                    .max(started + SETTLE)
                    .max(last_fault.unwrap_or_default() + SETTLE);
                if now > due + MAX_STOP {
                    violations.push((name.clone(), task.clone()));
                }
            }
        }
        for (name, task) in violations {
            self.violation(&format!("{task} runs on {name} though it is cancelled"));
            self.cancelled.remove(task.job.as_str());
        }
    }
}
