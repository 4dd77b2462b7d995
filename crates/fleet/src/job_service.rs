use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crossbeam_channel::{Sender, TrySendError};
use decide::job::JobState;
use model::{JobId, RequestId, TeamId};
use parking_lot::Mutex;
use ports::{JobError, JobRequest, JobSink, JobView};
use prost::Message;
use wire::fleet::JobCancels;

use crate::{
    JobLog,
    fleet_shared::FleetShared,
    held_job::{JobStates, view_of},
    holder_order::{JobOrder, ReplySender},
};

/// Maximum payload of a job in bytes. It is small enough for several jobs to fit into one page.
const MOST_PAYLOAD: usize = 256 * 1024;
/// Timeout for the reply of a job holder.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// How long the cached content of another holder's log is used before it is read again.
const FOREIGN_MAX_AGE: Duration = Duration::from_secs(1);
/// Maximum number of pending cancellations for one holder.
const MAX_CANCELS: usize = 20_000;
/// Minimum time between two writes of cancellations.
const CANCEL_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts to write cancellations when concurrent writers cause conflicts.
const CANCEL_TRIES: u32 = 8;

/// Channels to the job holders in this process, by log name.
pub(crate) type HolderRoutes = Mutex<BTreeMap<String, Sender<JobOrder>>>;

/// Handles callers' requests on jobs: submit, view and cancel.
pub(crate) struct JobService {
    pub(crate) shared: Arc<FleetShared>,
    pub(crate) routes: HolderRoutes,
    pub(crate) job_table: JobStates,
    foreign: Mutex<BTreeMap<String, ForeignLog>>,
    cancels: Mutex<BTreeMap<String, CancelBatch>>,
}

struct ForeignLog {
    read_at: Instant,
    jobs: BTreeMap<JobId, JobState>,
}

/// Pending cancellations for one log, each with the channel for its result.
type CancelBatch = Vec<(JobId, Sender<Result<(), JobError>>)>;

impl JobService {
    pub(crate) fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            routes: Mutex::default(),
            job_table: JobStates::default(),
            foreign: Mutex::default(),
            cancels: Mutex::default(),
        }
    }

    fn route(&self, log: &str) -> Option<Sender<JobOrder>> {
        self.routes.lock().get(log).cloned()
    }

    fn send_order(
        &self,
        log: &str,
        order: impl FnOnce(ReplySender) -> JobOrder,
    ) -> Result<JobView, JobError> {
        let Some(route) = self.route(log) else {
            return Err(JobError::StoreDown("no job log yet".to_owned()));
        };
        let (reply, answer) = crossbeam_channel::bounded(1);
        match route.try_send(order(reply)) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Err(JobError::QueueFull),
            Err(TrySendError::Disconnected(_)) => {
                return Err(JobError::StoreDown("the job log was lost".to_owned()));
            }
        }
        match answer.recv_timeout(ANSWER_TIMEOUT) {
            Ok(outcome) => outcome,
            Err(_) => Err(JobError::Unknown("no answer in time".to_owned())),
        }
    }

    /// Returns a job of a log that another process holds, as recorded in the store.
    fn foreign_job(&self, team: &TeamId, job: &JobId) -> Result<JobState, JobError> {
        let log = log_of(job).ok_or(JobError::NotFound)?;
        let mut foreign = self.foreign.lock();
        foreign.retain(|_, log| log.read_at.elapsed() < FOREIGN_MAX_AGE);
        if !foreign.contains_key(log) {
            let records = JobLog::read_records(Arc::clone(&self.shared.store), log)
                .map_err(|e| JobError::StoreDown(e.to_string()))?;
            let states = records.into_iter().map(JobState::from_record);
            let read = ForeignLog {
                read_at: Instant::now(),
                jobs: states
                    .map(|state| (state.spec.job.clone(), state))
                    .collect(),
            };
            foreign.insert(log.to_owned(), read);
        }
        let found = foreign.get(log).and_then(|log| log.jobs.get(job));
        found
            .filter(|state| state.spec.team == *team)
            .cloned()
            .ok_or(JobError::NotFound)
    }

    /// Queues a cancellation for a job of another holder and waits until it is written.
    fn cancel_foreign(&self, job: &JobId) -> Result<(), JobError> {
        let log = log_of(job).ok_or(JobError::NotFound)?.to_owned();
        let (reply, answer) = crossbeam_channel::bounded(1);
        {
            let mut cancels = self.cancels.lock();
            let batch = cancels.entry(log).or_default();
            if batch.len() >= MAX_CANCELS {
                return Err(JobError::QueueFull);
            }
            batch.push((job.clone(), reply));
        }
        match answer.recv_timeout(ANSWER_TIMEOUT) {
            Ok(outcome) => outcome,
            Err(_) => Err(JobError::Unknown("no answer in time".to_owned())),
        }
    }

    /// Writes pending cancellations periodically, one write per log for all of its jobs.
    pub(crate) fn run_cancels(&self) {
        while self.shared.pause(CANCEL_INTERVAL) {
            let batches = std::mem::take(&mut *self.cancels.lock());
            for (log, batch) in batches {
                let jobs: Vec<JobId> = batch.iter().map(|(job, _)| job.clone()).collect();
                let outcome = self.write_cancels(&log, &jobs);
                for (_, reply) in batch {
                    // Sending fails only if the caller timed out; it retries.
                    let _ = reply.send(outcome.clone());
                }
            }
        }
    }

    fn write_cancels(&self, log: &str, waiting: &[JobId]) -> Result<(), JobError> {
        let key = format!("job-cancels/{log}");
        let store = &self.shared.store;
        let down = |e: store::StoreError| JobError::StoreDown(e.to_string());
        for _ in 0..CANCEL_TRIES {
            let found = store.read(&key).map_err(down)?;
            let version = found.as_ref().map_or(0, |found| found.version);
            let bytes = found.map_or_else(Vec::new, |found| found.value);
            let mut cancels = JobCancels::decode(bytes.as_slice()).unwrap_or_default();
            cancels.jobs.extend(waiting.iter().map(ToString::to_string));
            if cancels.jobs.len() > MAX_CANCELS {
                return Err(JobError::QueueFull);
            }
            match store.swap(&key, version, &cancels.encode_to_vec()) {
                Ok(_) => return Ok(()),
                Err(store::StoreError::Conflict { .. }) => {}
                Err(store::StoreError::Unknown(e)) => return Err(JobError::Unknown(e)),
                Err(e) => return Err(down(e)),
            }
        }
        Err(JobError::Unknown(
            "others write cancellations too".to_owned(),
        ))
    }
}

