use std::time::Duration;

use decide::job::JobPhase;
use model::JobId;
use ports::JobError;

use crate::{
    AppendOutcome, event, held_job::view_of, job_holder::JobHolder, pending_flush::PendingFlush,
};

/// Maximum bytes of records in one page. The store accepts values of up to one megabyte.
const MAX_PAGE_BYTES: usize = 700 * 1024;
/// Time between two attempts while the store does not accept writes.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// How long a submission waits for a write whose result is unknown.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

impl JobHolder {
    /// Writes all changed jobs in one store operation if the flush interval has passed.
    ///
    /// Changes are batched for the interval, so that the number of store calls grows with
    /// the number of entry hosts and not with the number of jobs.
    pub(crate) fn flush_if_due(&mut self) {
        let since = self.shared.clock.boot_now().saturating_sub(self.flushed_at);
        let wait = match &self.pending {
            Some(_) => RETRY_INTERVAL,
            None => self.timing.flush_interval,
        };
        let work = self.pending.is_some() || !self.dirty.is_empty();
        if !work || since < wait {
            self.reply_unchanged();
            return;
        }
        self.flushed_at = self.shared.clock.boot_now();
        let flush = match self.pending.take() {
            Some(pending) => pending,
            None => self.collect(),
        };
        self.write_flush(flush);
    }

    fn collect(&mut self) -> PendingFlush {
        let mut flush = PendingFlush {
            records: Vec::new(),
            states: Vec::new(),
            pending_replies: Vec::new(),
            started_at: self.shared.clock.boot_now(),
            unsettled: false,
        };
        let mut bytes = 0;
        let carried = self.log.oldest_jobs().unwrap_or_default();
        let dirty: Vec<JobId> = self.dirty.iter().cloned().chain(carried).collect();
        for job in dirty {
            let Some(held) = self.jobs.get(&job) else {
                self.dirty.remove(&job);
                continue;
            };
            if bytes >= MAX_PAGE_BYTES {
                break;
            }
            let record = held.state.to_record();
            bytes += record.payload.len() + 256;
            flush.records.push(record);
            flush.states.push((job.clone(), held.state.attempt));
            self.dirty.remove(&job);
        }
        let (now, later) = std::mem::take(&mut self.pending_replies)
            .into_iter()
            .partition(|(job, _)| flush.states.iter().any(|(flushed, _)| flushed == job));
        flush.pending_replies = now;
        self.pending_replies = later;
        flush
    }

    fn write_flush(&mut self, mut flush: PendingFlush) {
        metrics::counter!("lws_job_page_writes").increment(1);
        match self.log.append(flush.records.clone()) {
            AppendOutcome::Done => self.complete_flush(flush),
            AppendOutcome::Fenced => {
                model::event::warn(
                    &event::JOB_LOG_LOST,
                    format_args!("log={}", self.log.name()),
                );
                self.fenced = true;
                for (_, reply) in flush.pending_replies {
                    let lost = JobError::Unknown("the job log was taken over".to_owned());
                    let _ = reply.send(Err(lost));
                }
            }
            AppendOutcome::Failed(e) if !flush.unsettled => self.undo_flush(flush, &e.to_string()),
            AppendOutcome::Failed(e) | AppendOutcome::Unsettled(e) => {
                model::event::warn(&event::JOB_PAGE_UNSETTLED, format_args!("cause={e}"));
                flush.unsettled = true;
                self.fail_waiting_replies(&mut flush);
                self.pending = Some(flush);
            }
        }
    }

    fn complete_flush(&mut self, flush: PendingFlush) {
        let mut job_table = self.job_table.lock();
        for (job, attempt) in &flush.states {
            let Some(held) = self.jobs.get_mut(job) else {
                continue;
            };
            job_table.insert(job.clone(), held.state.clone());
            held.recorded_attempt = *attempt;
            if held.state.phase == JobPhase::Starting && held.sent_attempt != held.state.attempt {
                self.unsent.insert(job.clone());
            }
        }
        for (job, reply) in flush.pending_replies {
            let view = job_table.get(&job).map(view_of);
            let _ = reply.send(view.ok_or(JobError::NotFound));
        }
        drop(job_table);
        self.log.remove_oldest();
    }

    /// Handles a write that definitely had no effect: new jobs are rejected, and all other
    /// changes are marked dirty for the next write.
    fn undo_flush(&mut self, flush: PendingFlush, cause: &str) {
        model::event::warn(&event::JOB_PAGE_UNWRITTEN, format_args!("cause={cause}"));
        for (job, reply) in flush.pending_replies {
            let _ = reply.send(Err(JobError::StoreDown(cause.to_owned())));
            if !self.job_table.lock().contains_key(&job) {
                self.remove_unrecorded(&job);
            }
        }
        for (job, _) in flush.states {
            if self.jobs.contains_key(&job) {
                self.dirty.insert(job);
            }
        }
    }

    fn fail_waiting_replies(&self, flush: &mut PendingFlush) {
        if self
            .shared
            .clock
            .boot_now()
            .saturating_sub(flush.started_at)
            < REPLY_TIMEOUT
        {
            return;
        }
        for (_, reply) in flush.pending_replies.drain(..) {
            let _ = reply.send(Err(JobError::Unknown(
                "no answer from the store".to_owned(),
            )));
        }
    }

    /// Replies to requests whose job needs no write, for example because it had already ended.
    fn reply_unchanged(&mut self) {
        if self.pending_replies.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.pending_replies);
        for (job, reply) in waiting {
            if self.dirty.contains(&job) || self.is_pending(&job) {
                self.pending_replies.push((job, reply));
                continue;
            }
            let view = self.job_table.lock().get(&job).map(view_of);
            let _ = reply.send(view.ok_or(JobError::NotFound));
        }
    }

    fn is_pending(&self, job: &JobId) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|flush| flush.states.iter().any(|(flushed, _)| flushed == job))
    }
}
