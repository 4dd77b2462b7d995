use std::{collections::BTreeMap, sync::Arc, thread};

use crossbeam_channel::{Receiver, Sender};
use decide::{job::JobState, rendezvous};
use model::{BootTime, MemberId, StepError};
use prost::Message;
use store::StoreVersion;
use wire::fleet::{JobLogEntry, JobLogIndex};

use crate::{
    JobLog, event, fleet_shared::FleetShared, holder_order::JobOrder, job_call::WorkerCall,
    job_holder::JobHolder, job_service::JobService,
};

/// Key of the index of job logs.
const INDEX_KEY: &str = "job-logs";
/// Capacity of the order queue of one holder.
const ORDER_QUEUE: usize = 4096;
/// Stack of a holder's thread, in bytes.
const STACK_SIZE: usize = 512 * 1024;

/// Runs the job log of this entry host and takes over logs whose holder is unreachable.
///
/// Each incarnation of an entry host has its own log. The index in the store lists every
/// log that may hold jobs, so that the logs are found even if all entry hosts are replaced
/// at once.
pub(crate) struct JobKeeper {
    pub(crate) shared: Arc<FleetShared>,
    pub(crate) job_service: Arc<JobService>,
    pub(crate) calls: Sender<WorkerCall>,
    unreachable_since: BTreeMap<String, BootTime>,
}

impl JobKeeper {
    pub(crate) fn new(
        shared: Arc<FleetShared>,
        job_service: Arc<JobService>,
        calls: Sender<WorkerCall>,
    ) -> Self {
        Self {
            shared,
            job_service,
            calls,
            unreachable_since: BTreeMap::new(),
        }
    }

    /// Runs this entry host's log, and creates a new one whenever the last was taken over.
    pub(crate) fn run_own_logs(&self) {
        let mut generation = 0;
        while !self.shared.is_stopping() {
            let own = self.holder_name();
            let name = format!("{}.{generation}", own.replace('@', "."));
            if let Err(e) = self.register_log(&name, &own) {
                model::event::debug(&event::JOB_INDEX_UNREAD, format_args!("cause={e}"));
                self.shared.pause(self.shared.timing.list_interval / 2);
                continue;
            }
            let log = JobLog::create(Arc::clone(&self.shared.store), &name, &own);
            let inbox = self.open_route(&name);
            self.shared.own_log.lock().clone_from(&name);
            self.holder(log).run(&inbox);
            self.job_service.routes.lock().remove(&name);
            generation += 1;
        }
    }

    /// Periodically takes over logs whose holder is unreachable.
    pub(crate) fn run_takeovers(mut self) {
        while self.shared.pause(self.shared.job_timing.watch_interval) {
            if let Err(e) = self.take_over_unreachable() {
                model::event::debug(&event::JOB_INDEX_UNREAD, format_args!("cause={e}"));
            }
        }
    }
}

impl JobKeeper {
    fn take_over_unreachable(&mut self) -> Result<(), StepError> {
        self.unregister_finished()?;
        let (_, index) = self.read_index()?;
        let now = self.shared.clock.boot_now();
        for entry in index.logs {
            if self.is_holder_reachable(&entry.holder)
                || self.job_service.routes.lock().contains_key(&entry.log)
            {
                self.unreachable_since.remove(&entry.log);
                continue;
            }
            let since = *self
                .unreachable_since
                .entry(entry.log.clone())
                .or_insert(now);
            let long = now.saturating_sub(since) >= self.shared.job_timing.takeover_after;
            if long && self.is_takeover_owner(&entry.log) {
                self.take_over(&entry.log)?;
            }
        }
        Ok(())
    }

