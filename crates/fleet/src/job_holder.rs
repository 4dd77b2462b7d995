use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crossbeam_channel::{Receiver, Sender};
use decide::{
    job::{JobPolicy, JobState, PhaseKind},
    placement::{SizeEstimates, WorkerTable},
};
use model::{BootTime, JobId, PoolId, TeamId};
use ports::JobError;

use crate::{
    JobLog,
    fleet_shared::FleetShared,
    held_job::{HeldJob, JobStates},
    holder_order::{JobOrder, ReplySender},
    job_call::{CallReply, WorkerCall},
    pending_flush::PendingFlush,
};

/// Capacity of the queue of worker replies; caller threads block when it is full.
const REPLY_QUEUE: usize = 1024;
/// Maximum number of ended jobs that can still be looked up, regardless of their age.
const MAX_ENDED: usize = 5_000;

/// Intervals of a job holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTiming {
    /// Minimum time between two writes; changes in between are written together.
    pub flush_interval: Duration,
    /// Time between two renewals of the leases of a worker's tasks.
    pub renew_interval: Duration,
    /// Time between two reads of a worker's resource usage.
    pub usage_interval: Duration,
    /// Time between two checks for cancellations and for logs of unreachable holders.
    pub watch_interval: Duration,
    /// How long a holder must be unreachable before its log is taken over.
    pub takeover_after: Duration,
    /// How long an ended job can be looked up.
    pub ended_retention: Duration,
}

impl Default for JobTiming {
    fn default() -> Self {
        Self {
            flush_interval: Duration::from_millis(300),
            renew_interval: Duration::from_secs(2),
            usage_interval: Duration::from_secs(3),
            watch_interval: Duration::from_secs(2),
            takeover_after: Duration::from_secs(5),
            ended_retention: Duration::from_secs(600),
        }
    }
}

/// Manages the jobs of one log: records and starts them, renews their leases and applies
/// their results.
pub(crate) struct JobHolder {
    pub(crate) shared: Arc<FleetShared>,
    pub(crate) timing: JobTiming,
    pub(crate) policy: JobPolicy,
    pub(crate) log: JobLog,
    pub(crate) job_table: JobStates,
    pub(crate) jobs: BTreeMap<JobId, HeldJob>,
    /// Waiting jobs by team, ordered by the time of acceptance.
    pub(crate) queues: BTreeMap<TeamId, BTreeSet<(Duration, JobId)>>,
    /// Jobs that run or may run on a worker.
    pub(crate) placed: BTreeSet<JobId>,
    /// Ended jobs, ordered by the time of their end.
    pub(crate) ended: BTreeSet<(Duration, JobId)>,
    pub(crate) dirty: BTreeSet<JobId>,
    pub(crate) unsent: BTreeSet<JobId>,
    pub(crate) pending_replies: Vec<(JobId, ReplySender)>,
    pub(crate) pending: Option<PendingFlush>,
    pub(crate) flushed_at: BootTime,
    pub(crate) worker_tables: BTreeMap<PoolId, WorkerTable>,
    pub(crate) sizes: SizeEstimates,
    pub(crate) calls: Sender<WorkerCall>,
    pub(crate) reply_sender: Sender<CallReply>,
    pub(crate) replies: Receiver<CallReply>,
    pub(crate) cancels_read_at: BootTime,
    pub(crate) usage_requested_at: BootTime,
    pub(crate) renewed_at: BootTime,
    pub(crate) fenced: bool,
    pub(crate) jitter: u64,
    pub(crate) requests: BTreeMap<(TeamId, String), JobId>,
    pub(crate) counter: u64,
    pub(crate) payload: usize,
}

impl JobHolder {
    pub(crate) fn new(
        shared: Arc<FleetShared>,
        log: JobLog,
        job_table: JobStates,
        calls: Sender<WorkerCall>,
    ) -> Self {
        let (reply_sender, replies) = crossbeam_channel::bounded(REPLY_QUEUE);
        Self {
            timing: shared.job_timing,
            policy: shared.job_policy,
            shared,
            log,
            job_table,
            jobs: BTreeMap::new(),
            queues: BTreeMap::new(),
            placed: BTreeSet::new(),
            ended: BTreeSet::new(),
            dirty: BTreeSet::new(),
            unsent: BTreeSet::new(),
            pending_replies: Vec::new(),
            pending: None,
            flushed_at: BootTime::ZERO,
            worker_tables: BTreeMap::new(),
            sizes: SizeEstimates::default(),
            calls,
            reply_sender,
            replies,
            cancels_read_at: BootTime::ZERO,
            usage_requested_at: BootTime::ZERO,
            renewed_at: BootTime::ZERO,
            fenced: false,
            jitter: 1,
            requests: BTreeMap::new(),
            counter: 0,
            payload: 0,
        }
    }

