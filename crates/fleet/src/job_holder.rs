use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crossbeam_channel::{Receiver, Sender};
use decide::{
    job::{JobPolicy, JobSpec, JobState, PhaseKind},
    placement::{SizeBook, WorkerBook},
};
use model::{BootTime, JobId, PoolId, TeamId};
use ports::{JobError, JobRequest, JobView};

use crate::{
    JobLog,
    fleet_shared::FleetShared,
    held_job::{HeldJob, JobBoard, view_of},
    job_call::{CallReply, WorkerCall},
    job_flush::PendingFlush,
};

/// Longest wait for orders between two looks at everything else.
const TICK: Duration = Duration::from_millis(20);
/// Orders taken in one go.
const ORDERS_AT_ONCE: usize = 1024;
/// Answers of workers that may wait; callers wait beyond that.
const REPLY_QUEUE: usize = 1024;
/// Jobs held at once, beyond which submissions are refused.
const MOST_JOBS: usize = 20_000;
/// Jobs that ended and can still be looked up, however lately they ended.
const MOST_ENDED: usize = 5_000;
/// Payload bytes held at once, beyond which submissions are refused.
const MOST_PAYLOAD: usize = 24 * 1024 * 1024;

/// Intervals of a job holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTiming {
    /// Shortest time between two writes; what happens in between shares a write.
    pub flush_interval: Duration,
    /// Time between two renewals of a worker's leases.
    pub renew_interval: Duration,
    /// Time between two readings of a worker's use.
    pub usage_interval: Duration,
    /// Time between two looks at cancellations and at other holders' logs.
    pub watch_interval: Duration,
    /// How long a holder must be unheard before its jobs are taken over.
    pub takeover_after: Duration,
    /// How long a job that ended can be looked up.
    pub keep_ended: Duration,
}

impl Default for JobTiming {
    fn default() -> Self {
        Self {
            flush_interval: Duration::from_millis(300),
            renew_interval: Duration::from_secs(2),
            usage_interval: Duration::from_secs(3),
            watch_interval: Duration::from_secs(2),
            takeover_after: Duration::from_secs(5),
            keep_ended: Duration::from_secs(600),
        }
    }
}

/// Answers one submission or cancellation.
pub(crate) type ReplySender = Sender<Result<JobView, JobError>>;

/// An order to the holder.
pub(crate) enum JobOrder {
    Submit {
        request: Box<JobRequest>,
        pool: PoolId,
        reply: ReplySender,
    },
    Cancel {
        team: TeamId,
        job: JobId,
        reply: ReplySender,
    },
}

/// Holds the jobs of one log: records, starts, renews and settles them.
pub(crate) struct JobHolder {
    pub(crate) shared: Arc<FleetShared>,
    pub(crate) timing: JobTiming,
    pub(crate) policy: JobPolicy,
    pub(crate) log: JobLog,
    pub(crate) board: JobBoard,
    pub(crate) jobs: BTreeMap<JobId, HeldJob>,
    /// Waiting jobs by team, in order of acceptance.
    pub(crate) queues: BTreeMap<TeamId, BTreeSet<(Duration, JobId)>>,
    /// Jobs that a worker has or may have.
    pub(crate) placed: BTreeSet<JobId>,
    /// Jobs that ended, in that order.
    pub(crate) ended: BTreeSet<(Duration, JobId)>,
    pub(crate) dirty: BTreeSet<JobId>,
    pub(crate) unsent: BTreeSet<JobId>,
    pub(crate) answers: Vec<(JobId, ReplySender)>,
    pub(crate) pending: Option<PendingFlush>,
    pub(crate) flushed_at: BootTime,
    pub(crate) books: BTreeMap<PoolId, WorkerBook>,
    pub(crate) sizes: SizeBook,
    pub(crate) calls: Sender<WorkerCall>,
    pub(crate) reply_sender: Sender<CallReply>,
    pub(crate) replies: Receiver<CallReply>,
    pub(crate) started_at: BootTime,
    pub(crate) watched_at: BootTime,
    pub(crate) usage_at: BootTime,
    pub(crate) renewed_at: BootTime,
    pub(crate) fenced: bool,
    pub(crate) jitter: u64,
    requests: BTreeMap<(TeamId, String), JobId>,
    counter: u64,
    payload: usize,
}

