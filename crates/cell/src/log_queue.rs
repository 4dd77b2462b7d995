use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
};

use decide::work::RecordOrder;
use model::BootTime;
use tokio::sync::{Notify, oneshot};
use wire::work::{LogEntry, log_entry::Event};

/// What became of an entry that somebody waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordOutcome {
    /// It is stored.
    Stored,
    /// It is not stored and never will be.
    Refused,
}

/// An entry that is to be written.
pub(crate) struct PendingRecord {
    pub(crate) order: RecordOrder,
    /// When it was handed in.
    pub(crate) queued_at: BootTime,
    /// Told what became of it, if somebody waits for that.
    pub(crate) reply: Option<oneshot::Sender<RecordOutcome>>,
}

impl PendingRecord {
    /// Tells whoever waits that the entry is not written and never will be.
    pub(crate) fn refuse(self) {
        if let Some(reply) = self.reply {
            // Whoever waited may have gone.
            let _ = reply.send(RecordOutcome::Refused);
        }
    }
}

/// An entry that settles no end and belongs to no job's state; urgent if somebody waits for it.
pub(crate) fn record_order(event: Event, urgent: bool) -> RecordOrder {
    RecordOrder {
        entry: LogEntry { event: Some(event) },
        origin: None,
        job: None,
        urgent,
    }
}

/// Entries that wait for their page.
///
/// One write is under way at a time, and carries all that has come together since the last.
#[derive(Default)]
pub(crate) struct LogQueue {
    /// What has not been written yet, oldest first.
    pub(crate) pending: RefCell<VecDeque<PendingRecord>>,
    /// Told of entries that somebody waits for.
    pub(crate) urgent_added: Notify,
    /// Told of all entries.
    pub(crate) entry_added: Notify,
    /// Told after each page.
    pub(crate) page_stored: Notify,
    /// Whether a page is being written, with entries that do not wait any more.
    pub(crate) writing: Cell<bool>,
    /// Bytes that the entries of an open job take, as of when the log was last looked through.
    pub(crate) job_bytes: Cell<f64>,
    /// Whether the last write failed, so that new work is refused at once.
    pub(crate) failing: Cell<bool>,
}

impl LogQueue {
    /// Adds an entry that nobody waits for.
    pub(crate) fn push(&self, order: RecordOrder, now: BootTime) {
        let urgent = order.urgent;
        self.pending.borrow_mut().push_back(PendingRecord {
            order,
            queued_at: now,
            reply: None,
        });
        self.entry_added.notify_one();
        if urgent {
            self.urgent_added.notify_one();
        }
    }

    /// Adds an entry and tells what became of it; a closed channel means that nobody knows.
    pub(crate) fn push_awaited(
        &self,
        order: RecordOrder,
        now: BootTime,
    ) -> oneshot::Receiver<RecordOutcome> {
        let (reply, outcome) = oneshot::channel();
        self.pending.borrow_mut().push_back(PendingRecord {
            order,
            queued_at: now,
            reply: Some(reply),
        });
        self.entry_added.notify_one();
        self.urgent_added.notify_one();
        outcome
    }

    /// Takes back the acceptance of a job that nobody waits for any more; false if it may be written.
    pub(crate) fn withdraw_acceptance(&self, job: &str) -> bool {
        let accepts = |record: &PendingRecord| match &record.order.entry.event {
            Some(Event::Accepted(accepted)) => accepted.job == job,
            _ => false,
        };
        let mut pending = self.pending.borrow_mut();
        let found = pending.iter().position(accepts);
        found.and_then(|at| pending.remove(at)).is_some()
    }

    /// Refuses what waits for its page when the term is over.
    pub(crate) fn refuse_pending(&self) {
        self.pending
            .borrow_mut()
            .drain(..)
            .for_each(PendingRecord::refuse);
    }

    /// True if everything has been written.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.borrow().is_empty() && !self.writing.get()
    }

    /// True while writes fail.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing.get()
    }
}
