//! Cancellations that no owner could record when they were requested.
//!
//! The process that received such a call writes the cancellation to the store itself, so that it
//! persists even if the cell has no owner. Each owner reads these cancellations before it starts
//! anything, watches them, and moves them into its log. `docs/design/13-platform.md` explains why.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use decide::watch_bounds::longest_watch;
use model::{BootTime, JobId, event as log_event};
use ports::{
    LeaseStore, LeaseStoreError, StoreChange, StoreEvent, StoreItem, StoreRevision, StoreWrite,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};
use wire::work::log_entry::Event;

use crate::{
    cell_options::CellOptions,
    event,
    log_queue::{RecordOutcome, record_order},
    metric,
    prefix_watch::{PrefixObserver, watch_prefix},
    term::{CANCELLATIONS_MAX_AGE, Term},
    watch_timeout::WatchTimeout,
};

/// Delay after a failed call or a refused entry.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of cancellations that a process retries at once; callers of further ones have to
/// retry themselves.
const MAX_PENDING: usize = 256;
/// For how long writes are retried without success; outages of the store last about as long.
const PERSIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a failed write is retried.
const PERSIST_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of keys in one change: the store takes 32 entries, one of which may be the
/// owner's.
const MAX_KEYS_PER_CHANGE: usize = 28;

/// Writes cancellations to the store, for the process that callers called.
pub(crate) struct CancellationWriter {
    store: Rc<dyn LeaseStore>,
    options: Rc<CellOptions>,
    /// Jobs whose cancellations are retried until the store accepts them.
    pending: RefCell<BTreeSet<JobId>>,
    /// Notified when none is pending any more.
    flushed: Notify,
}

impl CancellationWriter {
    pub(crate) fn new(store: Rc<dyn LeaseStore>, options: Rc<CellOptions>) -> Self {
        Self {
            store,
            options,
            pending: RefCell::default(),
            flushed: Notify::new(),
        }
    }

    /// Waits until all pending cancellations are stored or given up.
    pub(crate) async fn flush(&self) {
        let flushed = self.flushed.notified();
        if !self.pending.borrow().is_empty() {
            flushed.await;
        }
    }

    /// Stores the cancellation of a job, for the owner to record.
    ///
    /// # Errors
    /// If it is not known to be stored.
    pub(crate) async fn persist(&self, job: &str) -> Result<(), LeaseStoreError> {
        self.write(&[job.into()]).await
    }

    /// Retries storing the cancellation of a job in the background, whether or not its caller
    /// retries.
    pub(crate) fn persist_with_retry(self: &Rc<Self>, job: &str) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= MAX_PENDING {
            return;
        }
        let first = pending.is_empty();
        pending.insert(job.into());
        if first {
            tokio::task::spawn_local(self.clone().persist_pending());
        }
    }

    /// Retries until all pending cancellations are stored, or none could be stored for a long time.
    async fn persist_pending(self: Rc<Self>) {
        let mut end = Instant::now() + PERSIST_TIMEOUT;
        loop {
            let jobs = self.next_batch();
            if jobs.is_empty() || Instant::now() >= end {
                break;
            }
            if self.write(&jobs).await.is_ok() {
                let mut pending = self.pending.borrow_mut();
                jobs.iter().for_each(|job| {
                    pending.remove(job);
                });
                end = Instant::now() + PERSIST_TIMEOUT;
            } else {
                sleep(PERSIST_RETRY_DELAY).await;
            }
        }
        self.pending.borrow_mut().clear();
        self.flushed.notify_waiters();
    }

    fn next_batch(&self) -> Vec<JobId> {
        let pending = self.pending.borrow();
        pending.iter().take(MAX_KEYS_PER_CHANGE).cloned().collect()
    }

    async fn write(&self, jobs: &[JobId]) -> Result<(), LeaseStoreError> {
        let write = |job: &JobId| StoreWrite {
            key: self.options.cancellation_key(job),
            value: job.as_bytes().to_vec(),
            lease: None,
        };
        let change = StoreChange {
            writes: jobs.iter().map(write).collect(),
            ..StoreChange::default()
        };
        self.store.change(change).await?;
        for job in jobs {
            metrics::counter!(metric::CANCELLATIONS_KEPT).increment(1);
            log_event::info(&event::CANCEL_KEPT, format_args!("job={job}"));
        }
        Ok(())
    }
}

