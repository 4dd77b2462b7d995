use std::sync::Arc;

use model::StepError;
use parking_lot::Mutex;
use prost::Message;
use store::{KeyStore, StoreError, StoreVersion};
use wire::state::{AuditEntry, AuditHead, AuditPage, AuditWriter};

use super::{AuditDraft, append_entry};

/// Entries in the head at which the oldest of them are sealed into a page.
const TAIL_MAX: usize = 48;
/// Entries of a sealed page.
const PAGE_ENTRIES: usize = 32;
/// Pages that are kept; at 4,000 changes a day they hold two weeks.
const MAX_PAGES: u64 = 2048;
/// Writers whose last batch the head remembers; more than there are entry hosts.
const MAX_WRITERS: usize = 64;
/// Attempts before a busy head is left to the next round.
const MAX_ATTEMPTS: usize = 16;

/// Entries that one writer appends in one write.
#[derive(Clone, Debug, Default)]
pub struct AuditBatch {
    /// The entry host that writes.
    pub member: String,
    /// Which life of it.
    pub incarnation: u64,
    /// Count of this writer's batches.
    pub batch: u64,
    /// Newest revision of the configuration that the drafts cover; 0 for none.
    pub config_revision: u64,
    /// The entries.
    pub drafts: Vec<AuditDraft>,
}

/// The trails that are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TrailName {
    /// What operators, members and hosts changed.
    #[default]
    Changes,
    /// How team limits were divided among entry hosts. They move with demand, and would
    /// push everything else out of a trail that they share.
    Grants,
}

impl TrailName {
    const fn prefix(self) -> &'static str {
        match self {
            Self::Changes => "audit",
            Self::Grants => "audit/grants",
        }
    }
}

/// One audit trail in the configuration store.
pub struct AuditStore {
    store: Arc<dyn KeyStore>,
    trail: TrailName,
    head_key: String,
    /// The head as this writer left it, which it need not read again while nobody else
    /// writes. An outdated one costs a conflict and nothing more.
    known: Mutex<Option<(StoreVersion, AuditHead)>>,
}

impl AuditStore {
    /// The trail of that name, kept in `store`.
    pub fn new(store: Arc<dyn KeyStore>, trail: TrailName) -> Self {
        Self {
            store,
            trail,
            head_key: format!("{}/head", trail.prefix()),
            known: Mutex::new(None),
        }
    }

    /// Appends a batch once, also if an answer of the store is lost on the way.
    ///
    /// # Errors
    /// If the store can't be reached or the head stays busy; appending the same batch
    /// again is harmless.
    pub fn append(&self, batch: &AuditBatch) -> Result<(), StepError> {
        for _ in 0..MAX_ATTEMPTS {
            let (version, head) = self.known_head()?;
            // The answer to an earlier attempt may have been lost after the write took
            // effect; writing again would show the same change twice.
            if has_batch(&head, batch) {
                *self.known.lock() = Some((version, head));
                return Ok(());
            }
            let (next, dropped) = self.next_head(head, batch)?;
            match self
                .store
                .swap(&self.head_key, version, &next.encode_to_vec())
            {
                Ok(version) => {
                    *self.known.lock() = Some((version, next));
                    self.remove_pages(&dropped);
                    return Ok(());
                }
                Err(StoreError::Conflict { .. } | StoreError::Unknown(_)) => {}
                Err(error) => {
                    return Err(StepError::new(
                        "write audit head",
                        self.head_key.as_str(),
                        error,
                    ));
                }
            }
        }
        Err(StepError::new(
            "write audit head",
            self.head_key.as_str(),
            "the head is busy",
        ))
    }

    /// Looks at the head as last written or read by this writer, or read now.
    ///
    /// # Errors
    /// If the store can't be read.
    pub fn peek<T>(&self, look: impl FnOnce(&AuditHead) -> T) -> Result<T, StepError> {
        let (version, head) = self.known_head()?;
        let seen = look(&head);
        *self.known.lock() = Some((version, head));
        Ok(seen)
    }

    fn known_head(&self) -> Result<(StoreVersion, AuditHead), StepError> {
        // Taken out: a head whose write fails must be read again.
        match self.known.lock().take() {
            Some(known) => Ok(known),
            None => self.read_head(),
        }
    }

    /// The head with its version, read from the store.
    ///
    /// # Errors
    /// If the store can't be read.
    pub fn read_head(&self) -> Result<(StoreVersion, AuditHead), StepError> {
        let stored = self
            .store
            .read(&self.head_key)
            .map_err(|error| StepError::new("read audit head", self.head_key.as_str(), error))?;
        let Some(stored) = stored else {
            return Ok((0, AuditHead::default()));
        };
        let head = AuditHead::decode(stored.value.as_slice())
            .map_err(|error| StepError::new("decode audit head", self.head_key.as_str(), error))?;
        Ok((stored.version, head))
    }

