use std::time::Duration;

use crossbeam_channel::Receiver;
use decide::job::{JobSpec, JobState};
use model::{JobId, PoolId, TeamId};
use ports::{JobError, JobRequest};

use crate::{
    held_job::{HeldJob, view_of},
    holder_order::{JobOrder, ReplySender},
    job_holder::JobHolder,
};

/// Maximum wait for orders before the other work of the loop runs.
const TICK: Duration = Duration::from_millis(20);
/// Maximum number of orders processed in one iteration, after the first.
const ORDERS_AT_ONCE: usize = 1024;
/// Maximum number of unfinished jobs; further submissions are rejected.
const MAX_JOBS: usize = 20_000;
/// Total payload bytes above which submissions are rejected.
const MAX_PAYLOAD: usize = 24 * 1024 * 1024;

impl JobHolder {
    pub(crate) fn process_orders(&mut self, inbox: &Receiver<JobOrder>) {
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
                } => self.accept_submission(*request, pool, reply),
                JobOrder::Cancel { team, job, reply } => self.cancel(&team, &job, &reply),
            }
        }
    }

    /// Queues a submission; the reply is sent once the job is recorded.
    fn accept_submission(&mut self, request: JobRequest, pool: PoolId, reply: ReplySender) {
        let key = (request.team.clone(), request.request.to_string());
        if let Some(job) = self.requests.get(&key) {
            self.answer_repeat(&job.clone(), reply);
            return;
        }
        if self.jobs.len().saturating_sub(self.ended.len()) >= MAX_JOBS
            || self.payload >= MAX_PAYLOAD
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
        self.index_request(&state);
        self.index_job(&job, &state);
        self.jobs.insert(job.clone(), HeldJob::new(state));
        self.dirty.insert(job.clone());
        self.pending_replies.push((job, reply));
    }

    /// Replies to a repeated submission once the first is recorded.
    fn answer_repeat(&mut self, job: &JobId, reply: ReplySender) {
        let recorded = self.job_table.lock().get(job).map(view_of);
        match recorded {
            Some(view) => {
                let _ = reply.send(Ok(view));
            }
            None => self.pending_replies.push((job.clone(), reply)),
        }
    }

    fn cancel(&mut self, team: &TeamId, job: &JobId, reply: &ReplySender) {
        let known = self.jobs.get(job);
        if known.is_none_or(|held| held.state.spec.team != *team) {
            let _ = reply.send(Err(JobError::NotFound));
            return;
        }
        self.cancel_job(job);
        self.pending_replies.push((job.clone(), reply.clone()));
    }

    /// Cancels a job of this log; if it runs on a worker, it is stopped there.
    pub(crate) fn cancel_job(&mut self, job: &JobId) {
        let Some(held) = self.jobs.get(job) else {
            return;
        };
        let now = self.shared.clock.unix_now();
        let next = held.state.cancelled(now);
        self.set_state(job, next, true);
    }

    pub(crate) fn index_request(&mut self, state: &JobState) {
        let key = (state.spec.team.clone(), state.spec.request.to_string());
        self.requests.insert(key, state.spec.job.clone());
    }

    /// Removes a job that could not be recorded.
    pub(crate) fn remove_unrecorded(&mut self, job: &JobId) {
        let Some(held) = self.jobs.remove(job) else {
            return;
        };
        self.unindex_job(job, &held.state);
        self.release(&held.state);
        self.dirty.remove(job);
        self.unindex_request(&held.state);
    }

    pub(crate) fn unindex_request(&mut self, state: &JobState) {
        self.payload = self.payload.saturating_sub(state.spec.payload.len());
        let key = (state.spec.team.clone(), state.spec.request.to_string());
        self.requests.remove(&key);
    }
}
