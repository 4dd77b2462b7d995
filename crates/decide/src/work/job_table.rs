use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use model::{
    BootTime, HostId, JobId,
    work::{ResourceVector, TaskKey},
};
use wire::work::{
    HostOrdered, JobEnd, JobPhase, JobRecord, LogEntry, StepEnds, TargetMiss, TargetUse, TaskEnd,
    WaveProgress, log_entry::Event,
};

use super::{
    StepState, TaskPlacement, TaskState, TrackedMap, WorkJob, WorkPhase, plan_of_record,
    target_state::RunKey,
};

/// Oldest age that a job read from the log is given; clocks of day may be far apart.
const MAX_REPLAYED_AGE: Duration = Duration::from_secs(3600);

/// All jobs that the log tells of.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    /// The jobs.
    pub jobs: TrackedMap<WorkJob>,
    /// Jobs that have something left to do.
    pub open: BTreeSet<JobId>,
    /// Targets on which tasks may run.
    pub used_targets: BTreeMap<String, TargetUse>,
    /// Targets of these that were not heard, with what may run there.
    pub unreachable: BTreeMap<String, TargetMiss>,
    /// Hosts of waves whose maintenance began.
    pub maintained_hosts: BTreeSet<(u64, String)>,
    /// When hosts were ordered last, since the Unix epoch.
    pub last_host_orders: BTreeMap<String, Duration>,
    /// Whether the last owner gave the cell up by itself and ordered no host after that.
    pub handed_over: bool,
}

impl JobTable {
    /// Takes an entry of the log in, on reading it back or once it is stored.
    ///
    /// `unix` and `boot` are the present times.
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
            // An entry of a newer version.
            None => {}
        }
    }

    /// Takes a new job in; the same id again changes nothing.
    pub fn accept(&mut self, record: &JobRecord, unix: Duration, boot: BootTime) {
        let id = JobId::from(record.job.as_str());
        if self.jobs.contains_key(&id) {
            return;
        }
        let accepted = Duration::from_millis(record.accepted_unix_ms);
        let age = unix.saturating_sub(accepted).min(MAX_REPLAYED_AGE);
        let job = WorkJob {
            id: id.clone(),
            plan: Arc::new(plan_of_record(record)),
            queue: record.queue.as_str().into(),
            pool: record.pool.as_str().into(),
            workspace: record.workspace.as_str().into(),
            accepted,
            arrived: boot.saturating_sub(age),
            ..WorkJob::default()
        };
        self.open.insert(id.clone());
        self.jobs.insert(id, job);
    }

    /// Marks a task done, with all of its gang; false if it was done before.
    pub fn mark_done(&mut self, key: &TaskKey, boot: BootTime) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        let gang = job
            .plan
            .steps
            .get(key.step as usize)
            .is_some_and(|step| step.gang);
        let Some(occurrence) = job.occurrences.get_mut(&key.occurrence) else {
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

    /// The step of an open occurrence that a task belongs to.
    pub fn step_mut(&mut self, key: &TaskKey) -> Option<&mut StepState> {
        let job = self.jobs.get_mut(&key.job)?;
        let occurrence = job.occurrences.get_mut(&key.occurrence)?;
        occurrence.steps.get_mut(key.step as usize)
    }

    /// Where the task of a run is; `None` if no task is taken to be that run.
    pub(super) fn placement_of(&self, id: &HostId, run: &RunKey) -> Option<&TaskPlacement> {
        let (key, attempt) = run;
        let job = self.jobs.get(&key.job)?;
        let task = job.task(key.occurrence, key.step, key.index)?;
        let there = |place: &&TaskPlacement| place.target == *id && place.attempt == *attempt;
        task.placement.as_ref().filter(there)
    }

    /// Cancels a job, unless it has ended.
    ///
    /// A job that is not known is kept as cancelled: its submission may have been overtaken, and
    /// accepted later it would run though its caller was told that it does not.
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

    /// Ends a job, unless it has ended.
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

    /// Entries that, replayed, make a board that says the same; for a shorter log.
    ///
    /// Of jobs that have ended only the outcome is kept. Replayed after some or all of the
    /// entries that they replace they change nothing.
    pub fn compacted_entries(&self) -> Vec<LogEntry> {
        let mut events: Vec<Event> = Vec::new();
        events.extend(self.used_targets.values().cloned().map(Event::Used));
        events.extend(self.unreachable.values().cloned().map(Event::Missed));
        let begun = |(wave, host): &(u64, String)| {
            Event::Wave(WaveProgress {
                wave: *wave,
                host: host.clone(),
            })
        };
        events.extend(self.maintained_hosts.iter().map(begun));
        let ordered = |(host, at): (&String, &Duration)| {
            Event::Ordered(HostOrdered {
                host: host.clone(),
                unix_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            })
        };
        events.extend(self.last_host_orders.iter().map(ordered));
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

    /// How many jobs their callers have cancelled.
    pub fn cancelled_count(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.is_cancelled()).count()
    }

    /// Counts entries of a job anew that are not stored.
    pub(super) fn update_unstored_entries(&mut self, id: &str, count: impl FnOnce(u32) -> u32) {
        let Some(job) = self.jobs.get_mut_untracked(id) else {
            return;
        };
        job.unstored_entries = count(job.unstored_entries);
        if !job.is_open() {
            self.jobs.mark_changed(id);
        }
    }

    /// A task, of which nothing is to be changed but what is known of its run.
    pub(super) fn task_mut_unindexed(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        let job = self.jobs.get_mut_untracked(&key.job)?;
        job.task_mut(key.occurrence, key.step, key.index)
    }

    /// Notes that a task of a job has started.
    pub(super) fn mark_started(&mut self, id: &str) {
        if self.jobs.get(id).is_some_and(|job| !job.started)
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.started = true;
        }
    }

    /// Opens the occurrences up to one that a target tells of.
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

    /// Takes in that a job has ended of which the log may tell nothing else any more.
    fn apply_job_end(&mut self, end: &JobEnd, boot: BootTime) {
        let id = JobId::from(end.job.as_str());
        // Of a replaced log the pages that told of its acceptance may be gone and the one that told
        // of its cancellation still be there.
        let unsubmitted = |job: &WorkJob| job.phase == WorkPhase::Unsubmitted;
        if self.jobs.get(&id).is_some_and(unsubmitted) {
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
        // Ends are only ever recorded of occurrences that were open.
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
        if let Some(task) = job.task_mut(key.occurrence, key.step, key.index)
            && !task.failed_attempts.contains(&end.attempt)
        {
            task.failed_attempts.push(end.attempt);
        }
    }

    fn end_occurrence(&mut self, id: &str, occurrence: u32, boot: BootTime) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.open_occurrences_until(occurrence, boot);
        if job.occurrences.remove(&occurrence).is_none() {
            return;
        }
        job.finished += 1;
        if job.is_done() {
            self.end_job(id, WorkPhase::Completed, boot);
        }
    }
}
