use std::{cell::Cell, rc::Rc, time::Duration};

use link::ShutdownSignal;
use model::{BootTime, event as log_event};
use ports::{LeaseId, StoreChange, StoreError, StoreOutcome};
use rand::Rng;
use store::{BootClock, Clock};
use tokio::time::sleep;

use crate::{
    event,
    log_reader::catch_up,
    owner_view::{OwnerView, entry_write, owner_of},
    peer_port::TermSlot,
    stand_pledge::StandPledge,
    term::{Term, TermParts, WonTerm},
    term_run::run_term,
};

/// Candidates wait a random part of this before they stand, so that seven of them rarely make
/// seven calls to the store for one post.
const SPREAD: Duration = Duration::from_millis(30);
/// Pause after an election that failed.
const FAULT_PAUSE: Duration = Duration::from_millis(100);
/// How much longer the weakest process waits than the strongest that it knows, so that it stands
/// only where no strong one does. A cell without an owner waits for that long in vain when all
/// strong processes went at once.
const WEAK_WAIT: Duration = Duration::from_millis(400);
/// How long a process that has just started waits to read who else is there, at a store that
/// answers late. Entries outlive their processes by seconds, so that after a loss of all they
/// tell a weak process that strong ones will be back.
const READ_LIMIT: Duration = Duration::from_millis(200);
/// For how long a process that gave the cell up stands after all others.
const ASIDE: Duration = Duration::from_secs(10);
/// How often a candidate looks for itself whether there is an owner, beside what it hears, and how
/// often a standby reads what was written of the job log.
const FOLLOW_EVERY: Duration = Duration::from_secs(1);
/// How many processes follow the job log, one of which owns the cell in most cases. Each costs the
/// store a call and the bytes of the log's growth in each period.
const STANDBYS: usize = 4;
/// How much longer each further group of as many processes waits before it reads the log in order
/// to stand. All reading it at once would slow down those that are nearly done.
const GROUP_WAIT: Duration = Duration::from_millis(300);
/// Longest such wait.
const MOST_GROUP_WAIT: Duration = Duration::from_millis(1500);
/// How long a candidate that can't read on in the log lets others stand first.
const UNREAD_WAIT: Duration = Duration::from_secs(1);

/// Everything that an election needs.
pub(crate) struct Candidate {
    /// What its terms need of the process.
    pub(crate) parts: TermParts,
    pub(crate) owners: Rc<OwnerView>,
    pub(crate) slot: TermSlot,
    pub(crate) stopping: ShutdownSignal,
    /// Keeps the process out of elections while an owner relies on that.
    pub(crate) pledge: Rc<StandPledge>,
    /// Until when it lets others stand first.
    pub(crate) aside_until: Cell<BootTime>,
}

impl Candidate {
    /// Stands whenever nobody owns the cell, and runs the terms that it wins, until the
    /// process is told to stop.
    pub(crate) async fn stand(self) {
        while !self.stopping.begun() {
            if !self.owners.is_vacant() {
                tokio::select! {
                    biased;
                    () = self.owners.changed.notified() => {}
                    () = self.follow() => {}
                }
                continue;
            }
            self.parts.members.wait_read(READ_LIMIT).await;
            sleep(SPREAD.mul_f64(rand::rng().random::<f64>()) + self.courtesy()).await;
            if !self.may_stand() {
                continue;
            }
            self.catch_up().await;
            if !self.may_stand() {
                continue;
            }
            if let Some(left) = self.pledge.left(BootClock.boot_now()) {
                sleep(left).await;
                continue;
            }
            self.pledge.set_standing(true);
            let election = self.run_for_it().await;
            self.pledge.set_standing(false);
            match election {
                Ok(Some(won)) => self.lead(won).await,
                Ok(None) => {}
                Err(error) => {
                    log_event::warn(&event::ELECTION_FAILED, format_args!("cause=\"{error}\""));
                    sleep(FAULT_PAUSE).await;
                }
            }
        }
    }

    fn may_stand(&self) -> bool {
        self.owners.is_vacant() && !self.stopping.begun()
    }

