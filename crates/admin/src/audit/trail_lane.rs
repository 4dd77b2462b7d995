use std::time::{Duration, Instant};

use model::{Incarnation, MemberId, StepError, event as log_event};

use super::{AuditBatch, AuditDraft, AuditStore};
use crate::event;

/// Most entries of one write.
const BATCH_ENTRIES: usize = 64;
/// Most drafts that wait for the store.
const MAX_WAITING: usize = 2048;

/// The drafts on their way to one trail.
pub(crate) struct TrailLane {
    pub(crate) trail: AuditStore,
    member: MemberId,
    incarnation: Incarnation,
    interval: Duration,
    merges: bool,
    batch: u64,
    pending: Option<AuditBatch>,
    waiting: Vec<AuditDraft>,
    flushed: Instant,
}

impl TrailLane {
    /// A lane that writes every `interval` at most.
    pub(crate) fn new(
        trail: AuditStore,
        member: MemberId,
        incarnation: Incarnation,
        interval: Duration,
    ) -> Self {
        Self {
            trail,
            member,
            incarnation,
            interval,
            merges: false,
            batch: 0,
            pending: None,
            waiting: Vec::new(),
            flushed: Instant::now(),
        }
    }

    /// Makes one entry of all drafts of one subject that wait together.
    pub(crate) fn with_merging(self) -> Self {
        Self {
            merges: true,
            ..self
        }
    }

    /// Takes a draft; false if there is no room for it.
    pub(crate) fn add(&mut self, draft: AuditDraft) -> bool {
        let earlier = self
            .waiting
            .iter_mut()
            .find(|waiting| self.merges && waiting.subject == draft.subject);
        if let Some(earlier) = earlier {
            let revision_before = earlier.revision_before;
            *earlier = AuditDraft {
                revision_before,
                ..draft
            };
            return true;
        }
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.push(draft);
        true
    }

    /// Writes what waits, if it is time or `now` is asked for.
    pub(crate) fn flush(&mut self, now: bool) -> Result<(), StepError> {
        if !now && self.flushed.elapsed() < self.interval {
            return Ok(());
        }
        self.flushed = Instant::now();
        self.write_pending()?;
        while !self.waiting.is_empty() {
            let count = self.waiting.len().min(BATCH_ENTRIES);
            let drafts = self.waiting.drain(..count).collect();
            self.append_batch(drafts, 0)?;
        }
        Ok(())
    }

    /// Writes drafts that cover the change log, in order.
    pub(crate) fn append_changes(&mut self, drafts: &[AuditDraft]) -> Result<(), StepError> {
        for part in drafts.chunks(BATCH_ENTRIES) {
            let newest = part.last().map_or(0, |draft| draft.revision_after);
            self.append_batch(part.to_vec(), newest)?;
        }
        Ok(())
    }

    fn append_batch(
        &mut self,
        drafts: Vec<AuditDraft>,
        config_revision: u64,
    ) -> Result<(), StepError> {
        self.write_pending()?;
        self.batch += 1;
        self.pending = Some(AuditBatch {
            member: self.member.to_string(),
            incarnation: self.incarnation,
            batch: self.batch,
            config_revision,
            drafts,
        });
        self.write_pending()
    }

    /// Writes the batch under way, if there is one.
    ///
    /// A batch whose write failed may have taken effect. It is repeated as it was until the
    /// store answers: with further entries in it, the head would show it as written and
    /// those entries would be lost.
    fn write_pending(&mut self) -> Result<(), StepError> {
        let Some(batch) = &self.pending else {
            return Ok(());
        };
        self.trail.append(batch)?;
        let entries = batch.drafts.len();
        self.pending = None;
        metrics::counter!("lws_audit_entries").increment(entries as u64);
        log_event::debug(&event::AUDIT_WRITTEN, format_args!("entries={entries}"));
        Ok(())
    }
}
