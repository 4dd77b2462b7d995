use model::{
    HostId,
    work::{EndKind, EndReport, TaskKey},
};
use wire::work::{TaskEnd, log_entry::Event};

use super::{
    EndOrigin, PastRun, PlacementPhase, SchedulerAction, SchedulerEvent, SchedulerTime,
    TaskPlacement, WorkJob, WorkPhase, WorkScheduler, pick::FAILED_TARGET_WAIT,
    target_state::RunKey,
};

impl WorkScheduler {
    /// Handles an end that a target reports for the first time.
    pub(super) fn handle_task_end(&mut self, id: &HostId, end: &EndReport, now: SchedulerTime) {
        let run: RunKey = (end.task.clone(), end.attempt);
        self.release_claim(id, &run);
        let job = &end.task.job;
        // An occurrence that a predecessor found due is due, as for a reported run.
        self.job_table
            .open_occurrences_until(job, end.task.occurrence, now.boot);
        self.job_table.mark_started(job);
        let name = match end.kind {
            EndKind::Done => "done",
            EndKind::Failed => "failed",
            EndKind::Stopped => "stopped",
            EndKind::LeaseExpired => "lapsed",
            EndKind::GangBroken => "broken",
            EndKind::GangIncomplete => "alone",
        };
        let over = match end.kind {
            EndKind::Done => None,
            EndKind::LeaseExpired => Some("expired"),
            _ => Some(name),
        };
        self.clear_placement(id, &run, over);
        self.emit(SchedulerEvent::Ended(
            end.task.clone(),
            end.attempt,
            id.clone(),
            name,
        ));
        self.save_checkpoint(end);
        let Some(incarnation) = self.targets.get(id).map(|target| target.incarnation.number) else {
            return;
        };
        let origin = EndOrigin {
            target: id.clone(),
            incarnation,
            number: end.number,
        };
        match end.kind {
            EndKind::Done => self.handle_task_done(end, origin, now),
            EndKind::Failed => self.handle_task_failed(end, origin, now),
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangBroken
            | EndKind::GangIncomplete => {}
        }
    }

    /// Marks an end as stored in the job log, so that the target may forget it.
    pub(super) fn mark_end_stored(&mut self, origin: &EndOrigin) {
        if let Some(target) = self.targets.get_mut_untracked(&origin.target)
            && target.incarnation.number == origin.incarnation
        {
            target.incarnation.unstored_ends.remove(&origin.number);
        }
    }

    /// Stops all runs of a job that has ended.
    pub(super) fn stop_job_runs(&mut self, job: &str, now: SchedulerTime) {
        for (id, run) in self.runs_of_job(job, None) {
            self.stop_run(&id, &run, now);
        }
    }

    /// Orders the stop of a run, including one that may not have reached its target yet.
    pub(super) fn stop_run(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        self.set_run_phase(id, run, PlacementPhase::Stopping(false), now);
        let order = model::work::StopOrder {
            task: run.0.clone(),
            attempt: run.1,
            token: self.token,
        };
        self.pending_stops
            .insert((id.clone(), run.clone()), now.boot);
        self.actions.push(SchedulerAction::Stop(id.clone(), order));
    }

    /// Sets the phase of a run, if its task is placed there.
    pub(super) fn set_run_phase(
        &mut self,
        id: &HostId,
        run: &RunKey,
        phase: PlacementPhase,
        now: SchedulerTime,
    ) {
        if let Some(place) = self.placement_mut(id, run) {
            place.phase = phase;
            place.since = now.boot;
        }
    }

    /// Placement of a run's task, if the task is placed there with this attempt.
    pub(super) fn placement_mut(
        &mut self,
        id: &HostId,
        run: &RunKey,
    ) -> Option<&mut TaskPlacement> {
        let (key, attempt) = run;
        let task = self.job_table.task_mut_unindexed(key)?;
        let place = task.placement.as_mut()?;
        (place.target == *id && place.attempt == *attempt).then_some(place)
    }