impl JobHolder {
    pub(crate) fn new(
        shared: Arc<FleetShared>,
        log: JobLog,
        board: JobBoard,
        calls: Sender<WorkerCall>,
    ) -> Self {
        let (reply_sender, replies) = crossbeam_channel::bounded(REPLY_QUEUE);
        let now = shared.clock.boot_now();
        Self {
            timing: shared.job_timing,
            policy: shared.job_policy,
            shared,
            log,
            board,
            jobs: BTreeMap::new(),
            queues: BTreeMap::new(),
            placed: BTreeSet::new(),
            ended: BTreeSet::new(),
            dirty: BTreeSet::new(),
            unsent: BTreeSet::new(),
            answers: Vec::new(),
            pending: None,
            flushed_at: BootTime::ZERO,
            books: BTreeMap::new(),
            sizes: SizeBook::default(),
            calls,
            reply_sender,
            replies,
            started_at: now,
            watched_at: BootTime::ZERO,
            usage_at: BootTime::ZERO,
            renewed_at: BootTime::ZERO,
            fenced: false,
            jitter: 1,
            requests: BTreeMap::new(),
            counter: 0,
            payload: 0,
        }
    }

    /// Takes over jobs that another holder recorded.
    pub(crate) fn inherit(&mut self, states: Vec<JobState>) {
        for state in states {
            let job = state.spec.job.clone();
            self.payload += state.spec.payload.len();
            self.note_request(&state);
            self.board.lock().insert(job.clone(), state.clone());
            self.index(&job, &state);
            self.jobs.insert(job, HeldJob::inherited(state));
        }
    }

    /// Serves orders until the service stops, the log is taken over, or `inbox` has
    /// closed and all jobs ended long ago.
    pub(crate) fn run(mut self, inbox: &Receiver<JobOrder>) {
        while !self.shared.is_stopping() && !self.fenced {
            self.take_orders(inbox);
            self.take_replies();
            self.watch_surroundings();
            self.renew_leases();
            self.start_jobs();
            self.flush_if_due();
            self.send_recorded();
            self.forget_ended();
            if self.is_idle() && inbox.is_empty() && self.is_orphan() {
                break;
            }
        }
        self.close();
    }
}

impl JobHolder {
    /// Replaces the state of a job, to be recorded if `record` is set.
    pub(crate) fn set_state(&mut self, job: &JobId, state: JobState, record: bool) {
        let Some(held) = self.jobs.get_mut(job) else {
            return;
        };
        let was = std::mem::replace(&mut held.state, state);
        let placed = held.state.kind() == PhaseKind::Placed;
        if !placed {
            held.permit = None;
            held.silent_since = None;
            held.inherited = false;
        }
        let state = held.state.clone();
        if was.kind() == PhaseKind::Placed && !placed {
            self.release(&was);
        }
        self.unindex(job, &was);
        self.index(job, &state);
        if record {
            self.dirty.insert(job.clone());
        } else if let Some(shown) = self.board.lock().get_mut(job) {
            // Running is not worth a write of its own: whoever takes over asks the worker.
            shown.phase = state.phase;
        }
    }

    fn release(&mut self, was: &JobState) {
        if let Some(book) = self.books.get_mut(&was.spec.pool) {
            book.note_released(&was.worker, &was.spec.job);
        }
    }

    /// True for a log that was taken over from another holder.
    pub(crate) fn is_orphan(&self) -> bool {
        !self.shared.is_own_log(self.log.name())
    }

    fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.dirty.is_empty() && self.pending.is_none()
    }

    fn index(&mut self, job: &JobId, state: &JobState) {
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

    fn unindex(&mut self, job: &JobId, state: &JobState) {
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

    fn take_orders(&mut self, inbox: &Receiver<JobOrder>) {
        let Ok(first) = inbox.recv_timeout(TICK) else {
            return;
        };
        let rest: Vec<JobOrder> = inbox.try_iter().take(ORDERS_AT_ONCE).collect();
        for order in std::iter::once(first).chain(rest) {
            match order {
                JobOrder::Submit {
                    request,
                    pool,
                    reply,
                } => self.accept(*request, pool, reply),
                JobOrder::Cancel { team, job, reply } => self.cancel(&team, &job, &reply),
            }
        }
    }

    /// Queues a submission; it is answered once it is recorded.
    fn accept(&mut self, request: JobRequest, pool: PoolId, reply: ReplySender) {
        let key = (request.team.clone(), request.request.to_string());
        if let Some(job) = self.requests.get(&key) {
            self.answer_repeat(&job.clone(), reply);
            return;
        }
        if self.jobs.len().saturating_sub(self.ended.len()) >= MOST_JOBS
            || self.payload >= MOST_PAYLOAD
        {
            let _ = reply.send(Err(JobError::QueueFull));
            return;
        }
        self.counter += 1;
        let job: JobId = format!("{}-{}", self.log.name(), self.counter).into();
        let state = JobState::queued(JobSpec {
            job: job.clone(),
            request: request.request,
            team: request.team,
            service: request.service,
            pool,
            payload: request.payload,
            cores: request.cores,
            memory_mb: request.memory_mb,
            accelerators: request.accelerators,
            run_time: request.run_time,
            idempotent: request.idempotent,
            accepted: self.shared.clock.unix_now(),
        });
        self.payload += state.spec.payload.len();
        self.note_request(&state);
        self.index(&job, &state);
        self.jobs.insert(job.clone(), HeldJob::new(state));
        self.dirty.insert(job.clone());
        self.answers.push((job, reply));
    }

    /// Answers a repeated submission, once the first is recorded.
    fn answer_repeat(&mut self, job: &JobId, reply: ReplySender) {
        let recorded = self.board.lock().get(job).map(view_of);
        match recorded {
            Some(view) => {
                let _ = reply.send(Ok(view));
            }
            None => self.answers.push((job.clone(), reply)),
        }
    }

    fn cancel(&mut self, team: &TeamId, job: &JobId, reply: &ReplySender) {
        let known = self.jobs.get(job);
        if known.is_none_or(|held| held.state.spec.team != *team) {
            let _ = reply.send(Err(JobError::NotFound));
            return;
        }
        self.cancel_job(job);
        self.answers.push((job.clone(), reply.clone()));
    }

    /// Cancels a job of this log; one that a worker has is stopped there.
    pub(crate) fn cancel_job(&mut self, job: &JobId) {
        let Some(held) = self.jobs.get(job) else {
            return;
        };
        let now = self.shared.clock.unix_now();
        let next = held.state.cancelled(now);
        self.set_state(job, next, true);
    }

    fn note_request(&mut self, state: &JobState) {
        let key = (state.spec.team.clone(), state.spec.request.to_string());
        self.requests.insert(key, state.spec.job.clone());
    }

    /// Takes back a job that could not be recorded.
    pub(crate) fn withdraw(&mut self, job: &JobId) {
        let Some(held) = self.jobs.remove(job) else {
            return;
        };
        self.unindex(job, &held.state);
        self.release(&held.state);
        self.dirty.remove(job);
        self.drop_request(&held.state);
    }

    fn forget_ended(&mut self) {
        let now = self.shared.clock.unix_now();
        while let Some((at, job)) = self.ended.first().cloned() {
            let kept = now < at + self.timing.keep_ended && self.ended.len() <= MOST_ENDED;
            if kept || self.dirty.contains(&job) {
                return;
            }
            self.ended.remove(&(at, job.clone()));
            if let Some(held) = self.jobs.remove(&job) {
                self.drop_request(&held.state);
            }
            self.board.lock().remove(&job);
            self.log.forget(&job);
        }
    }

    fn drop_request(&mut self, state: &JobState) {
        self.payload = self.payload.saturating_sub(state.spec.payload.len());
        let key = (state.spec.team.clone(), state.spec.request.to_string());
        self.requests.remove(&key);
    }

    /// Answers whoever still waits, and leaves nothing behind on the board.
    fn close(mut self) {
        for (_, reply) in self.answers.drain(..) {
            let _ = reply.send(Err(JobError::Unknown("the holder stopped".to_owned())));
        }
        let mut board = self.board.lock();
        for job in self.jobs.keys() {
            board.remove(job);
        }
        drop(board);
        self.keep_permits();
        if self.is_orphan() && self.jobs.is_empty() && !self.fenced {
            self.log.clear();
            self.shared
                .finished_logs
                .lock()
                .insert(self.log.name().to_owned());
        }
    }

    /// Keeps the units of the team limits until what this holder started must have ended.
    ///
    /// Whoever took the log over asks for units of its own. Were these free at once, the
    /// team could start as many again while its tasks still run.
    fn keep_permits(&mut self) {
        let until = self.shared.clock.boot_now() + self.policy.lease + self.policy.lease_guard;
        let permits = self.jobs.values_mut().filter_map(|held| held.permit.take());
        let mut late = self.shared.late_permits.lock();
        late.extend(permits.map(|permit| (until, permit)));
    }
}
