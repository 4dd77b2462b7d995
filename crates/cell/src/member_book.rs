use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use compact_str::CompactString;
use decide::rendezvous;
use link::CallClient;
use model::HostStrength;
use ports::{
    LeaseId, LeaseStore, StoreChange, StoreError, StoreEvent, StoreItem, StoreOutcome,
    StoreRevision,
};
use prost::Message;
use store::{BootClock, Clock};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};
use wire::work::{OwnerAnswer, OwnerCall, OwnerRecord, owner_call::Ask};

use crate::{
    cell_options::CellOptions,
    owner_view::{OwnerView, entry_write},
    peer_call::ask_owner,
    prefix_watch::{PrefixSink, watch_prefix},
};

/// How often a process renews its entry.
const RENEW_EVERY: Duration = Duration::from_secs(3);
/// Length of the lease on an entry: a process that is gone is asked in vain for at most this
/// time, and an owner can't rely on the pledges of all for as long.
const ENTRY_LEASE: Duration = Duration::from_secs(10);
/// How long a watch of the entries waits for changes, which are rare.
const WATCH_PATIENCE: Duration = Duration::from_secs(10);
/// Least time between two questions to members, whatever callers ask: one process makes ten a
/// second at most, while nobody owns the cell.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for an answer; a neighbouring data centre answers in some milliseconds, and one
/// that looks at the store first gives that up a little earlier.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// The duty of following the job log, for rendezvous hashing.
const STANDBY: &str = "standby";

/// Another process of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Neighbour {
    /// Where it answers peers.
    pub(crate) address: CompactString,
    /// How much an owner there can carry.
    pub(crate) strength: HostStrength,
}

/// The processes of the system, as the store listed them when it last answered.
///
/// A process that the store turns away, while it serves the others, does not hear that the
/// ownership has changed. It would refuse all its callers for as long as that lasts; asking its
/// neighbours who the owner is it serves them.
pub(crate) struct MemberBook {
    options: Rc<CellOptions>,
    client: CallClient,
    /// The others, by their keys in the store.
    others: RefCell<BTreeMap<CompactString, Neighbour>>,
    /// Whether the entries have been read, and who is told of it.
    read: Cell<bool>,
    became_read: Notify,
    next: Cell<usize>,
    asked: Cell<Duration>,
}

impl MemberBook {
    pub(crate) fn new(options: Rc<CellOptions>, client: CallClient) -> Self {
        Self {
            options,
            client,
            others: RefCell::default(),
            read: Cell::new(false),
            became_read: Notify::new(),
            next: Cell::new(0),
            asked: Cell::new(Duration::ZERO),
        }
    }

    /// Follows the entries of the others, for ever.
    pub(crate) async fn follow(self: Rc<Self>, store: Rc<dyn LeaseStore>) {
        let prefix = self.options.member_prefix();
        watch_prefix(store, &prefix, WATCH_PATIENCE, &*self).await;
    }

    /// Waits until the entries of the others have been read, for `limit` at most.
    pub(crate) async fn wait_read(&self, limit: Duration) {
        let read = self.became_read.notified();
        if !self.read.get() {
            // Without the entries all others count as no stronger.
            let _ = timeout(limit, read).await;
        }
    }

    /// Keeps the entry of this process in the store, for ever.
    pub(crate) async fn keep(self: Rc<Self>, store: Rc<dyn LeaseStore>) {
        let mut lease = None;
        loop {
            match self.renew(&*store, lease).await {
                Ok(standing) => lease = standing,
                // The watches tell of a store that is away.
                Err(error) => log::debug!("renew the entry of the member: {error}"),
            }
            sleep(RENEW_EVERY).await;
        }
    }

    async fn renew(
        &self,
        store: &dyn LeaseStore,
        lease: Option<LeaseId>,
    ) -> Result<Option<LeaseId>, StoreError> {
        if let Some(standing) = lease
            && store.renew_lease(standing).await?
        {
            return Ok(lease);
        }
        self.enter(store).await
    }