    /// Reads, after a while, what was written of the job log if this process is a standby.
    async fn follow(&self) {
        sleep(FOLLOW_EVERY).await;
        if self.parts.members.rank() >= STANDBYS {
            return;
        }
        if let Err(error) = self.read_on().await {
            // The watches tell of a store that is away.
            log::debug!("follow the log: {error}");
        }
    }

    /// Reads the job log before standing: its lease would lapse while an owner reads a long one
    /// behind a narrow link, and nobody else may serve meanwhile.
    async fn catch_up(&self) {
        let copy = &self.parts.copy;
        let (mut last, mut since) = (copy.last(), BootClock.boot_now());
        while let Err(error) = self.read_on().await {
            log::debug!("catch up with the log: {error}");
            let now = BootClock.boot_now();
            if copy.last() != last {
                (last, since) = (copy.last(), now);
            }
            if now.saturating_sub(since) >= UNREAD_WAIT || !self.may_stand() {
                return;
            }
            sleep(FAULT_PAUSE).await;
        }
    }

    async fn read_on(&self) -> Result<(), StoreError> {
        let TermParts {
            options,
            ports,
            copy,
            ..
        } = &self.parts;
        catch_up(&*ports.store, options, copy).await
    }

    /// How long this process lets others stand first.
    ///
    /// An owner on a weak host falls behind on a large fleet: it starts work late, answers callers
    /// too late or not at all, and is no better after its next term.
    fn courtesy(&self) -> Duration {
        let own = self.parts.options.limits.strength();
        let strongest = self.parts.members.strongest(own + 1);
        let best = strongest.map_or(own, |other| other.strength);
        let weakness = f64::from(best - own) / f64::from(best.max(1));
        let aside = BootClock.boot_now() < self.aside_until.get();
        let group = u32::try_from(self.parts.members.rank() / STANDBYS).unwrap_or(u32::MAX);
        let group_wait = GROUP_WAIT.saturating_mul(group).min(MOST_GROUP_WAIT);
        let aside_wait = if aside { WEAK_WAIT } else { Duration::ZERO };
        WEAK_WAIT.mul_f64(weakness) + group_wait + aside_wait
    }

    async fn lead(&self, won: WonTerm) {
        log_event::info(
            &event::TERM_WON,
            format_args!(
                "token={} lease={} strength={}",
                won.token,
                won.lease,
                self.parts.options.limits.strength()
            ),
        );
        let term = Term::new(self.parts.clone(), won);
        *self.slot.borrow_mut() = Some(term.clone());
        run_term(&term).await;
        *self.slot.borrow_mut() = None;
        if term.given_up.get() {
            self.aside_until.set(BootClock.boot_now() + ASIDE);
        }
        self.owners.set(None);
        // What the store says now may differ: the lease may stand, or a successor.
        let store = &self.parts.ports.store;
        if let Ok(item) = store.read(&self.parts.options.owner_key()).await {
            self.owners.set(item.as_ref());
        }
    }

    /// Writes the entry of the owner, if there is none.
    async fn run_for_it(&self) -> Result<Option<WonTerm>, StoreError> {
        let sent = BootClock.boot_now();
        let TermParts { options, ports, .. } = &self.parts;
        let lease = ports.store.take_lease(options.owner_lease).await?;
        let key = options.owner_key();
        let change = StoreChange {
            expect: vec![(key.clone(), 0)],
            writes: vec![entry_write(options, key.clone(), lease)],
            removes: Vec::new(),
        };
        match ports.store.change(change).await {
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
                let item = ports.store.read(&key).await?;
                self.owners.set(item.as_ref());
                if item.as_ref().and_then(owner_of).is_some() {
                    return Ok(None);
                }
                Err(fault)
            }
        }
    }

    async fn give_back(&self, lease: LeaseId) {
        if let Err(error) = self.parts.ports.store.end_lease(lease).await {
            // It lapses by itself.
            log::debug!("end lease {lease}: {error}");
        }
    }
}