    /// Takes over one log and runs its jobs on a separate thread.
    ///
    /// The former holder may be alive but unreachable. Its next write fails, and it stops.
    fn take_over(&self, name: &str) -> Result<(), StepError> {
        let own = self.holder_name();
        self.register_log(name, &own)?;
        let (log, records) = JobLog::take_over(Arc::clone(&self.shared.store), name, &own)?;
        let states: Vec<JobState> = records.into_iter().map(JobState::from_record).collect();
        model::event::info(
            &event::JOB_LOG_TAKEN,
            format_args!("log={name} jobs={}", states.len()),
        );
        metrics::counter!("lws_job_takeovers").increment(1);
        let inbox = self.open_route(name);
        let mut holder = self.holder(log);
        let (job_service, log_name) = (Arc::clone(&self.job_service), name.to_owned());
        thread::Builder::new()
            .name("fleet-adopted".to_owned())
            .stack_size(STACK_SIZE)
            .spawn(move || {
                holder.adopt_jobs(states);
                holder.run(&inbox);
                job_service.routes.lock().remove(&log_name);
            })
            .map(|_| ())
            .map_err(|e| StepError::new("start thread", name, e))
    }

    fn holder(&self, log: JobLog) -> JobHolder {
        JobHolder::new(
            Arc::clone(&self.shared),
            log,
            Arc::clone(&self.job_service.job_table),
            self.calls.clone(),
        )
    }

    fn open_route(&self, name: &str) -> Receiver<JobOrder> {
        let (sender, receiver) = crossbeam_channel::bounded(ORDER_QUEUE);
        self.job_service
            .routes
            .lock()
            .insert(name.to_owned(), sender);
        receiver
    }

    fn holder_name(&self) -> String {
        let members = &self.shared.members;
        format!("{}@{}", members.own_id(), members.own_incarnation())
    }

    fn is_holder_reachable(&self, holder: &str) -> bool {
        let members = self.shared.members.members();
        let name = |id: &MemberId, incarnation| format!("{id}@{incarnation}");
        holder == self.holder_name()
            || members
                .iter()
                .any(|info| info.reachable && name(&info.member, info.incarnation) == holder)
    }

    fn is_takeover_owner(&self, log: &str) -> bool {
        let members = self.shared.members.members();
        let reachable = members
            .iter()
            .filter(|info| info.reachable && !info.leaving);
        let duty = format!("job-log/{log}");
        let holder = rendezvous::duty_holder(&duty, reachable.map(|info| &info.member));
        holder == Some(&self.shared.members.own_id())
    }

    fn read_index(&self) -> Result<(StoreVersion, JobLogIndex), StepError> {
        let step = |cause: String| StepError::new("read job logs", INDEX_KEY, cause);
        let found = self
            .shared
            .store
            .read(INDEX_KEY)
            .map_err(|e| step(e.to_string()))?;
        let Some(found) = found else {
            return Ok((0, JobLogIndex::default()));
        };
        let index = JobLogIndex::decode(found.value.as_slice()).map_err(|e| step(e.to_string()))?;
        Ok((found.version, index))
    }

    /// Records in the index that `holder` holds the log `name`. This precedes any write to
    /// the log.
    fn register_log(&self, name: &str, holder: &str) -> Result<(), StepError> {
        self.update_index(|logs| {
            logs.retain(|entry| entry.log != name);
            logs.push(JobLogEntry {
                log: name.to_owned(),
                holder: holder.to_owned(),
            });
        })
    }

    /// Removes logs without jobs from the index.
    fn unregister_finished(&self) -> Result<(), StepError> {
        let finished = self.shared.finished_logs.lock().clone();
        if finished.is_empty() {
            return Ok(());
        }
        self.update_index(|logs| logs.retain(|entry| !finished.contains(&entry.log)))?;
        self.shared
            .finished_logs
            .lock()
            .retain(|log| !finished.contains(log));
        Ok(())
    }

    fn update_index(&self, change: impl FnOnce(&mut Vec<JobLogEntry>)) -> Result<(), StepError> {
        let (version, mut index) = self.read_index()?;
        change(&mut index.logs);
        self.shared
            .store
            .swap(INDEX_KEY, version, &index.encode_to_vec())
            .map(|_| ())
            .map_err(|e| StepError::new("write job logs", INDEX_KEY, e))
    }
}

impl FleetShared {
    /// True if `name` is the log into which this process currently accepts jobs.
    pub(crate) fn is_own_log(&self, name: &str) -> bool {
        *self.own_log.lock() == name
    }
}
