use std::{rc::Rc, time::Duration};

use model::event as log_event;
use ports::{LeaseStoreError, StoreOutcome};
use prost::Message;
use tokio::time::{Instant, sleep, timeout};
use wire::work::{JobRecord, LogEntry, StepRecord, log_entry::Event};

use crate::{
    event,
    log_cache::LogSummary,
    log_compact::compact_log,
    log_page::{encode_page, max_page_bytes},
    log_pages::LogPages,
    log_queue::{PendingRecord, RecordOutcome},
    metric,
    term::Term,
};

/// How long an entry that somebody waits for is retried while the store refuses calls. Its caller
/// knows that the entry is not recorded and can go elsewhere, so a longer wait would only delay it.
const AWAITED_ENTRY_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Writes the log of a term until the term is over.
pub(crate) async fn write_log(term: Rc<Term>, found: LogSummary) {
    let mut pages = LogPages::from_summary(found);
    loop {
        wait_for_entries(&term).await;
        term.log_queue.writing.set(true);
        if write_page(&term, &mut pages).await.is_none() {
            return;
        }
        term.log_queue.writing.set(false);
        if pages.needs_compaction() && compact_log(&term, &mut pages).await.is_none() {
            return;
        }
    }
}

async fn wait_for_entries(term: &Term) {
    let queue = &term.log_queue;
    while queue.pending.borrow().is_empty() {
        queue.entry_added.notified().await;
    }
    let urgent = queue
        .pending
        .borrow()
        .iter()
        .any(|record| record.order.urgent);
    if !urgent {
        // A timeout is the usual case: nobody waits for these entries.
        let _ = timeout(term.options.max_record_delay, queue.urgent_added.notified()).await;
    }
}

/// The entries of the page that is being written.
#[derive(Default)]
struct PageBatch {
    records: Vec<PendingRecord>,
    /// Whether the page may be in the store, or may still get there.
    sent: bool,
}

impl Drop for PageBatch {
    /// Entries that were not sent when the term ends are never written, so those who wait for them
    /// can be told so.
    fn drop(&mut self) {
        if !self.sent {
            self.records.drain(..).for_each(PendingRecord::refuse);
        }
    }
}