    /// Adds jobs that another holder recorded.
    pub(crate) fn adopt_jobs(&mut self, states: Vec<JobState>) {
        for state in states {
            let job = state.spec.job.clone();
            self.payload += state.spec.payload.len();
            self.index_request(&state);
            self.job_table.lock().insert(job.clone(), state.clone());
            self.index_job(&job, &state);
            self.jobs.insert(job, HeldJob::adopted(state));
        }
    }

    /// Runs until the service stops or another holder takes the log over. The holder of a
    /// log that was taken over here also ends once it has no jobs and no orders left.
    pub(crate) fn run(mut self, inbox: &Receiver<JobOrder>) {
        while !self.shared.is_stopping() && !self.fenced {
            self.process_orders(inbox);
            self.process_replies();
            self.refresh_inputs();
            self.renew_leases();
            self.start_jobs();
            self.flush_if_due();
            self.send_recorded();
            self.forget_ended();
            if self.is_idle() && inbox.is_empty() && self.is_taken_over() {
                break;
            }
        }
        self.close();
    }
}

impl JobHolder {
    /// Replaces the state of a job and marks it for the next write if `record` is set.
    pub(crate) fn set_state(&mut self, job: &JobId, state: JobState, record: bool) {
        let Some(held) = self.jobs.get_mut(job) else {
            return;
        };
        let was = std::mem::replace(&mut held.state, state);
        let placed = held.state.kind() == PhaseKind::Placed;
        if !placed {
            held.permit = None;
            held.unresponsive_since = None;
            held.adopted = false;
        }
        let state = held.state.clone();
        if was.kind() == PhaseKind::Placed && !placed {
            self.release(&was);
        }
        self.unindex_job(job, &was);
        self.index_job(job, &state);
        if record {
            self.dirty.insert(job.clone());
        } else if let Some(shown) = self.job_table.lock().get_mut(job) {
            // Running is not written to the store: a holder that takes over polls the worker.
            shown.phase = state.phase;
        }
    }

    pub(crate) fn release(&mut self, was: &JobState) {
        if let Some(worker_table) = self.worker_tables.get_mut(&was.spec.pool) {
            worker_table.record_released(&was.worker, &was.spec.job);
        }
    }

    /// True if the log was taken over from another holder.
    pub(crate) fn is_taken_over(&self) -> bool {
        !self.shared.is_own_log(self.log.name())
    }

    fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.dirty.is_empty() && self.pending.is_none()
    }

    pub(crate) fn index_job(&mut self, job: &JobId, state: &JobState) {
        match state.kind() {
            PhaseKind::Waiting => {
                let queue = self.queues.entry(state.spec.team.clone()).or_default();
                queue.insert((state.spec.accepted, job.clone()));
            }
            PhaseKind::Placed => {
                self.placed.insert(job.clone());
            }
            PhaseKind::Ended => {
                self.ended.insert((state.ended, job.clone()));
            }
        }
    }

    pub(crate) fn unindex_job(&mut self, job: &JobId, state: &JobState) {
        match state.kind() {
            PhaseKind::Waiting => {
                if let Some(queue) = self.queues.get_mut(&state.spec.team) {
                    queue.remove(&(state.spec.accepted, job.clone()));
                }
            }
            PhaseKind::Placed => {
                self.placed.remove(job);
            }
            PhaseKind::Ended => {
                self.ended.remove(&(state.ended, job.clone()));
            }
        }
    }

    fn forget_ended(&mut self) {
        let now = self.shared.clock.unix_now();
        while let Some((at, job)) = self.ended.first().cloned() {
            let kept = now < at + self.timing.ended_retention && self.ended.len() <= MAX_ENDED;
            if kept || self.dirty.contains(&job) {
                return;
            }
            self.ended.remove(&(at, job.clone()));
            if let Some(held) = self.jobs.remove(&job) {
                self.unindex_request(&held.state);
            }
            self.job_table.lock().remove(&job);
            self.log.forget(&job);
        }
    }

    /// Fails pending requests and removes the jobs of this holder from the job table.
    fn close(mut self) {
        for (_, reply) in self.pending_replies.drain(..) {
            let _ = reply.send(Err(JobError::Unknown("the holder stopped".to_owned())));
        }
        let mut job_table = self.job_table.lock();
        for job in self.jobs.keys() {
            job_table.remove(job);
        }
        drop(job_table);
        self.delay_permits();
        if self.is_taken_over() && self.jobs.is_empty() && !self.fenced {
            self.log.clear();
            self.shared
                .finished_logs
                .lock()
                .insert(self.log.name().to_owned());
        }
    }

    /// Delays the release of quota permits until the leases of all started tasks expired.
    ///
    /// The next holder of the log takes permits of its own. If these were released at
    /// once, the team could exceed its limit while its earlier tasks still run.
    fn delay_permits(&mut self) {
        let until = self.shared.clock.boot_now() + self.policy.lease + self.policy.lease_guard;
        let permits = self.jobs.values_mut().filter_map(|held| held.permit.take());
        let mut late = self.shared.delayed_permits.lock();
        late.extend(permits.map(|permit| (until, permit)));
    }
}