    /// The entries of a sealed page; `None` if it was dropped.
    ///
    /// # Errors
    /// If the store can't be read.
    pub fn read_page(&self, page: u64) -> Result<Option<Vec<AuditEntry>>, StepError> {
        let key = self.page_key(page);
        let stored = self
            .store
            .read(&key)
            .map_err(|error| StepError::new("read audit page", key.as_str(), error))?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        let page = AuditPage::decode(stored.value.as_slice())
            .map_err(|error| StepError::new("decode audit page", key, error))?;
        Ok(Some(page.entries))
    }
}

impl AuditStore {
    fn page_key(&self, page: u64) -> String {
        format!("{}/page-{page:08}", self.trail.prefix())
    }

    /// The head after `batch`, with the numbers of the pages that it drops.
    fn next_head(
        &self,
        mut head: AuditHead,
        batch: &AuditBatch,
    ) -> Result<(AuditHead, Vec<u64>), StepError> {
        // A batch may be larger than a page, so one page may not be enough.
        while head.tail.len() >= TAIL_MAX {
            self.seal_page(&mut head)?;
        }
        let dropped = self.drop_pages(&mut head)?;
        let is_news = |draft: &AuditDraft| match batch.config_revision {
            0 => !head.tail.iter().any(|entry| is_same(entry, draft)),
            _ => draft.revision_after > head.config_revision,
        };
        let drafts: Vec<&AuditDraft> = batch.drafts.iter().filter(|draft| is_news(draft)).collect();
        for draft in drafts {
            append_entry(&mut head, draft);
        }
        head.config_revision = head.config_revision.max(batch.config_revision);
        note_writer(&mut head, batch);
        Ok((head, dropped))
    }

    /// Moves the oldest entries of the head into a page of their own.
    ///
    /// A writer that stopped between writing the page and the head leaves a page that
    /// repeats entries of the head. The tail only grows until the head names the page, so
    /// the page is a beginning of the tail, whoever wrote it.
    fn seal_page(&self, head: &mut AuditHead) -> Result<(), StepError> {
        let key = self.page_key(head.next_page);
        let count = PAGE_ENTRIES.min(head.tail.len());
        let sealed: Vec<AuditEntry> = head.tail.drain(..count).collect();
        let page = AuditPage { entries: sealed };
        match self.store.swap(&key, 0, &page.encode_to_vec()) {
            Ok(_) => {}
            Err(StoreError::Conflict { .. } | StoreError::Unknown(_)) => {
                let found = self.read_page(head.next_page)?;
                if found.as_ref() != Some(&page.entries) {
                    return Err(StepError::new("seal audit page", key, "the page differs"));
                }
            }
            Err(error) => return Err(StepError::new("seal audit page", key, error)),
        }
        head.next_page += 1;
        Ok(())
    }

    /// Forgets the oldest pages if there are too many, and anchors the chain at their end.
    fn drop_pages(&self, head: &mut AuditHead) -> Result<Vec<u64>, StepError> {
        let mut dropped = Vec::new();
        while head.next_page - head.first_page > MAX_PAGES {
            let page = head.first_page;
            let entries = self.read_page(page)?.unwrap_or_default();
            if let Some(last) = entries.last() {
                head.anchor_sequence = last.sequence;
                head.anchor_digest.clone_from(&last.digest);
            }
            head.first_page += 1;
            dropped.push(page);
        }
        Ok(dropped)
    }

    /// Removes pages that the head no longer names; one that stays only takes up room.
    fn remove_pages(&self, pages: &[u64]) {
        for page in pages {
            let key = self.page_key(*page);
            let Ok(Some(stored)) = self.store.read(&key) else {
                continue;
            };
            if let Err(error) = self.store.remove(&key, stored.version) {
                log::debug!("remove audit page {key}: {error}");
            }
        }
    }
}

fn has_batch(head: &AuditHead, batch: &AuditBatch) -> bool {
    head.writers.iter().any(|writer| {
        writer.member == batch.member
            && writer.incarnation == batch.incarnation
            && writer.batch >= batch.batch
    })
}

fn note_writer(head: &mut AuditHead, batch: &AuditBatch) {
    head.writers.retain(|writer| writer.member != batch.member);
    if head.writers.len() >= MAX_WRITERS {
        head.writers.remove(0);
    }
    head.writers.push(AuditWriter {
        member: batch.member.clone(),
        incarnation: batch.incarnation,
        batch: batch.batch,
    });
}

/// Two entry hosts may note one change when its holder changes in between.
fn is_same(entry: &AuditEntry, draft: &AuditDraft) -> bool {
    !draft.change_id.is_empty()
        && entry.change_id == draft.change_id
        && entry.subject == draft.subject
}