    /// Removes the placement of a run's task, if it was placed there. The task waits again unless
    /// it is done. `over` says why the run counts as over; `None` if it is done or was never ordered.
    pub(super) fn clear_placement(
        &mut self,
        id: &HostId,
        run: &RunKey,
        over: Option<&'static str>,
    ) {
        let (key, attempt) = run;
        self.pending_stops.remove(&(id.clone(), run.clone()));
        if self.job_table.placement_of(id, run).is_none() {
            return;
        }
        let step = self.job_table.step_mut(key);
        let task = step.and_then(|step| step.clear_placement(key.index));
        if let (Some(task), Some(cause)) = (task, over) {
            task.past_run = Some(Box::new(PastRun {
                attempt: *attempt,
                target: id.clone(),
                cause,
            }));
        }
    }

    fn handle_task_done(&mut self, end: &EndReport, origin: EndOrigin, now: SchedulerTime) {
        let is_open = self
            .job_table
            .jobs
            .get(&end.task.job)
            .is_some_and(WorkJob::is_open);
        if !is_open {
            // The job may have been completed by this same end, with a log entry that is not stored
            // yet.
            self.record_duplicate_end(end, true, origin);
            return;
        }
        let key = &end.task;
        let job = self.job_table.jobs.get(&key.job);
        let task = job.and_then(|job| job.task(key.occurrence, key.step, key.index));
        if task.is_none_or(|task| task.done) {
            self.record_duplicate_end(end, true, origin);
            return;
        }
        let unconfirmed = self.unconfirmed_gang_members(&end.task);
        self.job_table.mark_done(&end.task, now.boot);
        if let Some(target) = self.targets.get_mut_untracked(&origin.target) {
            target.consecutive_failures = 0;
        }
        self.record_end(end, true, origin);
        self.stop_duplicate_runs(&end.task, now);
        for (id, run) in unconfirmed {
            self.stop_run(&id, &run, now);
        }
        let job = &end.task.job;
        let completed = |job: &WorkJob| job.phase == WorkPhase::Completed;
        if self.job_table.jobs.get(job).is_some_and(completed) {
            self.emit(SchedulerEvent::JobEnded(job.clone(), "completed"));
        }
    }

    fn handle_task_failed(&mut self, end: &EndReport, origin: EndOrigin, now: SchedulerTime) {
        let tuning = self.tuning;
        let Some(job) = self.job_table.jobs.get_mut(&end.task.job) else {
            return;
        };
        if !job.is_open() {
            self.record_duplicate_end(end, false, origin);
            return;
        }
        let step = job.plan.steps.get(end.task.step as usize);
        let long_running = step.is_some_and(|step| step.long_running);
        let counted_index = if step.is_some_and(|step| step.gang) {
            0
        } else {
            end.task.index
        };
        let key = &end.task;
        if let Some(own) = job.task_mut(key.occurrence, key.step, key.index) {
            own.failed_at = now.boot;
            if !own.failed_on.contains(&origin.target) {
                own.failed_on.push(origin.target.clone());
            }
        }
        self.failure_wait_deadlines
            .push_back(now.boot + FAILED_TARGET_WAIT);
        let counted = job.task(key.occurrence, key.step, counted_index);
        let Some(is_done) = counted.map(|task| task.done) else {
            return;
        };
        let step = job.step_mut(key.occurrence, key.step);
        let step = step.filter(|_| !is_done);
        let failures = step.and_then(|step| step.record_failure(counted_index, end.attempt));
        let Some(failures) = failures else {
            self.record_duplicate_end(end, false, origin);
            return;
        };
        let target = origin.target.clone();
        if long_running {
            // A long-running task may fail at any time by itself and is only restarted.
            return;
        }
        let max_attempts = job.terms().max_attempts;
        if let Some(target) = self.targets.get_mut(&target) {
            target.count_failure(&tuning, now.boot);
        }
        self.record_end(end, false, origin);
        if failures >= max_attempts as usize {
            self.fail_job(&end.task.job.clone(), now);
        }
    }

