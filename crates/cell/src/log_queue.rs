use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
};

use decide::work::LogAppend;
use model::BootTime;
use tokio::sync::{Notify, oneshot};
use wire::work::{LogEntry, log_entry::Event};

/// The outcome of an entry whose sender waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordOutcome {
    /// It is stored.
    Stored,
    /// It is not stored and never will be.
    Refused,
}

/// An entry waiting to be written.
pub(crate) struct PendingRecord {
    pub(crate) order: LogAppend,
    /// When it was queued.
    pub(crate) queued_at: BootTime,
    /// Receives the outcome, if the sender waits for it.
    pub(crate) reply: Option<oneshot::Sender<RecordOutcome>>,
}

impl PendingRecord {
    /// Reports to the sender that the entry was not written and never will be.
    pub(crate) fn refuse(self) {
        if let Some(reply) = self.reply {
            // The receiver may have been dropped.
            let _ = reply.send(RecordOutcome::Refused);
        }
    }
}

/// An entry that acknowledges no end and belongs to no job's state. It is urgent if somebody waits
/// for it.
pub(crate) fn record_order(event: Event, urgent: bool) -> LogAppend {
    LogAppend {
        entry: LogEntry { event: Some(event) },
        origin: None,
        job: None,
        urgent,
    }
}

/// Log entries that wait to be written.
///
/// At most one write is in progress. The next one carries all entries that were queued meanwhile.
#[derive(Default)]
pub(crate) struct LogQueue {
    /// Entries that have not been written yet, oldest first.
    pub(crate) pending: RefCell<VecDeque<PendingRecord>>,
    /// Notified of entries that somebody waits for.
    pub(crate) urgent_added: Notify,
    /// Notified of all entries.
    pub(crate) entry_added: Notify,
    /// Notified after each stored page.
    pub(crate) page_stored: Notify,
    /// Whether a page is being written; its entries are no longer in `pending`.
    pub(crate) writing: Cell<bool>,
    /// Estimated bytes that the entries of one open job take, as of the last measurement.
    pub(crate) job_bytes: Cell<f64>,
    /// Whether the last write failed, so that new work is refused at once.
    pub(crate) failing: Cell<bool>,
}

impl LogQueue {
    /// Queues an entry whose outcome nobody waits for.
    pub(crate) fn push(&self, order: LogAppend, now: BootTime) {
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

    /// Queues an entry and returns a receiver of its outcome; if the channel closes, the outcome is
    /// unknown.
    pub(crate) fn push_awaited(
        &self,
        order: LogAppend,
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

    /// Removes a queued acceptance of a job whose caller no longer waits; false if it may have been
    /// written.
    pub(crate) fn withdraw_acceptance(&self, job: &str) -> bool {
        let accepts = |record: &PendingRecord| match &record.order.entry.event {
            Some(Event::Accepted(accepted)) => accepted.job == job,
            _ => false,
        };
        let mut pending = self.pending.borrow_mut();
        let found = pending.iter().position(accepts);
        found.and_then(|at| pending.remove(at)).is_some()
    }

    /// Refuses all queued entries when the term is over.
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