/// Writes the next page if there are entries; returns `None` once the term is over.
async fn write_page(term: &Term, pages: &mut LogPages) -> Option<()> {
    let page = pages.next_page();
    let mut batch = PageBatch::default();
    loop {
        let unconfirmed = batch.sent;
        if !unconfirmed {
            // The last attempt can't have reached the store, so the page may still change.
            batch.refuse_expired(term);
            batch.take_pending(term);
        }
        if batch.records.is_empty() {
            return Some(());
        }
        let started = Instant::now();
        let value = pages.with_bounds(encode_page(batch.entries()));
        let change = pages.write_change(&term.options, term.token, value.clone());
        batch.sent = true;
        let outcome = term.ports.store.change(change).await;
        metric::record_duration(metric::RECORD_SECONDS, started.elapsed());
        match outcome {
            Ok(StoreOutcome::Done(_)) => {
                pages.page_written(&term.log_cache, value);
                apply_stored(term, page, std::mem::take(&mut batch.records));
                return Some(());
            }
            Ok(StoreOutcome::Conflict(items)) => {
                // Only the owner writes pages, so an existing page is the one whose response was
                // lost.
                let ours = term.holds_owner_entry(&items);
                if ours && unconfirmed {
                    pages.page_written(&term.log_cache, value);
                    apply_stored(term, page, std::mem::take(&mut batch.records));
                    return Some(());
                }
                batch.sent = unconfirmed;
                term.end(if ours { "page taken" } else { "succeeded" });
                return None;
            }
            Ok(StoreOutcome::LeaseEnded) => {
                batch.sent = unconfirmed;
                term.end("lease ended");
                return None;
            }
            Err(error) => {
                batch.sent = unconfirmed || !matches!(error, LeaseStoreError::Refused(_));
                log_fault(term, page, &error, batch.sent);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

impl PageBatch {
    fn entries(&self) -> Vec<LogEntry> {
        let records = self.records.iter();
        records.map(|record| record.order.entry.clone()).collect()
    }

    fn take_pending(&mut self, term: &Term) {
        let mut pending = term.log_queue.pending.borrow_mut();
        let limit = max_page_bytes(&term.options.limits);
        let size = |record: &PendingRecord| record.order.entry.encoded_len();
        let mut bytes: usize = self.records.iter().map(size).sum();
        while let Some(next) = pending.front() {
            bytes += size(next);
            if bytes > limit && !self.records.is_empty() {
                return;
            }
            self.records.extend(pending.pop_front());
        }
    }

    /// Refuses entries that somebody waits for and that could not be written for some time.
    fn refuse_expired(&mut self, term: &Term) {
        let now = term.now().boot;
        let old = |record: &PendingRecord| {
            record.reply.is_some() && now.saturating_sub(record.queued_at) >= AWAITED_ENTRY_TIMEOUT
        };
        let (refused, kept) = self.records.drain(..).partition(old);
        self.records = kept;
        let refused: Vec<PendingRecord> = refused;
        refused.into_iter().for_each(PendingRecord::refuse);
    }
}

fn apply_stored(term: &Term, page: u64, batch: Vec<PendingRecord>) {
    term.log_queue.failing.set(false);
    metrics::counter!(metric::LOG_WRITES, "outcome" => "stored").increment(1);
    let now = term.now();
    let mut scheduler = term.scheduler.borrow_mut();
    for record in batch {
        match &record.order.entry.event {
            Some(Event::Accepted(job)) => {
                scheduler.accept_job(job, now);
                let waited = now.boot.saturating_sub(record.queued_at);
                metric::record_duration(metric::ACCEPT_SECONDS, waited);
                let work = scheduler.job_table.jobs.get(job.job.as_str());
                let work = work.map_or(0.0, |job| job.plan.core_seconds());
                let mut hosts = term.hosts.borrow_mut();
                hosts
                    .meter
                    .record_arrival(&job.pool.as_str().into(), work, now.boot);
                log_event::info(
                    &event::JOB_RECORDED,
                    format_args!(
                        "job={} queue={} workspace={} steps={} page={page} waited_ms={}",
                        job.job,
                        job.queue,
                        job.workspace,
                        steps_text(job),
                        waited.as_millis()
                    ),
                );
            }
            Some(Event::Cancelled(job)) => {
                scheduler.cancel(&job.as_str().into(), now);
                log_event::info(&event::JOB_CANCELLED, format_args!("job={job} page={page}"));
            }
            _ => {}
        }
        scheduler.handle_stored_entry(&record.order, now);
        if let Some(reply) = record.reply {
            // The caller may have disconnected; the entry is valid all the same.
            let _ = reply.send(RecordOutcome::Stored);
        }
    }
    drop(scheduler);
    term.log_queue.page_stored.notify_waiters();
    term.wake.notify_one();
}

/// The steps of a job as one word: number of tasks, thousandths of a core, estimate in
/// milliseconds, and letters for further properties.
fn steps_text(job: &JobRecord) -> String {
    let step = |step: &StepRecord| {
        let letters = [
            (step.long_running, 'l'),
            (step.fills, 'f'),
            (step.gang, 'g'),
            (step.saves_progress, 's'),
            (step.speculative, 'c'),
        ];
        let set = letters
            .iter()
            .filter(|(set, _)| *set)
            .map(|(_, letter)| *letter);
        let letters: String = set.collect();
        let apart = match step.anti_affinity {
            0 => String::new(),
            most => format!("a{most}"),
        };
        format!(
            "{}x{}c{}ms{letters}{apart}",
            step.count, step.cpu, step.estimate_ms
        )
    };
    job.steps.iter().map(step).collect::<Vec<_>>().join("+")
}

fn log_fault(term: &Term, page: u64, error: &LeaseStoreError, unsure: bool) {
    metrics::counter!(metric::LOG_WRITES, "outcome" => "failed").increment(1);
    if !term.log_queue.failing.replace(true) {
        log_event::warn(
            &event::RECORD_FAILED,
            format_args!("page={page} cause=\"{error}\" unsure={unsure} next=retry"),
        );
    }
}