/// Watches the stored cancellations for as long as the term lasts, and records them in the log.
pub(crate) async fn watch_cancellations(term: Rc<Term>) {
    let prefix = term.options.cancellation_prefix();
    let observer = CancellationObserver { term: term.clone() };
    let store = term.ports.store.clone();
    let timeout = WatchTimeout::new(longest_watch(CANCELLATIONS_MAX_AGE));
    watch_prefix(store, &prefix, &timeout, &observer).await;
}

struct CancellationObserver {
    term: Rc<Term>,
}

impl CancellationObserver {
    fn record(&self, items: &[StoreItem]) {
        let jobs = job_ids(items, &self.term.options.cancellation_prefix());
        if jobs.is_empty() {
            return;
        }
        // A stored cancellation is durable, so it takes effect before it is in the log.
        let now = self.term.now();
        for job in &jobs {
            self.term.scheduler.borrow_mut().cancel(job, now);
        }
        self.term.wake.notify_one();
        self.term
            .spawn(record_cancellations(self.term.clone(), jobs));
    }
}

impl PrefixObserver for CancellationObserver {
    fn reset(&self, items: Vec<StoreItem>, _revision: StoreRevision) {
        self.record(&items);
    }

    fn apply(&self, event: StoreEvent) {
        if let StoreEvent::Written(item) = event {
            self.record(&[item]);
        }
    }

    fn caught_up_to(&self, sent: BootTime) {
        self.term.cancellations_read(sent);
    }
}

fn job_ids(items: &[StoreItem], prefix: &str) -> Vec<JobId> {
    let names = items
        .iter()
        .filter_map(|item| item.key.strip_prefix(prefix));
    names.map(JobId::from).collect()
}

/// Moves cancellations into the log. Their keys are removed only once the log entries are stored.
async fn record_cancellations(term: Rc<Term>, jobs: Vec<JobId>) {
    let mut left = jobs.clone();
    while !left.is_empty() {
        left = record_once(&term, left).await;
        if !left.is_empty() {
            sleep(RETRY_DELAY).await;
        }
    }
    for part in jobs.chunks(MAX_KEYS_PER_CHANGE) {
        remove_recorded(&term, part).await;
    }
}

/// Writes a log entry for each job; returns the jobs whose entries are not known to be stored.
async fn record_once(term: &Term, jobs: Vec<JobId>) -> Vec<JobId> {
    let now = term.now().boot;
    let record = |job: JobId| {
        let order = record_order(Event::Cancelled(job.to_string()), true);
        (term.log_queue.push_awaited(order, now), job)
    };
    let waits: Vec<_> = jobs.into_iter().map(record).collect();
    let mut left = Vec::new();
    for (outcome, job) in waits {
        if outcome.await != Ok(RecordOutcome::Stored) {
            left.push(job);
        }
    }
    left
}

/// Removes the keys of recorded cancellations. If a key remains, the next owner records it once
/// more, which changes nothing.
async fn remove_recorded(term: &Term, jobs: &[JobId]) {
    let change = StoreChange {
        expect: vec![(term.options.owner_key(), term.token)],
        removes: jobs
            .iter()
            .map(|job| term.options.cancellation_key(job))
            .collect(),
        ..StoreChange::default()
    };
    loop {
        match term.ports.store.change(change.clone()).await {
            Ok(_) => return,
            Err(error) => log::debug!("remove cancellations that are recorded: {error}"),
        }
        sleep(RETRY_DELAY).await;
    }
}
