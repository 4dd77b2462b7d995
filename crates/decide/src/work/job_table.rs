use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use model::{
    BootTime, HostId, JobId, PoolId,
    work::{ResourceVector, TaskKey},
};
use wire::work::{
    HostOrdered, JobEnd, JobPhase, JobRecord, LogEntry, QueueMove, StepEnds, TargetMiss, TargetUse,
    TaskEnd, WaveProgress, log_entry::Event,
};

use super::{
    JobTerms, StepState, TaskPlacement, TaskState, TrackedMap, WorkJob, WorkPhase,
    job_record::limit_of_record, plan_of_record, target_state::RunKey,
};

/// Maximum age that is given to a job on replay, since the wall clocks of two hosts may differ by a
/// lot.
const MAX_REPLAYED_AGE: Duration = Duration::from_secs(3600);

/// All jobs of the job log, and what else the log records.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    /// The jobs by id.
    pub jobs: TrackedMap<WorkJob>,
    /// Jobs with tasks or occurrences that are not done.
    pub open: BTreeSet<JobId>,
    /// Targets that may have running tasks.
    pub used_targets: BTreeMap<String, TargetUse>,
    /// Targets of these that are recorded as unreachable, with the tasks that may run there.
    pub unreachable: BTreeMap<String, TargetMiss>,
    /// Hosts whose maintenance for a wave has begun.
    pub maintained_hosts: BTreeSet<(u64, String)>,
    /// Time of the last order to each host, since the Unix epoch.
    pub last_host_orders: BTreeMap<String, Duration>,
    /// Whether the last owner handed the cell over voluntarily and has ordered no host since.
    pub handed_over: bool,
}

impl JobTable {
    /// Applies an entry of the log, on replay or once it is stored.
    ///
    /// `unix` and `boot` are the current times.
    pub fn apply(&mut self, entry: &LogEntry, unix: Duration, boot: BootTime) {
        match &entry.event {
            Some(Event::Accepted(record)) => self.accept(record, unix, boot),
            Some(Event::Ended(end)) => self.apply_task_end(end, boot),
            Some(Event::Cancelled(job)) => self.cancel(job, boot),
            Some(Event::Failed(job)) => self.end_job(job, WorkPhase::Failed, boot),
            Some(Event::Used(used)) => {
                self.unreachable.remove(&used.target);
                self.used_targets.insert(used.target.clone(), used.clone());
            }
            Some(Event::Missed(miss)) => {
                self.unreachable.insert(miss.target.clone(), miss.clone());
            }
            Some(Event::Released(target)) => {
                self.unreachable.remove(target);
                self.used_targets.remove(target);
            }
            Some(Event::Wave(progress)) => {
                self.maintained_hosts
                    .insert((progress.wave, progress.host.clone()));
            }
            Some(Event::Occurrence(end)) => self.end_occurrence(&end.job, end.occurrence, boot),
            Some(Event::Ordered(order)) => {
                let at = Duration::from_millis(order.unix_ms);
                self.last_host_orders.insert(order.host.clone(), at);
                self.handed_over = false;
            }
            Some(Event::HandedOver(_)) => self.handed_over = true,
            Some(Event::Closed(end)) => self.apply_job_end(end, boot),
            Some(Event::StepEnds(ends)) => self.apply_step_ends(ends, boot),
            Some(Event::QueueMoved(moved)) => self.apply_queue_move(moved),
            // An entry of a newer version of the log format.
            None => {}
        }
    }

    /// Adds an accepted job; of a job that is known, only the pools are added.
    pub fn accept(&mut self, record: &JobRecord, unix: Duration, boot: BootTime) {
        let id = JobId::from(record.job.as_str());
        let pools = record.former_pools.iter().chain([&record.pool]);
        let pools = pools.map(|pool| PoolId::from(pool.as_str()));
        if self.jobs.contains_key(&id) {
            // While a compacted log replaces the old pages, the page with the job's acceptance may
            // still exist without those of later moves.
            if let Some(job) = self.jobs.get_mut(&id) {
                job.recorded_pools.extend(pools);
            }
            return;
        }
        let accepted = Duration::from_millis(record.accepted_unix_ms);
        let age = unix.saturating_sub(accepted).min(MAX_REPLAYED_AGE);
        let job = WorkJob {
            id: id.clone(),
            plan: Arc::new(plan_of_record(record)),
            queue: record.queue.as_str().into(),
            terms: record.terms.as_ref().map(JobTerms::of_record),
            pool: record.pool.as_str().into(),
            recorded_pools: pools.collect(),
            workspace: record.workspace.as_str().into(),
            workspace_limit: limit_of_record(record),
            accepted,
            arrived: boot.saturating_sub(age),
            ..WorkJob::default()
        };
        self.open.insert(id.clone());
        self.jobs.insert(id, job);
    }

