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
    LeaseId, LeaseStore, LeaseStoreError, StoreChange, StoreEvent, StoreItem, StoreOutcome,
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
    owner_view::{OwnerView, address_entry},
    peer_call::call_peer,
    prefix_watch::{PrefixObserver, watch_prefix},
    watch_timeout::WatchTimeout,
};

/// How often a process renews its entry.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Length of the lease on an entry. For at most this time after a process is gone, it is still
/// asked in vain, and an owner can't get the promises of all members.
const ENTRY_LEASE: Duration = Duration::from_secs(10);
/// How long a watch of the entries waits for changes, which are rare.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time between two requests to members, however many callers wait. Without an owner of the
/// cell, a process sends at most ten requests a second.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for an answer. A neighbouring data centre answers within some milliseconds. A
/// member that has to check the store first gives up on that a little earlier.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Role of the processes that follow the job log, for rendezvous hashing.
const STANDBY_ROLE: &str = "standby";

/// Another process of the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerMember {
    /// Address on which it serves peers.
    pub(crate) address: CompactString,
    /// How much load an owner on its host can handle.
    pub(crate) strength: HostStrength,
}

/// The processes of the cell, as the store last listed them.
///
/// A process that the store refuses, while it serves others, does not learn of a new owner. Without
/// asking other members for the owner, it would refuse all its callers during that time.
pub(crate) struct MemberDirectory {
    options: Rc<CellOptions>,
    client: CallClient,
    /// The other processes, by their keys in the store.
    peers: RefCell<BTreeMap<CompactString, PeerMember>>,
    /// Whether the entries have been read, and the notification of that.
    entries_read: Cell<bool>,
    on_entries_read: Notify,
    next_index: Cell<usize>,
    last_asked: Cell<Duration>,
}

impl MemberDirectory {
    pub(crate) fn new(options: Rc<CellOptions>, client: CallClient) -> Self {
        Self {
            options,
            client,
            peers: RefCell::default(),
            entries_read: Cell::new(false),
            on_entries_read: Notify::new(),
            next_index: Cell::new(0),
            last_asked: Cell::new(Duration::ZERO),
        }
    }

    /// Watches the entries of the other processes, forever.
    pub(crate) async fn watch_entries(self: Rc<Self>, store: Rc<dyn LeaseStore>) {
        let prefix = self.options.member_prefix();
        let timeout = WatchTimeout::new(WATCH_TIMEOUT);
        watch_prefix(store, &prefix, &timeout, &*self).await;
    }

    /// Waits until the entries of the others have been read, for at most `limit`.
    pub(crate) async fn wait_entries_read(&self, limit: Duration) {
        let read = self.on_entries_read.notified();
        if !self.entries_read.get() {
            // Without the entries, no other process counts as stronger.
            let _ = timeout(limit, read).await;
        }
    }

    /// Keeps the entry of this process in the store, forever.
    pub(crate) async fn keep_registered(self: Rc<Self>, store: Rc<dyn LeaseStore>) {
        let mut lease = None;
        loop {
            match self.renew_entry(&*store, lease).await {
                Ok(current) => lease = current,
                // The watches report a store that is unreachable.
                Err(error) => log::debug!("renew the entry of the member: {error}"),
            }
            sleep(RENEW_INTERVAL).await;
        }
    }

    async fn renew_entry(
        &self,
        store: &dyn LeaseStore,
        lease: Option<LeaseId>,
    ) -> Result<Option<LeaseId>, LeaseStoreError> {
        if let Some(current) = lease
            && store.renew_lease(current).await?
        {
            return Ok(lease);
        }
        self.register(store).await
    }

    async fn register(&self, store: &dyn LeaseStore) -> Result<Option<LeaseId>, LeaseStoreError> {
        let lease = store.take_lease(ENTRY_LEASE).await?;
        let change = StoreChange {
            expect: Vec::new(),
            writes: vec![address_entry(&self.options, self.entry_key(), lease)],
            removes: Vec::new(),
        };
        match store.change(change).await? {
            StoreOutcome::Done(_) => Ok(Some(lease)),
            StoreOutcome::Conflict(_) | StoreOutcome::LeaseEnded => Ok(None),
        }
    }

