use std::time::Duration;

use decide::work::WorkJob;
use model::{BootTime, HostId, work::TaskKey};

use super::simulation::{SimOwner, Simulation};

/// Longest time after the answer to a cancellation in which its tasks still start.
const MAX_START_AFTER_CANCEL: Duration = Duration::from_millis(3000);
/// Longest time that a target takes for a stop.
const MAX_STOP: Duration = Duration::from_millis(200);
/// Time without a disturbance after which all bounds hold.
const SETTLE: Duration = Duration::from_millis(4000);

impl Simulation {
    /// Holds a start that an owner sends against the cancellations that callers were told of, and
    /// against what the owner knows.
    pub(super) fn check_start_sent(&mut self, owner: &SimOwner, key: &TaskKey) {
        let job = key.job.as_str();
        let at = self.cancelled.get(job).copied();
        if let Some(at) = at.filter(|at| self.now.boot > *at + MAX_START_AFTER_CANCEL) {
            let late = self.now.boot.saturating_sub(at);
            self.violation(&format!("{key} is started {late:?} after its cancellation"));
        }
        let known = owner.scheduler.job_table.jobs.get(job);
        if known.is_some_and(WorkJob::is_cancelled) {
            let token = owner.token;
            self.violation(&format!(
                "{key} is started by {token}, which knows it cancelled"
            ));
        }
    }

    /// A new owner knows of each cancellation that is in the log.
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
                "{job} was cancelled and is open again for {token}"
            ));
        }
    }

    /// Holds what runs against the cancellations that callers were told of.
    pub(super) fn check_cancelled(&mut self) {
        let now = self.now.boot;
        let mut left: Vec<(HostId, TaskKey)> = Vec::new();
        for (name, state) in self.targets.iter().filter(|(_, state)| state.up) {
            if state.partitioned {
                continue;
            }
            let calm = [
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
                    .max(calm.unwrap_or_default() + SETTLE);
                if now > due + MAX_STOP {
                    left.push((name.clone(), task.clone()));
                }
            }
        }
        for (name, task) in left {
            self.violation(&format!("{task} runs on {name} though it is cancelled"));
            self.cancelled.remove(task.job.as_str());
        }
    }
}
