use std::{rc::Rc, time::Duration};

use model::event as log_event;
use ports::{StoreError, StoreOutcome};
use prost::Message;
use tokio::time::{Instant, sleep, timeout};
use wire::work::{JobRecord, LogEntry, StepRecord, log_entry::Event};

use crate::{
    event,
    log_compact::compact,
    log_copy::LogSummary,
    log_page::{largest_page, page_bytes},
    log_pages::LogPages,
    log_queue::{PendingRecord, RecordOutcome},
    metric,
    term::Term,
};

/// How long an entry that somebody waits for is tried while the store refuses calls. Waiting
/// longer would keep a caller from going elsewhere with work that is surely not recorded.
const REFUSED_PATIENCE: Duration = Duration::from_millis(150);
/// Pause after a failed write.
const FAULT_PAUSE: Duration = Duration::from_millis(25);

/// Writes the log of a term, until the term is over.
pub(crate) async fn write_log(term: Rc<Term>, found: LogSummary) {
    let mut pages = LogPages::found(found);
    loop {
        wait_for_entries(&term).await;
        term.log.writing.set(true);
        if write_page(&term, &mut pages).await.is_none() {
            return;
        }
        term.log.writing.set(false);
        if pages.is_long() && compact(&term, &mut pages).await.is_none() {
            return;
        }
    }
}

async fn wait_for_entries(term: &Term) {
    let log = &term.log;
    while log.pending.borrow().is_empty() {
        log.any.notified().await;
    }
    let urgent = log
        .pending
        .borrow()
        .iter()
        .any(|record| record.order.urgent);
    if !urgent {
        // A timeout is the ordinary case: nobody waits for these entries.
        let _ = timeout(term.options.record_pause, log.urgent.notified()).await;
    }
}

/// The records of a page that is being written.
#[derive(Default)]
struct PageRecords {
    records: Vec<PendingRecord>,
    /// Whether the page may be in the store, or get there.
    sent: bool,
}

impl Drop for PageRecords {
    /// What was not sent when the term ends is never written, and whoever waits can be told so.
    fn drop(&mut self) {
        if !self.sent {
            self.records.drain(..).for_each(PendingRecord::refuse);
        }
    }
}

/// Writes the next page, if there is something to write; `None` once the term is over.
async fn write_page(term: &Term, pages: &mut LogPages) -> Option<()> {
    let page = pages.next();
    let mut taken = PageRecords::default();
    loop {
        let unsure = taken.sent;
        if !unsure {
            // Nothing of the last attempt can be in the store, so the page may still change.
            taken.refuse_old(term);
            taken.take_pending(term);
        }
        if taken.records.is_empty() {
            return Some(());
        }
        let started = Instant::now();
        let value = pages.stamped(page_bytes(taken.entries()));
        let change = pages.change(&term.options, term.token, value.clone());
        taken.sent = true;
        let outcome = term.ports.store.change(change).await;
        metric::time(metric::RECORD_SECONDS, started.elapsed());
        match outcome {
            Ok(StoreOutcome::Done(_)) => {
                pages.wrote(&term.copy, value);
                settle(term, page, std::mem::take(&mut taken.records));
                return Some(());
            }
            Ok(StoreOutcome::Conflict(items)) => {
                // Only the owner writes pages, so a page that is there is the one whose
                // answer was lost.
                let ours = term.stands_in(&items);
                if ours && unsure {
                    pages.wrote(&term.copy, value);
                    settle(term, page, std::mem::take(&mut taken.records));
                    return Some(());
                }
                taken.sent = unsure;
                term.end(if ours { "page taken" } else { "succeeded" });
                return None;
            }
            Ok(StoreOutcome::LeaseEnded) => {
                taken.sent = unsure;
                term.end("lease ended");
                return None;
            }
            Err(error) => {
                taken.sent = unsure || !matches!(error, StoreError::Refused(_));
                note_fault(term, page, &error, taken.sent);
                sleep(FAULT_PAUSE).await;
            }
        }
    }
}

impl PageRecords {
    fn entries(&self) -> Vec<LogEntry> {
        let records = self.records.iter();
        records.map(|record| record.order.entry.clone()).collect()
    }

    fn take_pending(&mut self, term: &Term) {
        let mut pending = term.log.pending.borrow_mut();
        let most = largest_page(&term.options.limits);
        let size = |record: &PendingRecord| record.order.entry.encoded_len();
        let mut bytes: usize = self.records.iter().map(size).sum();
        while let Some(next) = pending.front() {
            bytes += size(next);
            if bytes > most && !self.records.is_empty() {
                return;
            }
            self.records.extend(pending.pop_front());
        }
    }

    /// Refuses what somebody waits for and could not be written for some time.
    fn refuse_old(&mut self, term: &Term) {
        let now = term.now().boot;
        let old = |record: &PendingRecord| {
            record.done.is_some() && now.saturating_sub(record.since) >= REFUSED_PATIENCE
        };
        let (refused, kept) = self.records.drain(..).partition(old);
        self.records = kept;
        let refused: Vec<PendingRecord> = refused;
        refused.into_iter().for_each(PendingRecord::refuse);
    }
}

fn settle(term: &Term, page: u64, taken: Vec<PendingRecord>) {
    term.log.failing.set(false);
    metrics::counter!(metric::LOG_WRITES, "outcome" => "stored").increment(1);
    let now = term.now();
    let mut desk = term.desk.borrow_mut();
    for record in taken {
        match &record.order.entry.event {
            Some(Event::Accepted(job)) => {
                desk.accept(job, now);
                let waited = now.boot.saturating_sub(record.since);
                metric::time(metric::ACCEPT_SECONDS, waited);
                let work = desk.board.jobs.get(job.job.as_str());
                let work = work.map_or(0.0, |job| job.plan.work());
                let mut hosts = term.hosts.borrow_mut();
                hosts
                    .meter
                    .arrived(&job.pool.as_str().into(), work, now.boot);
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
                desk.cancel(&job.as_str().into(), now);
                log_event::info(&event::JOB_CANCELLED, format_args!("job={job} page={page}"));
            }
            _ => {}
        }
        desk.recorded(&record.order, now);
        if let Some(done) = record.done {
            // The caller may have gone; the entry counts all the same.
            let _ = done.send(RecordOutcome::Stored);
        }
    }
    drop(desk);
    term.log.stored.notify_waiters();
    term.wake.notify_one();
}

/// The steps of a job in one word: tasks, thousandths of a core, estimate in milliseconds, and
/// a letter for what matters beyond these.
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

fn note_fault(term: &Term, page: u64, error: &StoreError, unsure: bool) {
    metrics::counter!(metric::LOG_WRITES, "outcome" => "failed").increment(1);
    if !term.log.failing.replace(true) {
        log_event::warn(
            &event::RECORD_FAILED,
            format_args!("page={page} cause=\"{error}\" unsure={unsure} next=retry"),
        );
    }
}
