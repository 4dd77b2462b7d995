use std::{cell::Cell, rc::Rc, time::Duration};

use link::ShutdownSignal;
use model::{BootTime, event as log_event};
use ports::{LeaseId, StoreChange, StoreError, StoreOutcome};
use rand::Rng;
use store::{BootClock, Clock};
use tokio::time::sleep;

use crate::{
    election_promise::ElectionPromise,
    event,
    log_reader::fetch_new_pages,
    owner_view::{OwnerView, address_entry, decode_owner},
    peer_service::CurrentTerm,
    term::{Term, TermContext, TermLease},
    term_run::run_term,
};

/// Candidates wait a random part of this before they stand, so that seven of them rarely make
/// seven calls to the store for one post.
const CAMPAIGN_JITTER: Duration = Duration::from_millis(30);
/// Pause after an election that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How much longer the weakest process waits than the strongest that it knows, so that it stands
/// only where no strong one does. A cell without an owner waits for that long in vain when all
/// strong processes went at once.
const MAX_WEAKNESS_DELAY: Duration = Duration::from_millis(400);
/// How long a process that has just started waits to read who else is there, at a store that
/// answers late. Entries outlive their processes by seconds, so that after a loss of all they
/// tell a weak process that strong ones will be back.
const MEMBERS_READ_TIMEOUT: Duration = Duration::from_millis(200);
/// For how long a process that gave the cell up stands after all others.
const STEP_DOWN_DELAY_PERIOD: Duration = Duration::from_secs(10);
/// How often a candidate looks for itself whether there is an owner, beside what it hears, and how
/// often a standby reads what was written of the job log.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);
/// How many processes follow the job log, one of which owns the cell in most cases. Each costs the
/// store a call and the bytes of the log's growth in each period.
const STANDBY_COUNT: usize = 4;
/// How much longer each further group of as many processes waits before it reads the log in order
/// to stand. All reading it at once would slow down those that are nearly done.
const GROUP_DELAY: Duration = Duration::from_millis(300);
/// Longest such wait.
const MAX_GROUP_DELAY: Duration = Duration::from_millis(1500);
/// How long a candidate that can't read on in the log lets others stand first.
const LOG_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Everything that an election needs.
pub(crate) struct Candidate {
    /// What its terms need of the process.
    pub(crate) context: TermContext,
    pub(crate) owners: Rc<OwnerView>,
    pub(crate) current_term: CurrentTerm,
    pub(crate) stopping: ShutdownSignal,
    /// Keeps the process out of elections while an owner relies on that.
    pub(crate) promise: Rc<ElectionPromise>,
    /// Until when it lets others stand first.
    pub(crate) campaign_not_before: Cell<BootTime>,
}

