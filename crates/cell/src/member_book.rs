use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use compact_str::CompactString;
use link::CallClient;
use model::HostStrength;
use ports::{LeaseId, LeaseStore, StoreChange, StoreFault, StoreItem, StoreOutcome};
use prost::Message;
use store::{BootClock, Clock};
use tokio::time::sleep;
use wire::work::{OwnerAnswer, OwnerCall, OwnerRecord, owner_call::Ask};

use crate::{
    cell_options::CellOptions,
    owner_view::{OwnerView, entry_write},
    peer_call::ask_owner,
    prefix_watch::read_all,
};

/// How often a process renews its entry and reads those of the others. A store call of each
/// process in five seconds is little beside what it makes anyway.
const REFRESH_EVERY: Duration = Duration::from_secs(5);
/// Length of the lease on an entry: a process that is gone is asked in vain for at most this time.
const ENTRY_LEASE: Duration = Duration::from_secs(30);
/// Least time between two questions to members, whatever callers ask: one process makes ten a
/// second at most, while nobody owns the cell.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for an answer; a neighbouring data centre answers in some milliseconds.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

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
    others: RefCell<Vec<Neighbour>>,
    next: Cell<usize>,
    asked: Cell<Duration>,
}

impl MemberBook {
    pub(crate) fn new(options: Rc<CellOptions>, client: CallClient) -> Self {
        Self {
            options,
            client,
            others: RefCell::default(),
            next: Cell::new(0),
            asked: Cell::new(Duration::ZERO),
        }
    }

    /// Keeps the entry of this process in the store, and the book in step with it, for ever.
    pub(crate) async fn keep(self: Rc<Self>, store: Rc<dyn LeaseStore>) {
        let mut lease = None;
        loop {
            match self.refresh(&*store, lease).await {
                Ok(standing) => lease = standing,
                // What was known goes on counting; the watches tell of a store that is away.
                Err(error) => log::debug!("refresh members: {error}"),
            }
            sleep(REFRESH_EVERY).await;
        }
    }

    async fn refresh(
        &self,
        store: &dyn LeaseStore,
        lease: Option<LeaseId>,
    ) -> Result<Option<LeaseId>, StoreFault> {
        let stands = match lease {
            Some(lease) => store.renew_lease(lease).await?,
            None => false,
        };
        let lease = if stands {
            lease
        } else {
            self.enter(store).await?
        };
        let (items, _) = read_all(store, &self.options.member_prefix()).await?;
        *self.others.borrow_mut() = items.iter().filter_map(|item| self.other(item)).collect();
        Ok(lease)
    }

    async fn enter(&self, store: &dyn LeaseStore) -> Result<Option<LeaseId>, StoreFault> {
        let lease = store.take_lease(ENTRY_LEASE).await?;
        let prefix = self.options.member_prefix();
        let key = compact_str::format_compact!("{prefix}{}", self.options.member);
        let change = StoreChange {
            expect: Vec::new(),
            writes: vec![entry_write(&self.options, key, lease)],
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
        let best = others.iter().max_by_key(|other| other.strength);
        best.filter(|other| other.strength >= least).cloned()
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
        match ask_owner(&self.client, address, &call, ASK_TIMEOUT).await {
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
        others.get(index).map(|other| other.address.clone())
    }
}
