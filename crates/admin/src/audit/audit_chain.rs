use sha2::{Digest, Sha256};
use wire::state::{AuditEntry, AuditHead};

/// Longest difference that an entry holds, in bytes.
const MAX_DIFFERENCE: usize = 600;
/// Longest of the other texts of an entry, in bytes.
const MAX_TEXT: usize = 120;

/// What an entry says, before it has a place in the chain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditDraft {
    /// When it happened, in milliseconds of the Unix epoch.
    pub unix_ms: u64,
    /// Who caused it.
    pub author: String,
    /// Id of the change.
    pub change_id: String,
    /// What changed.
    pub subject: String,
    /// The difference.
    pub difference: String,
    /// Revision before.
    pub revision_before: u64,
    /// Revision after.
    pub revision_after: u64,
}

/// Where the chain of an audit trail is broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainFault {
    /// The entry does not follow the one before it: entries are missing, added or reordered.
    #[error("entry {found} stands where entry {expected} belongs")]
    OutOfOrder {
        /// Sequence that belongs there.
        expected: u64,
        /// Sequence that stands there.
        found: u64,
    },
    /// The entry was edited after it was written.
    #[error("entry {0} does not match its digest: it was edited")]
    Edited(u64),
    /// The entry does not continue the chain of the one before it.
    #[error("entry {0} does not continue the entry before it: one of them was replaced")]
    Unlinked(u64),
    /// The newest entries are not the ones that the head names.
    #[error("the trail ends at entry {found}, its head names entry {expected}")]
    WrongEnd {
        /// Sequence that the head names.
        expected: u64,
        /// Sequence of the last entry found.
        found: u64,
    },
}

/// Appends a draft to the tail of the trail, chained to the entry before it.
pub fn append_entry(head: &mut AuditHead, draft: &AuditDraft) {
    let mut entry = AuditEntry {
        sequence: head.sequence + 1,
        unix_ms: draft.unix_ms,
        author: bounded(&draft.author, MAX_TEXT),
        change_id: bounded(&draft.change_id, MAX_TEXT),
        subject: bounded(&draft.subject, MAX_TEXT),
        difference: bounded(&draft.difference, MAX_DIFFERENCE),
        revision_before: draft.revision_before,
        revision_after: draft.revision_after,
        previous_digest: head.digest.clone(),
        digest: Vec::new(),
    };
    entry.digest = entry_digest(&entry).to_vec();
    head.sequence = entry.sequence;
    head.digest.clone_from(&entry.digest);
    head.tail.push(entry);
}

/// Digest of an entry, over every field but the digest itself.
///
/// Each text goes in with its length, so that moving letters from one field to the next
/// changes the digest.
pub fn entry_digest(entry: &AuditEntry) -> [u8; 32] {
    let mut hash = Sha256::new();
    for number in [
        entry.sequence,
        entry.unix_ms,
        entry.revision_before,
        entry.revision_after,
    ] {
        hash.update(number.to_be_bytes());
    }
    for text in [
        entry.author.as_bytes(),
        entry.change_id.as_bytes(),
        entry.subject.as_bytes(),
        entry.difference.as_bytes(),
        &entry.previous_digest,
    ] {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text);
    }
    hash.finalize().into()
}

/// Checks a whole trail: `entries` are all kept ones from the oldest to the newest.
///
/// # Errors
/// Every place at which the chain is broken.
pub fn verify_chain(head: &AuditHead, entries: &[AuditEntry]) -> Result<(), Vec<ChainFault>> {
    let mut faults = Vec::new();
    let mut sequence = head.anchor_sequence;
    let mut digest = head.anchor_digest.as_slice();
    for entry in entries {
        if entry.sequence != sequence + 1 {
            faults.push(ChainFault::OutOfOrder {
                expected: sequence + 1,
                found: entry.sequence,
            });
        } else if entry.previous_digest != digest {
            faults.push(ChainFault::Unlinked(entry.sequence));
        }
        if entry_digest(entry).as_slice() != entry.digest {
            faults.push(ChainFault::Edited(entry.sequence));
        }
        sequence = entry.sequence;
        digest = &entry.digest;
    }
    if sequence != head.sequence || digest != head.digest {
        faults.push(ChainFault::WrongEnd {
            expected: head.sequence,
            found: sequence,
        });
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(faults),
    }
}

/// Cuts a text to `length` bytes at a character.
fn bounded(text: &str, length: usize) -> String {
    if text.len() <= length {
        return text.to_owned();
    }
    const MARK: &str = "…";
    let mut kept = String::with_capacity(length);
    for c in text.chars() {
        if kept.len() + c.len_utf8() + MARK.len() > length {
            break;
        }
        kept.push(c);
    }
    kept + MARK
}