impl Candidate {
    /// Stands whenever nobody owns the cell, and runs the terms that it wins, until the
    /// process is told to stop.
    pub(crate) async fn campaign(self) {
        while !self.stopping.begun() {
            if !self.owners.is_vacant() {
                tokio::select! {
                    biased;
                    () = self.owners.changed.notified() => {}
                    () = self.follow_log() => {}
                }
                continue;
            }
            self.context
                .members
                .wait_entries_read(MEMBERS_READ_TIMEOUT)
                .await;
            sleep(CAMPAIGN_JITTER.mul_f64(rand::rng().random::<f64>()) + self.campaign_delay())
                .await;
            if !self.may_campaign() {
                continue;
            }
            self.catch_up_with_log().await;
            if !self.may_campaign() {
                continue;
            }
            if let Some(left) = self.promise.remaining(BootClock.boot_now()) {
                sleep(left).await;
                continue;
            }
            self.promise.set_campaigning(true);
            let election = self.acquire_ownership().await;
            self.promise.set_campaigning(false);
            match election {
                Ok(Some(won)) => self.run_won_term(won).await,
                Ok(None) => {}
                Err(error) => {
                    log_event::warn(&event::ELECTION_FAILED, format_args!("cause=\"{error}\""));
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn may_campaign(&self) -> bool {
        self.owners.is_vacant() && !self.stopping.begun()
    }

    /// Reads, after a while, what was written of the job log if this process is a standby.
    async fn follow_log(&self) {
        sleep(FOLLOW_INTERVAL).await;
        if self.context.members.standby_rank() >= STANDBY_COUNT {
            return;
        }
        if let Err(error) = self.read_new_pages().await {
            // The watches tell of a store that is away.
            log::debug!("follow the log: {error}");
        }
    }

    /// Reads the job log before standing: its lease would lapse while an owner reads a long one
    /// behind a narrow link, and nobody else may serve meanwhile.
    async fn catch_up_with_log(&self) {
        let log_cache = &self.context.log_cache;
        let (mut last, mut since) = (log_cache.last_page(), BootClock.boot_now());
        while let Err(error) = self.read_new_pages().await {
            log::debug!("catch up with the log: {error}");
            let now = BootClock.boot_now();
            if log_cache.last_page() != last {
                (last, since) = (log_cache.last_page(), now);
            }
            if now.saturating_sub(since) >= LOG_STALL_TIMEOUT || !self.may_campaign() {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn read_new_pages(&self) -> Result<(), StoreError> {
        let TermContext {
            options,
            ports,
            log_cache,
            ..
        } = &self.context;
        fetch_new_pages(&*ports.store, options, log_cache).await
    }

    /// How long this process lets others stand first.
    ///
    /// An owner on a weak host falls behind on a large fleet: it starts work late, answers callers
    /// too late or not at all, and is no better after its next term.
    fn campaign_delay(&self) -> Duration {
        let own = self.context.options.limits.strength();
        let strongest = self.context.members.strongest(own + 1);
        let best = strongest.map_or(own, |other| other.strength);
        let weakness = f64::from(best - own) / f64::from(best.max(1));
        let stepped_down = BootClock.boot_now() < self.campaign_not_before.get();
        let group =
            u32::try_from(self.context.members.standby_rank() / STANDBY_COUNT).unwrap_or(u32::MAX);
        let group_delay = GROUP_DELAY.saturating_mul(group).min(MAX_GROUP_DELAY);
        let step_down_delay = if stepped_down {
            MAX_WEAKNESS_DELAY
        } else {
            Duration::ZERO
        };
        MAX_WEAKNESS_DELAY.mul_f64(weakness) + group_delay + step_down_delay
    }

    async fn run_won_term(&self, won: TermLease) {
        log_event::info(
            &event::TERM_WON,
            format_args!(
                "token={} lease={} strength={}",
                won.token,
                won.lease,
                self.context.options.limits.strength()
            ),
        );
        let term = Term::new(self.context.clone(), won);
        *self.current_term.borrow_mut() = Some(term.clone());
        run_term(&term).await;
        *self.current_term.borrow_mut() = None;
        if term.stepped_down.get() {
            self.campaign_not_before
                .set(BootClock.boot_now() + STEP_DOWN_DELAY_PERIOD);
        }
        self.owners.set(None);
        // What the store says now may differ: the lease may stand, or a successor.
        let store = &self.context.ports.store;
        if let Ok(item) = store.read(&self.context.options.owner_key()).await {
            self.owners.set(item.as_ref());
        }
    }

    /// Writes the entry of the owner, if there is none.
    async fn acquire_ownership(&self) -> Result<Option<TermLease>, StoreError> {
        let sent = BootClock.boot_now();
        let TermContext { options, ports, .. } = &self.context;
        let lease = ports.store.take_lease(options.owner_lease).await?;
        let key = options.owner_key();
        let change = StoreChange {
            expect: vec![(key.clone(), 0)],
            writes: vec![address_entry(options, key.clone(), lease)],
            removes: Vec::new(),
        };
        match ports.store.change(change).await {
            Ok(StoreOutcome::Done(token)) => Ok(Some(TermLease { token, lease, sent })),
            Ok(StoreOutcome::Conflict(items)) => {
                let current = items
                    .iter()
                    .find(|item| item.key == key && item.revision > 0);
                self.owners.set(current);
                self.release_lease(lease).await;
                Ok(None)
            }
            Ok(StoreOutcome::LeaseEnded) => Ok(None),
            Err(fault) => {
                // It may have been written, or still be: without its lease it can't stand.
                self.release_lease(lease).await;
                let item = ports.store.read(&key).await?;
                self.owners.set(item.as_ref());
                if item.as_ref().and_then(decode_owner).is_some() {
                    return Ok(None);
                }
                Err(fault)
            }
        }
    }

    async fn release_lease(&self, lease: LeaseId) {
        if let Err(error) = self.context.ports.store.end_lease(lease).await {
            // It lapses by itself.
            log::debug!("end lease {lease}: {error}");
        }
    }
}
