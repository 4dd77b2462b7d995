use std::cell::{Cell, RefCell};

use compact_str::CompactString;
use model::{MemberId, event as log_event};
use ports::{LeaseId, StoreEvent, StoreItem, StoreRevision, StoreWrite};
use prost::Message;
use tokio::sync::Notify;
use wire::work::OwnerRecord;

use crate::{cell_options::CellOptions, event, prefix_watch::PrefixObserver};

/// Who owns the cell, as the store says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnerEntry {
    /// Its name.
    pub(crate) member: MemberId,
    /// Where it answers peers.
    pub(crate) address: CompactString,
    /// Revision of the entry, which is the owner's token.
    pub(crate) token: StoreRevision,
}

/// Follows the store's entry of the owner.
#[derive(Default)]
pub(crate) struct OwnerView {
    key: CompactString,
    owner: RefCell<Option<OwnerEntry>>,
    /// Entries of lower revisions are known to be gone.
    removed_before: Cell<StoreRevision>,
    /// Whether the entry has been read at all.
    known: Cell<bool>,
    /// Told of each change.
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

    /// True if it is known that there is no owner.
    pub(crate) fn is_vacant(&self) -> bool {
        self.known.get() && self.owner.borrow().is_none()
    }

    /// Takes the entry as it was read or written; `None` if there is none.
    pub(crate) fn set(&self, item: Option<&StoreItem>) {
        if !self.known.replace(true) {
            // That there is no owner is news too, though the view began with none: candidates wait
            // for it, and would look for themselves only after two seconds.
            self.changed.notify_waiters();
        }
        self.replace(item.and_then(decode_owner));
    }

    /// Takes that no entry of a lower revision stands any more.
    fn mark_removed(&self, revision: StoreRevision) {
        self.removed_before
            .set(self.removed_before.get().max(revision));
        if self.owner().is_none_or(|owner| owner.token < revision) {
            self.set(None);
        }
    }

    /// Takes who another process says is the owner, if that is a later one than is known here.
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
        // The answer to a read may come after the watch has told that the entry it found is gone.
        // Believed, it would keep this process from ever standing: nothing more happens to that
        // entry. An entry is written once, so one that is gone does not come back.
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

/// The entry that says where this process answers peers, under a key and a lease.
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

/// Reads an owner's entry; an entry that can't be read is no owner to ask, and lapses.
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
