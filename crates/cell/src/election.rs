use std::{cell::Cell, rc::Rc, time::Duration};

use link::ShutdownSignal;
use model::{BootTime, event as log_event};
use ports::{LeaseId, LeaseStoreError, StoreChange, StoreOutcome};
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

/// Random delay before a candidate campaigns, so that seven candidates rarely send seven calls to
/// the store for one election.
const CAMPAIGN_JITTER: Duration = Duration::from_millis(30);
/// Delay after a failed election.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How much longer the weakest process waits than the strongest one that it knows, so that it only
/// wins if no strong process campaigns. If all strong processes fail at once, the cell has no owner
/// for this time.
const MAX_WEAKNESS_DELAY: Duration = Duration::from_millis(400);
/// How long a process that has just started waits for the list of members, in case the store is
/// slow. Entries outlive their processes by seconds. So after a failure of all processes, a weak
/// one learns that strong ones are likely to return.
const MEMBERS_READ_TIMEOUT: Duration = Duration::from_millis(200);
/// For how long a process that stepped down delays its campaigns, so that others campaign first.
const STEP_DOWN_DELAY_PERIOD: Duration = Duration::from_secs(10);
/// How often a candidate checks by itself whether there is an owner, besides the watches, and how
/// often a standby reads new pages of the job log.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);
/// How many processes follow the job log; in most cases one of them is the owner. Each costs the
/// store one call per interval, plus the bytes that were added to the log.
const STANDBY_COUNT: usize = 4;
/// Additional delay of each further group of [`STANDBY_COUNT`] processes before it reads the log to
/// campaign. If all read it at once, they would slow down those that are nearly done.
const GROUP_DELAY: Duration = Duration::from_millis(300);
/// Maximum of [`GROUP_DELAY`] for all groups together.
const MAX_GROUP_DELAY: Duration = Duration::from_millis(1500);
/// How long a candidate retries reading the log without progress before it campaigns anyway.
const LOG_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A process that takes part in elections.
pub(crate) struct Candidate {
    /// Passed on to the terms that it wins.
    pub(crate) context: TermContext,
    pub(crate) owners: Rc<OwnerView>,
    pub(crate) current_term: CurrentTerm,
    pub(crate) stopping: ShutdownSignal,
    /// Keeps the process from campaigning while an owner relies on that.
    pub(crate) promise: Rc<ElectionPromise>,
    /// Until when the process adds a delay to its campaigns, after it stepped down.
    pub(crate) campaign_not_before: Cell<BootTime>,
}

impl Candidate {
    /// Campaigns whenever the cell has no owner, and runs the terms that it wins, until the process
    /// stops.
    pub(crate) async fn campaign(self) {
        while !self.stopping.has_begun() {
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
        self.owners.is_vacant() && !self.stopping.has_begun()
    }

    /// Reads new pages of the job log after a delay, if this process is a standby.
    async fn follow_log(&self) {
        sleep(FOLLOW_INTERVAL).await;
        if self.context.members.standby_rank() >= STANDBY_COUNT {
            return;
        }
        if let Err(error) = self.read_new_pages().await {
            // The watches report a store that is unreachable.
            log::debug!("follow the log: {error}");
        }
    }

    /// Reads the job log before campaigning. Otherwise the lease could expire while a new owner
    /// reads a long log behind a narrow link, and no other process could serve meanwhile.
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

    async fn read_new_pages(&self) -> Result<(), LeaseStoreError> {
        let TermContext {
            options,
            ports,
            log_cache,
            ..
        } = &self.context;
        fetch_new_pages(&*ports.store, options, log_cache).await
    }

    /// How long this process delays its campaign in favour of others.
    ///
    /// An owner on a weak host falls behind on a large fleet: it starts work late, answers callers
    /// late or not at all, and is no better in its next term.
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
        // The store may differ by now: the lease may still be valid, or there may be a successor.
        let store = &self.context.ports.store;
        if let Ok(item) = store.read(&self.context.options.owner_key()).await {
            self.owners.set(item.as_ref());
        }
    }

    /// Writes the entry of the owner, if there is none.
    async fn acquire_ownership(&self) -> Result<Option<TermLease>, LeaseStoreError> {
        let sent = BootClock.boot_now();
        let TermContext { options, ports, .. } = &self.context;
        let lease = ports
            .store
            .take_lease(options.scheduler.owner_lease)
            .await?;
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
                // The entry may have been written, or may still be. Without its lease it can't
                // persist.
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
            // It expires by itself.
            log::debug!("end lease {lease}: {error}");
        }
    }
}