    /// One of the strongest other processes, if it has at least this strength.
    pub(crate) fn strongest(&self, least: HostStrength) -> Option<PeerMember> {
        let peers = self.peers.borrow();
        let best = peers.values().max_by_key(|peer| peer.strength);
        best.filter(|peer| peer.strength >= least).cloned()
    }

    /// How many other processes take precedence over this one as standbys. Stronger processes come
    /// first. Among processes of the same strength, all processes compute the same order.
    pub(crate) fn standby_rank(&self) -> usize {
        let order_key = |strength, key: &str| (strength, rendezvous::score(STANDBY_ROLE, key));
        let own = order_key(self.options.limits.strength(), &self.entry_key());
        let peers = self.peers.borrow();
        let before = peers
            .iter()
            .filter(|(key, peer)| order_key(peer.strength, key) > own);
        before.count()
    }

    fn entry_key(&self) -> CompactString {
        let prefix = self.options.member_prefix();
        compact_str::format_compact!("{prefix}{}", self.options.member)
    }

    fn parse_entry(&self, item: &StoreItem) -> Option<PeerMember> {
        match OwnerRecord::decode(item.value.as_slice()) {
            Ok(record) if record.member == self.options.member.as_str() => None,
            Ok(record) => Some(PeerMember {
                address: record.address.into(),
                strength: record.strength,
            }),
            Err(error) => {
                log::warn!("unreadable entry {} of a member: {error}", item.key);
                None
            }
        }
    }

    /// Asks one of the other processes for the owner, unless one was asked just now.
    pub(crate) async fn find_owner(&self, owners: &OwnerView) {
        let now = BootClock.boot_now();
        if now.saturating_sub(self.last_asked.get()) < ASK_INTERVAL {
            return;
        }
        let Some(address) = self.next_address() else {
            return;
        };
        self.last_asked.set(now);
        if let Some(answer) = self.ask_for_owner(&address).await {
            owners.update_from_peer(answer.owner, answer.owner_token);
        }
    }

    /// Asks another process for the owner; `None` if it does not answer in time.
    pub(crate) async fn ask_for_owner(&self, address: &str) -> Option<OwnerAnswer> {
        let call = OwnerCall {
            ask: Some(Ask::Owner(true)),
            ..OwnerCall::default()
        };
        self.call(address, &call).await
    }

    /// The addresses on which all other processes serve peers.
    pub(crate) fn addresses(&self) -> Vec<CompactString> {
        let peers = self.peers.borrow();
        peers.values().map(|peer| peer.address.clone()).collect()
    }

    /// Sends a call to another process; `None` if it does not answer in time.
    pub(crate) async fn call(&self, address: &str, call: &OwnerCall) -> Option<OwnerAnswer> {
        match self.call_within(address, call, ASK_TIMEOUT).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("{error}");
                None
            }
        }
    }

    /// Sends a call to another process and waits for its answer for at most `timeout`.
    ///
    /// # Errors
    /// The step that failed and its cause.
    pub(crate) async fn call_within(
        &self,
        address: &str,
        call: &OwnerCall,
        timeout: Duration,
    ) -> Result<OwnerAnswer, String> {
        let answer = call_peer(&self.client, address, call, timeout).await;
        answer.map_err(|error| error.to_string())
    }

    fn next_address(&self) -> Option<CompactString> {
        let peers = self.peers.borrow();
        let next_index = self
            .next_index
            .replace(self.next_index.get().wrapping_add(1));
        let index = next_index.checked_rem(peers.len())?;
        peers.values().nth(index).map(|peer| peer.address.clone())
    }
}

impl PrefixObserver for MemberDirectory {
    fn reset(&self, items: Vec<StoreItem>, _revision: StoreRevision) {
        let peers = items.iter().filter_map(|item| {
            let peer = self.parse_entry(item)?;
            Some((item.key.clone(), peer))
        });
        *self.peers.borrow_mut() = peers.collect();
        self.entries_read.set(true);
        self.on_entries_read.notify_waiters();
    }

    fn apply(&self, event: StoreEvent) {
        match event {
            StoreEvent::Written(item) => {
                if let Some(peer) = self.parse_entry(&item) {
                    self.peers.borrow_mut().insert(item.key, peer);
                }
            }
            StoreEvent::Removed(key, _) => {
                self.peers.borrow_mut().remove(&key);
            }
        }
    }
}
