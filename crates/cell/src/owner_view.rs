use std::cell::{Cell, RefCell};

use compact_str::CompactString;
use model::{MemberId, event as log_event};
use ports::{LeaseId, StoreEvent, StoreItem, StoreRevision, StoreWrite};
use prost::Message;
use tokio::sync::Notify;
use wire::work::OwnerRecord;

use crate::{cell_options::CellOptions, event, prefix_watch::PrefixObserver};

/// The owner of the cell, according to the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnerEntry {
    /// Name of the process.
    pub(crate) member: MemberId,
    /// Address on which it serves peers.
    pub(crate) address: CompactString,
    /// Revision of the entry, which is the owner's token.
    pub(crate) token: StoreRevision,
}

/// Follows the owner's entry in the store.
#[derive(Default)]
pub(crate) struct OwnerView {
    key: CompactString,
    owner: RefCell<Option<OwnerEntry>>,
    /// Entries of lower revisions are known to be removed.
    removed_before: Cell<StoreRevision>,
    /// Whether the entry has been read at all.
    known: Cell<bool>,
    /// Notified of each change.
    pub(crate) changed: Notify,
}

impl OwnerView {
    pub(crate) fn new(key: CompactString) -> Self {
        Self {
            key,
            ..Self::default()
        }
    }

    /// The owner; `None` if there is none.
    pub(crate) fn owner(&self) -> Option<OwnerEntry> {
        self.owner.borrow().clone()
    }

    /// True if the cell is known to have no owner.
    pub(crate) fn is_vacant(&self) -> bool {
        self.known.get() && self.owner.borrow().is_none()
    }

    /// Updates the view from an entry that was read or written; `None` if there is none.
    pub(crate) fn set(&self, item: Option<&StoreItem>) {
        if !self.known.replace(true) {
            // That there is no owner also counts as a change, although the view starts with none.
            // Candidates wait for this notification; their own check would come only after two
            // seconds.
            self.changed.notify_waiters();
        }
        self.replace(item.and_then(decode_owner));
    }

    /// Marks all entries of a lower revision as removed.
    fn mark_removed(&self, revision: StoreRevision) {
        self.removed_before
            .set(self.removed_before.get().max(revision));
        if self.owner().is_none_or(|owner| owner.token < revision) {
            self.set(None);
        }
    }

    /// Updates the view with the owner that another process reported, if it is later than the one
    /// known here.
    pub(crate) fn update_from_peer(&self, record: Option<OwnerRecord>, token: StoreRevision) {
        let known = self.owner().map_or(0, |owner| owner.token);
        let Some(record) = record.filter(|_| token > known) else {
            return;
        };
        self.replace(Some(OwnerEntry {
            member: record.member.into(),
            address: record.address.into(),
            token,
        }));
    }

    fn replace(&self, entry: Option<OwnerEntry>) {
        // The response to a read may arrive after the watch reported that the entry it contains was
        // removed. If the view accepted such an entry, this process would never campaign again,
        // because nothing more happens to that entry. An entry is written only once, so a removed
        // one does not come back.
        let removed = |owner: &OwnerEntry| owner.token < self.removed_before.get();
        if *self.owner.borrow() == entry || entry.as_ref().is_some_and(removed) {
            return;
        }
        match &entry {
            Some(owner) => log_event::info(
                &event::OWNER_SEEN,
                format_args!(
                    "owner={} address={} token={}",
                    owner.member, owner.address, owner.token
                ),
            ),
            None => log_event::info(&event::OWNER_GONE, format_args!("")),
        }
        *self.owner.borrow_mut() = entry;
        self.changed.notify_waiters();
    }
}

/// The write of an entry with the address on which this process serves peers, under a key and a
/// lease.
pub(crate) fn address_entry(
    options: &CellOptions,
    key: CompactString,
    lease: LeaseId,
) -> StoreWrite {
    let record = OwnerRecord {
        member: options.member.to_string(),
        address: options.peer_address.to_string(),
        strength: options.limits.strength(),
    };
    StoreWrite {
        key,
        value: record.encode_to_vec(),
        lease: Some(lease),
    }
}

/// Decodes an owner's entry. An entry that can't be decoded names no process to call, and expires.
pub(crate) fn decode_owner(item: &StoreItem) -> Option<OwnerEntry> {
    let record = match OwnerRecord::decode(item.value.as_slice()) {
        Ok(record) => record,
        Err(error) => {
            log_event::warn(
                &event::ENTRY_UNREADABLE,
                format_args!("key={} cause=\"{error}\"", item.key),
            );
            OwnerRecord::default()
        }
    };
    Some(OwnerEntry {
        member: record.member.into(),
        address: record.address.into(),
        token: item.revision,
    })
}

impl PrefixObserver for OwnerView {
    fn reset(&self, items: Vec<StoreItem>, revision: StoreRevision) {
        match items.iter().find(|item| item.key == self.key) {
            Some(item) => self.set(Some(item)),
            None => self.mark_removed(revision),
        }
    }

    fn apply(&self, event: StoreEvent) {
        match event {
            StoreEvent::Written(item) if item.key == self.key => self.set(Some(&item)),
            StoreEvent::Removed(key, revision) if key == self.key => self.mark_removed(revision),
            StoreEvent::Written(_) | StoreEvent::Removed(..) => {}
        }
    }
}
