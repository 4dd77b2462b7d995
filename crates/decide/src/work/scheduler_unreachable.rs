use std::cmp::Reverse;

use model::{
    BootTime, HostId,
    work::{AttemptNumber, TaskKey},
};
use wire::work::{MissedRun, TargetMiss, log_entry::Event};

use super::{
    PlacementPhase, SchedulerEvent, SchedulerTime, TaskPlacement, WorkScheduler,
    target_state::RunKey,
};

/// Records of unreachable targets in the job log.
///
/// They cover a rack that loses its network while the owner changes. Starts are not recorded, so
/// for the successor any waiting task could be the one that runs there, and the pools of the rack
/// would be blocked until its targets are given up. `docs/design/14-ends-of-targets.md` explains
/// why the records can be relied on.
impl WorkScheduler {
    /// Records what may run on a target that did not respond. Nothing is started there until it
    /// responds and is recorded as used again.
    pub(super) fn record_unreachable(&mut self, id: &HostId, now: SchedulerTime) {
        // Without the store the target would stay blocked for the length of the outage, and on a
        // saturated link each record would add to the load.
        if self.ownership_uncertain || self.suspects_link(now) {
            return;
        }
        let Some(target) = self.targets.get(id) else {
            return;
        };
        if !target.recorded || target.unreachable_recorded || !target.is_state_known() {
            return;
        }
        let runs = target.claims.keys().map(|run| MissedRun {
            job: run.0.job.to_string(),
            occurrence: run.0.occurrence,
            step: run.0.step,
            index: run.0.index,
            attempt: run.1,
            seen: self.is_observed_running(id, run),
        });
        let record = TargetMiss {
            target: id.to_string(),
            runs: runs.collect(),
        };
        if let Some(target) = self.targets.get_mut(id) {
            target.recorded = false;
            target.unreachable_recorded = true;
        }
        self.emit(SchedulerEvent::TargetUnreachable(
            id.clone(),
            record.runs.len(),
        ));
        self.append_log_entry(Event::Missed(record), None, None);
    }

    /// Records a target as used again once it responds.
    pub(super) fn record_reachable(&mut self, id: &HostId) {
        if self
            .targets
            .get(id)
            .is_some_and(|target| target.unreachable_recorded)
            && let Some(target) = self.targets.get_mut(id)
        {
            target.unreachable_recorded = false;
            self.record_target_use(id);
        }
    }

    /// Adopts a predecessor's records of unreachable targets.
    pub(super) fn adopt_unreachable(&mut self, now: SchedulerTime) {
        let records: Vec<TargetMiss> = self.job_table.unreachable.values().cloned().collect();
        let mut runs: Vec<(HostId, RunKey, bool)> = Vec::new();
        for record in records {
            let id = HostId::from(record.target.as_str());
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            target.unreachable_recorded = true;
            target.recorded = false;
            for run in &record.runs {
                let key = TaskKey {
                    job: run.job.as_str().into(),
                    occurrence: run.occurrence,
                    step: run.step,
                    index: run.index,
                };
                runs.push((id.clone(), (key, run.attempt), run.seen));
            }
        }
        // Of several runs of a task, the latest is the one that the predecessor had not given up.
        runs.sort_by_key(|(_, (_, attempt), _)| Reverse(*attempt));
        for (id, run, confirmed) in runs {
            self.adopt_unreachable_run(&id, run, confirmed, now.boot);
        }
    }

    fn adopt_unreachable_run(&mut self, id: &HostId, run: RunKey, confirmed: bool, now: BootTime) {
        self.claim(id, run.clone());
        let (key, attempt): (TaskKey, AttemptNumber) = run;
        self.job_table.mark_started(&key.job);
        self.job_table
            .open_occurrences_until(&key.job, key.occurrence, now);
        let open = self.job_table.open.contains(&key.job);
        let Some(step) = self.job_table.step_mut(&key).filter(|_| open) else {
            return;
        };
        let waits = |task: &super::TaskState| !task.done && task.placement.is_none();
        if !step.tasks.get(key.index as usize).is_some_and(waits) {
            return;
        }
        let phase = match confirmed {
            true => PlacementPhase::Running,
            false => PlacementPhase::Unconfirmed,
        };
        step.set_placement(
            key.index,
            TaskPlacement {
                phase,
                confirmed,
                from_record: true,
                ..TaskPlacement::new(id, attempt, now)
            },
        );
    }

    /// Drops a task's placement on a target that a predecessor recorded as unreachable, because a
    /// later run of the task is reported elsewhere: the predecessor had given up the earlier one.
    pub(super) fn drop_stale_unreachable(&mut self, id: &HostId, shown: &RunKey) {
        let (key, attempt) = shown;
        let job = self.job_table.jobs.get(&key.job);
        let task = job.and_then(|job| job.task(key.occurrence, key.step, key.index));
        let Some(place) = task.and_then(|task| task.placement.as_ref()) else {
            return;
        };
        if !place.from_record || place.target == *id || place.attempt >= *attempt {
            return;
        }
        let (older_target, run) = (place.target.clone(), (key.clone(), place.attempt));
        self.clear_placement(&older_target, &run, Some("superseded"));
    }

    fn is_observed_running(&self, id: &HostId, run: &RunKey) -> bool {
        let place = self.job_table.placement_of(id, run);
        place.is_some_and(|place| place.phase == PlacementPhase::Running && place.confirmed)
    }
}
