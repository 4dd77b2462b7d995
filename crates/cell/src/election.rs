use std::{rc::Rc, time::Duration};

use link::ShutdownSignal;
use model::event as log_event;
use ports::{LeaseId, StoreChange, StoreFault, StoreOutcome, StoreRevision};
use rand::Rng;
use store::{BootClock, Clock};
use tokio::time::{sleep, timeout};

use crate::{
    cell_host::CellPorts,
    cell_options::CellOptions,
    event,
    fleet_view::FleetView,
    owner_view::{OwnerView, entry_write, owner_of},
    peer_port::TermSlot,
    term::Term,
};

/// Candidates wait a random part of this before they stand, so that seven of them rarely make
/// seven calls to the store for one post.
const SPREAD: Duration = Duration::from_millis(30);
/// Pause after an election that failed.
const FAULT_PAUSE: Duration = Duration::from_millis(100);
/// How often a candidate looks for itself whether there is an owner, beside what it hears.
const RECHECK: Duration = Duration::from_secs(2);

/// Everything that an election needs.
pub(crate) struct Candidate {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) ports: CellPorts,
    pub(crate) view: Rc<FleetView>,
    pub(crate) owners: Rc<OwnerView>,
    pub(crate) slot: TermSlot,
    pub(crate) stopping: ShutdownSignal,
}

/// A term that was won.
struct WonTerm {
    token: StoreRevision,
    lease: LeaseId,
    sent: model::BootTime,
}

impl Candidate {
    /// Stands whenever nobody owns the cell, and runs the terms that it wins, until the
    /// process is told to stop.
    pub(crate) async fn stand(self) {
        while !self.stopping.begun() {
            if !self.owners.is_vacant() {
                // Whether it was told or time passed, the view says how it is.
                let _ = timeout(RECHECK, self.owners.changed.notified()).await;
                continue;
            }
            sleep(SPREAD.mul_f64(rand::rng().random::<f64>())).await;
            if !self.owners.is_vacant() || self.stopping.begun() {
                continue;
            }
            match self.run_for_it().await {
                Ok(Some(won)) => self.lead(won).await,
                Ok(None) => {}
                Err(error) => {
                    log_event::warn(&event::ELECTION_FAILED, format_args!("cause=\"{error}\""));
                    sleep(FAULT_PAUSE).await;
                }
            }
        }
    }

    async fn lead(&self, won: WonTerm) {
        let WonTerm { token, lease, sent } = won;
        log_event::info(
            &event::TERM_WON,
            format_args!("token={token} lease={lease}"),
        );
        let (options, ports) = (self.options.clone(), self.ports.clone());
        let term = Term::new(options, ports, self.view.clone(), token, lease, sent);
        *self.slot.borrow_mut() = Some(term.clone());
        term.run().await;
        *self.slot.borrow_mut() = None;
        self.owners.set(None);
        // What the store says now may differ: the lease may stand, or a successor.
        if let Ok(item) = self.ports.store.read(&self.options.owner_key()).await {
            self.owners.set(item.as_ref());
        }
    }

    /// Writes the entry of the owner, if there is none.
    async fn run_for_it(&self) -> Result<Option<WonTerm>, StoreFault> {
        let sent = BootClock.boot_now();
        let lease = self
            .ports
            .store
            .take_lease(self.options.owner_lease)
            .await?;
        let key = self.options.owner_key();
        let change = StoreChange {
            expect: vec![(key.clone(), 0)],
            writes: vec![entry_write(&self.options, key.clone(), lease)],
            removes: Vec::new(),
        };
        match self.ports.store.change(change).await {
            Ok(StoreOutcome::Done(token)) => Ok(Some(WonTerm { token, lease, sent })),
            Ok(StoreOutcome::Conflict(items)) => {
                let standing = items
                    .iter()
                    .find(|item| item.key == key && item.revision > 0);
                self.owners.set(standing);
                self.give_back(lease).await;
                Ok(None)
            }
            Ok(StoreOutcome::LeaseEnded) => Ok(None),
            Err(fault) => {
                // It may have been written, or still be: without its lease it can't stand.
                self.give_back(lease).await;
                let item = self.ports.store.read(&key).await?;
                self.owners.set(item.as_ref());
                if item.as_ref().and_then(owner_of).is_some() {
                    return Ok(None);
                }
                Err(fault)
            }
        }
    }

    async fn give_back(&self, lease: LeaseId) {
        if let Err(error) = self.ports.store.end_lease(lease).await {
            // It lapses by itself.
            log::debug!("end lease {lease}: {error}");
        }
    }
}