impl JobSink for JobService {
    fn submit(&self, request: JobRequest) -> Result<JobView, JobError> {
        if request.payload.len() > MOST_PAYLOAD {
            let text = format!("the payload has {} bytes", request.payload.len());
            return Err(JobError::Invalid(format!("{text}, at most {MOST_PAYLOAD}")));
        }
        let config = self.shared.config.current();
        let service = config.manifest.services.get(&request.service);
        let pool = service.map(|service| service.worker_pool.clone());
        let Some(pool) = pool.filter(|pool| !pool.is_empty()) else {
            let text = format!("service {} runs no jobs", request.service);
            return Err(JobError::Invalid(text));
        };
        let log = self.shared.own_log.lock().clone();
        self.send_order(&log, |reply| JobOrder::Submit {
            request: Box::new(request),
            pool,
            reply,
        })
    }

    fn find(&self, team: &TeamId, request: &RequestId) -> Option<JobView> {
        let job_table = self.job_table.lock();
        let is_wanted =
            |state: &&JobState| state.spec.team == *team && state.spec.request == *request;
        job_table.values().find(is_wanted).map(view_of)
    }

    fn view(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError> {
        if let Some(state) = self.job_table.lock().get(job) {
            if state.spec.team == *team {
                return Ok(view_of(state));
            }
            return Err(JobError::NotFound);
        }
        self.foreign_job(team, job).map(|state| view_of(&state))
    }

    fn cancel(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError> {
        let log = log_of(job).ok_or(JobError::NotFound)?;
        if self.route(log).is_some() {
            let (team, job) = (team.clone(), job.clone());
            return self.send_order(log, |reply| JobOrder::Cancel { team, job, reply });
        }
        let state = self.foreign_job(team, job)?;
        self.cancel_foreign(job)?;
        Ok(view_of(&state))
    }
}

/// Returns the name of the log that accepted a job; it is the prefix of the job id.
fn log_of(job: &JobId) -> Option<&str> {
    job.rsplit_once('-').map(|(log, _)| log)
}