    async fn enter(&self, store: &dyn LeaseStore) -> Result<Option<LeaseId>, StoreError> {
        let lease = store.take_lease(ENTRY_LEASE).await?;
        let change = StoreChange {
            expect: Vec::new(),
            writes: vec![entry_write(&self.options, self.entry_key(), lease)],
            removes: Vec::new(),
        };
        match store.change(change).await? {
            StoreOutcome::Done(_) => Ok(Some(lease)),
            StoreOutcome::Conflict(_) | StoreOutcome::LeaseEnded => Ok(None),
        }
    }

    /// One of the strongest of the others, if it has at least this strength.
    pub(crate) fn strongest(&self, least: HostStrength) -> Option<Neighbour> {
        let others = self.others.borrow();
        let best = others.values().max_by_key(|other| other.strength);
        best.filter(|other| other.strength >= least).cloned()
    }

    /// How many of the others come before this process as standbys: strong ones first, and among
    /// those of the same strength the same ones for everybody.
    pub(crate) fn rank(&self) -> usize {
        let place = |strength, key: &str| (strength, rendezvous::score(STANDBY, key));
        let own = place(self.options.limits.strength(), &self.entry_key());
        let others = self.others.borrow();
        let before = others
            .iter()
            .filter(|(key, other)| place(other.strength, key) > own);
        before.count()
    }

    fn entry_key(&self) -> CompactString {
        let prefix = self.options.member_prefix();
        compact_str::format_compact!("{prefix}{}", self.options.member)
    }

    fn other(&self, item: &StoreItem) -> Option<Neighbour> {
        match OwnerRecord::decode(item.value.as_slice()) {
            Ok(record) if record.member == self.options.member.as_str() => None,
            Ok(record) => Some(Neighbour {
                address: record.address.into(),
                strength: record.strength,
            }),
            Err(error) => {
                log::warn!("unreadable entry {} of a member: {error}", item.key);
                None
            }
        }
    }

    /// Asks one of the others who owns the cell, unless one was asked just now.
    pub(crate) async fn find_owner(&self, owners: &OwnerView) {
        let now = BootClock.boot_now();
        if now.saturating_sub(self.asked.get()) < ASK_EVERY {
            return;
        }
        let Some(address) = self.next_address() else {
            return;
        };
        self.asked.set(now);
        if let Some(answer) = self.ask_for_owner(&address).await {
            owners.learn(answer.owner, answer.owner_token);
        }
    }

    /// Asks another process who owns the cell; `None` if it does not answer soon.
    pub(crate) async fn ask_for_owner(&self, address: &str) -> Option<OwnerAnswer> {
        let call = OwnerCall {
            ask: Some(Ask::Owner(true)),
            ..OwnerCall::default()
        };
        self.ask(address, &call).await
    }

    /// Where all others answer peers.
    pub(crate) fn addresses(&self) -> Vec<CompactString> {
        let others = self.others.borrow();
        others.values().map(|other| other.address.clone()).collect()
    }

    /// Asks another process; `None` if it does not answer soon.
    pub(crate) async fn ask(&self, address: &str, call: &OwnerCall) -> Option<OwnerAnswer> {
        match ask_owner(&self.client, address, call, ASK_TIMEOUT).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("{error:?}");
                None
            }
        }
    }

    fn next_address(&self) -> Option<CompactString> {
        let others = self.others.borrow();
        let next = self.next.replace(self.next.get().wrapping_add(1));
        let index = next.checked_rem(others.len())?;
        others
            .values()
            .nth(index)
            .map(|other| other.address.clone())
    }
}

impl PrefixSink for MemberBook {
    fn reset(&self, items: Vec<StoreItem>, _revision: StoreRevision) {
        let others = items.iter().filter_map(|item| {
            let other = self.other(item)?;
            Some((item.key.clone(), other))
        });
        *self.others.borrow_mut() = others.collect();
        self.read.set(true);
        self.became_read.notify_waiters();
    }

    fn change(&self, event: StoreEvent) {
        match event {
            StoreEvent::Written(item) => {
                if let Some(other) = self.other(&item) {
                    self.others.borrow_mut().insert(item.key, other);
                }
            }
            StoreEvent::Removed(key, _) => {
                self.others.borrow_mut().remove(&key);
            }
        }
    }
}