    pub(super) fn fail_job(&mut self, job: &model::JobId, now: SchedulerTime) {
        self.job_table.end_job(job, WorkPhase::Failed, now.boot);
        self.emit(SchedulerEvent::JobEnded(job.clone(), "failed"));
        self.append_log_entry(Event::Failed(job.to_string()), None, Some(job));
        self.stop_job_runs(job, now);
    }

    /// Records an end that is already known, unless everything known of its job is stored.
    ///
    /// A different end may have been recorded for the same result: that of another gang member, or
    /// the same end of a target that was given up and came back. While that entry is not stored,
    /// letting the target forget this end would leave a successor with neither, and it would run
    /// the task again.
    fn record_duplicate_end(&mut self, end: &EndReport, done: bool, origin: EndOrigin) {
        let job = self.job_table.jobs.get(&end.task.job);
        if job.is_some_and(|job| job.unstored_entries > 0) {
            self.record_end(end, done, origin);
        }
    }

    fn record_end(&mut self, end: &EndReport, done: bool, origin: EndOrigin) {
        if let Some(target) = self.targets.get_mut_untracked(&origin.target) {
            target.incarnation.unstored_ends.insert(origin.number);
        }
        let job = end.task.job.clone();
        let ended = TaskEnd {
            job: job.to_string(),
            occurrence: end.task.occurrence,
            step: end.task.step,
            index: end.task.index,
            done,
            checkpoint: end.checkpoint.to_string(),
            attempt: end.attempt,
        };
        self.append_log_entry(Event::Ended(ended), Some(origin), Some(&job));
    }

    /// Members of a task's gang that are not confirmed to run. The tasks of a gang are dropped once
    /// it is done; a start still in flight would then run beside other work in capacity that was
    /// already released, so it is fenced by a stop.
    fn unconfirmed_gang_members(&self, key: &TaskKey) -> Vec<(HostId, RunKey)> {
        if !self.step_plan(key).is_some_and(|step| step.gang) {
            return Vec::new();
        }
        let step = self.step_state_at(&key.job, key.occurrence, key.step);
        let tasks = step.into_iter().flat_map(|step| (0..).zip(&step.tasks));
        let placed = tasks.filter_map(|(index, task)| Some((index, task.placement.as_ref()?)));
        let unconfirmed = placed.filter(|(_, place)| place.phase != PlacementPhase::Running);
        unconfirmed
            .map(|(index, place)| {
                let member = TaskKey {
                    index,
                    ..key.clone()
                };
                (place.target.clone(), (member, place.attempt))
            })
            .collect()
    }

    /// Stops other runs of a task that is done. Members of a gang end together and need no stop.
    fn stop_duplicate_runs(&mut self, key: &TaskKey, now: SchedulerTime) {
        let gang = |job: &WorkJob| {
            let step = job.plan.steps.get(key.step as usize);
            step.is_some_and(|step| step.gang)
        };
        if self.job_table.jobs.get(&key.job).is_some_and(gang) {
            return;
        }
        for (id, run) in self.runs_of_job(&key.job, Some(key)) {
            self.stop_run(&id, &run, now);
        }
    }

    fn save_checkpoint(&mut self, end: &EndReport) {
        if end.checkpoint.is_empty() {
            return;
        }
        self.set_checkpoint(&end.task, &end.checkpoint);
    }

    /// Stores the newest checkpoint of a task. A checkpoint of a gang counts for all its members.
    pub(super) fn set_checkpoint(
        &mut self,
        key: &TaskKey,
        checkpoint: &compact_str::CompactString,
    ) {
        let gang = self.step_plan(key).is_some_and(|step| step.gang);
        if !gang {
            if let Some(task) = self.job_table.task_mut_unindexed(key) {
                task.checkpoint = checkpoint.clone();
            }
            return;
        }
        if let Some(step) = self.job_table.step_mut_unindexed(key) {
            step.gang_checkpoint = checkpoint.clone();
        }
    }
}