    /// Marks a task as done, with all tasks of its gang; returns false if it was done before.
    pub fn mark_done(&mut self, key: &TaskKey, boot: BootTime) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        let gang = job
            .plan
            .steps
            .get(key.step as usize)
            .is_some_and(|step| step.gang);
        let Some(occurrence) = job.occurrences.get_mut(key.occurrence) else {
            return false;
        };
        let Some(step) = occurrence.steps.get_mut(key.step as usize) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(key.index as usize) else {
            return false;
        };
        if task.done {
            return false;
        }
        if gang {
            step.tasks.iter_mut().for_each(|task| task.done = true);
            step.done = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
        } else {
            task.done = true;
            step.done += 1;
        }
        if occurrence.is_done() {
            self.end_occurrence(&key.job.clone(), key.occurrence, boot);
        }
        true
    }

    /// Returns the step that a task belongs to, if its occurrence is open.
    pub fn step_mut(&mut self, key: &TaskKey) -> Option<&mut StepState> {
        let job = self.jobs.get_mut(&key.job)?;
        job.step_mut(key.occurrence, key.step)
    }

    /// Returns the placement of the task of a run; `None` if the task is not placed as that run.
    pub(super) fn placement_of(&self, id: &HostId, run: &RunKey) -> Option<&TaskPlacement> {
        let (key, attempt) = run;
        let job = self.jobs.get(&key.job)?;
        let task = job.task(key.occurrence, key.step, key.index)?;
        let is_this_run =
            |placement: &&TaskPlacement| placement.target == *id && placement.attempt == *attempt;
        task.placement.as_ref().filter(is_this_run)
    }

    /// Cancels a job, unless it has ended.
    ///
    /// An unknown job is stored as cancelled: its submission may arrive after its cancellation. If
    /// it were accepted then, it would run although its caller was told that it does not.
    pub fn cancel(&mut self, id: &str, boot: BootTime) {
        if self.jobs.contains_key(id) {
            self.end_job(id, WorkPhase::Cancelled, boot);
            return;
        }
        let job = WorkJob {
            id: id.into(),
            phase: WorkPhase::Unsubmitted,
            ended: boot,
            ..WorkJob::default()
        };
        self.jobs.insert(job.id.clone(), job);
    }

    /// Ends a job with `phase`, unless it has ended.
    pub fn end_job(&mut self, id: &str, phase: WorkPhase, boot: BootTime) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.is_open() {
            return;
        }
        job.phase = phase;
        job.ended = boot;
        self.open.remove(id);
    }

    /// Returns log entries that replay to an equivalent table, for compacting the log.
    ///
    /// Of ended jobs only the outcome is kept. Replaying these entries after some or all of the
    /// entries that they replace changes nothing.
    pub fn compacted_entries(&self) -> Vec<LogEntry> {
        let mut events: Vec<Event> = Vec::new();
        events.extend(self.used_targets.values().cloned().map(Event::Used));
        events.extend(self.unreachable.values().cloned().map(Event::Missed));
        let wave_entry = |(wave, host): &(u64, String)| {
            Event::Wave(WaveProgress {
                wave: *wave,
                host: host.clone(),
            })
        };
        events.extend(self.maintained_hosts.iter().map(wave_entry));
        let order_entry = |(host, at): (&String, &Duration)| {
            Event::Ordered(HostOrdered {
                host: host.clone(),
                unix_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            })
        };
        events.extend(self.last_host_orders.iter().map(order_entry));
        for job in self.jobs.values() {
            match job.closed_phase() {
                Some(phase) => events.push(Event::Closed(job.end_record(phase))),
                None => {
                    events.push(Event::Accepted(job.record()));
                    job.push_ends(&mut events);
                }
            }
        }
        let entry = |event| LogEntry { event: Some(event) };
        events.into_iter().map(entry).collect()
    }

    /// Returns the number of jobs that were cancelled by their callers.
    pub fn cancelled_count(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.is_cancelled()).count()
    }

    /// Updates the number of log entries of a job that are not stored yet.
    pub(super) fn update_unstored_entries(&mut self, id: &str, count: impl FnOnce(u32) -> u32) {
        let Some(job) = self.jobs.get_mut_untracked(id) else {
            return;
        };
        job.unstored_entries = count(job.unstored_entries);
        if !job.is_open() {
            self.jobs.mark_changed(id);
        }
    }

    /// Returns a task for changes that affect no index, such as the state of its run.
    pub(super) fn task_mut_unindexed(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        let job = self.jobs.get_mut_untracked(&key.job)?;
        job.task_mut(key.occurrence, key.step, key.index)
    }

    /// Returns a step for changes that affect no index.
    pub(super) fn step_mut_unindexed(&mut self, key: &TaskKey) -> Option<&mut StepState> {
        let job = self.jobs.get_mut_untracked(&key.job)?;
        job.step_mut(key.occurrence, key.step)
    }

    /// Records that a task of the job has started.
    pub(super) fn mark_started(&mut self, id: &str) {
        if self.jobs.get(id).is_some_and(|job| !job.started)
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.started = true;
        }
    }

    /// Opens all occurrences up to one that a target reports.
    pub(super) fn open_occurrences_until(&mut self, id: &str, occurrence: u32, boot: BootTime) {
        if self
            .jobs
            .get(id)
            .is_some_and(|job| job.opened <= occurrence)
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.open_occurrences_until(occurrence, boot);
        }
    }

    /// Applies the end of a job, which may be the only remaining entry of the job.
    fn apply_job_end(&mut self, end: &JobEnd, boot: BootTime) {
        let id = JobId::from(end.job.as_str());
        // While a compacted log replaces the old pages, the page with the job's acceptance may be
        // removed while the page with its cancellation still exists.
        let is_unsubmitted = |job: &WorkJob| job.phase == WorkPhase::Unsubmitted;
        if self.jobs.get(&id).is_some_and(is_unsubmitted) {
            self.jobs.remove(&id);
        }
        let phase = match end.phase() {
            JobPhase::Failed => WorkPhase::Failed,
            JobPhase::Cancelled if end.unsubmitted => WorkPhase::Unsubmitted,
            JobPhase::Cancelled => WorkPhase::Cancelled,
            JobPhase::Queued | JobPhase::Running | JobPhase::Completed => WorkPhase::Completed,
        };
        if !self.jobs.contains_key(&id) {
            let job = WorkJob {
                id: id.clone(),
                workspace: end.workspace.as_str().into(),
                opened: end.finished,
                finished: end.finished,
                closed_resources: ResourceVector {
                    cpu: end.cpu,
                    memory_mb: end.memory_mb,
                    gpu: end.gpu,
                },
                ..WorkJob::default()
            };
            self.jobs.insert(id, job);
        }
        self.end_job(&end.job, phase, boot);
    }

    /// Records that tasks of a queue's jobs may be started in another pool.
    fn apply_queue_move(&mut self, moved: &QueueMove) {
        for id in &self.open {
            if self
                .jobs
                .get(id)
                .is_some_and(|job| job.queue == moved.queue)
                && let Some(job) = self.jobs.get_mut(id)
            {
                job.recorded_pools.insert(moved.pool.as_str().into());
            }
        }
    }

    fn apply_step_ends(&mut self, ends: &StepEnds, boot: BootTime) {
        for &index in &ends.done {
            let end = TaskEnd {
                job: ends.job.clone(),
                occurrence: ends.occurrence,
                step: ends.step,
                index,
                done: true,
                ..TaskEnd::default()
            };
            self.apply_task_end(&end, boot);
        }
    }

    fn apply_task_end(&mut self, end: &TaskEnd, boot: BootTime) {
        let key = TaskKey {
            job: end.job.as_str().into(),
            occurrence: end.occurrence,
            step: end.step,
            index: end.index,
        };
        // Ends are only recorded for open occurrences.
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.open_occurrences_until(key.occurrence, boot);
        }
        if end.done {
            self.mark_done(&key, boot);
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if let Some(step) = job.step_mut(key.occurrence, key.step) {
            step.record_failure(key.index, end.attempt);
        }
    }

    fn end_occurrence(&mut self, id: &str, occurrence: u32, boot: BootTime) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.open_occurrences_until(occurrence, boot);
        if job.occurrences.remove(occurrence).is_none() {
            return;
        }
        job.finished += 1;
        if job.is_done() {
            self.end_job(id, WorkPhase::Completed, boot);
        }
    }
}
