//! One term of ownership of the cell.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    future::Future,
    rc::Rc,
    time::Duration,
};

use decide::{
    link_bounds::most_starts,
    work::{DeskTime, HostPlanner, WorkDesk},
};
use link::ShutdownSignal;
use model::{BootTime, HostId, event as log_event, work::FencingToken};
use ports::{LeaseId, StoreItem};
use store::{BootClock, Clock};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};
use wire::work::log_entry::Event;

use crate::{
    call_gate::CallGate,
    cell_options::CellOptions,
    cell_ports::CellPorts,
    event,
    fleet_view::FleetView,
    log_copy::LogCopy,
    log_queue::{JobLog, record_order},
    member_book::MemberBook,
    target_lane::TargetLane,
};

/// Part of the lease that is not counted on: the clocks of store and host may differ a little.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
/// A renewal that takes this long is waited for, and others are sent meanwhile; one that fails
/// earlier was refused.
const RENEWAL_PATIENCE: Duration = Duration::from_millis(100);
/// How old the knowledge of cancellations may be for work to be begun: less than the time in which
/// one has to be in force, by the way of a start to its target.
const CANCELLATIONS_RECENT: Duration = Duration::from_secs(2);
/// How long a handing over waits for the last entries of the log.
const HAND_OVER_PATIENCE: Duration = Duration::from_millis(300);
/// How often a hand-over looks whether the last entries of the log are stored.
const STORED_PAUSE: Duration = Duration::from_millis(10);

/// What a process gets by winning the ownership.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WonTerm {
    /// Revision of its entry.
    pub(crate) token: FencingToken,
    /// The lease that the entry stands under.
    pub(crate) lease: LeaseId,
    /// When the lease was asked for.
    pub(crate) sent: BootTime,
}

/// What a term needs of its process.
#[derive(Clone)]
pub(crate) struct TermParts {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) ports: CellPorts,
    pub(crate) view: Rc<FleetView>,
    pub(crate) members: Rc<MemberBook>,
    /// Kept from one term to the next.
    pub(crate) copy: Rc<LogCopy>,
}

/// One term: the desk that decides, the log that it writes and the lanes to its targets.
pub(crate) struct Term {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) ports: CellPorts,
    pub(crate) view: Rc<FleetView>,
    pub(crate) members: Rc<MemberBook>,
    pub(crate) copy: Rc<LogCopy>,
    /// Revision of the owner's entry: fences earlier owners.
    pub(crate) token: FencingToken,
    pub(crate) lease: LeaseId,
    pub(crate) desk: RefCell<WorkDesk>,
    pub(crate) hosts: RefCell<HostPlanner>,
    pub(crate) log: JobLog,
    /// Jobs that are being recorded.
    pub(crate) submitting: RefCell<HashSet<String>>,
    pub(crate) lanes: RefCell<HashMap<HostId, Rc<TargetLane>>>,
    /// Orders the calls to all targets.
    pub(crate) gate: Rc<CallGate>,
    /// Tells the driver that something has changed.
    pub(crate) wake: Notify,
    pub(crate) over: ShutdownSignal,
    pub(crate) ready: Cell<bool>,
    /// Set once nothing more is to be begun.
    pub(crate) handing_over: Cell<bool>,
    /// Told once the log has been read.
    pub(crate) became_ready: Notify,
    /// Whether the process gave the cell up for another to take it.
    pub(crate) given_up: Cell<bool>,
    certain_until: Cell<BootTime>,
    /// Until when all other processes keep out of elections.
    pledged_until: Cell<BootTime>,
    /// When the last renewal was sent that was answered.
    renewed_at: Cell<BootTime>,
    /// Whether the last renewal failed at once.
    refused: Cell<bool>,
    alone: Cell<bool>,
    /// Up to when all cancellations are known that are kept in the store; `None` before the first
    /// reading.
    cancellations_known: Cell<Option<BootTime>>,
}

impl Term {
    /// A term that was just won.
    pub(crate) fn new(parts: TermParts, won: WonTerm) -> Rc<Self> {
        let TermParts {
            options,
            ports,
            view,
            members,
            copy,
        } = parts;
        let mut desk = WorkDesk::new(options.desk, won.token);
        desk.set_link(most_starts(options.limits.link_bytes()));
        let certain = won.sent + options.owner_lease - LEASE_MARGIN;
        let gate = CallGate::new(options.limits.link_bytes());
        Rc::new(Self {
            options,
            ports,
            view,
            members,
            copy,
            token: won.token,
            lease: won.lease,
            desk: RefCell::new(desk),
            hosts: RefCell::default(),
            log: JobLog::default(),
            submitting: RefCell::default(),
            lanes: RefCell::default(),
            gate,
            wake: Notify::new(),
            over: ShutdownSignal::default(),
            ready: Cell::new(false),
            handing_over: Cell::new(false),
            became_ready: Notify::new(),
            given_up: Cell::new(false),
            certain_until: Cell::new(certain),
            pledged_until: Cell::default(),
            renewed_at: Cell::new(won.sent),
            refused: Cell::default(),
            alone: Cell::new(false),
            cancellations_known: Cell::new(None),
        })
    }

    /// The present.
    pub(crate) fn now(&self) -> DeskTime {
        DeskTime {
            boot: BootClock.boot_now(),
            unix: BootClock.unix_now(),
        }
    }

    /// True once the log has been read, until the term is over.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get() && !self.over.begun()
    }

    /// True once the term is over.
    pub(crate) fn is_over(&self) -> bool {
        self.over.begun()
    }

    /// True while no other process can have become the owner.
    pub(crate) fn is_certain(&self) -> bool {
        !self.over.begun() && BootClock.boot_now() < self.certain_until.get()
    }

    /// True while what was accepted may be started: no other process can be the owner, by the
    /// lease or by the pledges of all.
    pub(crate) fn may_start(&self) -> bool {
        !self.over.begun() && BootClock.boot_now() < self.sole_until()
    }

    /// True if among the entries that a change conflicted with is the one of this term.
    pub(crate) fn stands_in(&self, items: &[StoreItem]) -> bool {
        let key = self.options.owner_key();
        let owner = items.iter().find(|item| item.key == key);
        owner.is_some_and(|item| item.revision == self.token)
    }

    /// Takes in that all cancellations are known that were kept when a call was sent.
    pub(crate) fn heard_cancellations(&self, sent: BootTime) {
        self.cancellations_known.set(Some(sent));
    }

    /// True while it is known what callers have cancelled, so that work may be begun.
    ///
    /// Callers count on a cancellation that is kept in the store. An owner that hears the store
    /// late, behind a narrow link, would start what they were told does not run. While the store is
    /// away for all, nobody can keep one.
    pub(crate) fn knows_cancellations(&self) -> bool {
        let now = BootClock.boot_now();
        let Some(known) = self.cancellations_known.get() else {
            return false;
        };
        // Counted up to the time at which the store was last there for all.
        let needed = match now < self.pledged_until.get() {
            true => self.renewed_at.get(),
            false => now,
        };
        needed.saturating_sub(known) < CANCELLATIONS_RECENT
    }

    /// Until when no other process can have become the owner.
    fn sole_until(&self) -> BootTime {
        self.certain_until.get().max(self.pledged_until.get())
    }

    /// True while orders may be given: also for a bounded time in which the store is away.
    ///
    /// The clock counts suspended time, so a process that stood still learns here that its
    /// time is over before it gives another order.
    pub(crate) fn may_order(&self) -> bool {
        let limit = self.sole_until() + self.options.desk.alone;
        !self.over.begun() && BootClock.boot_now() < limit
    }

    /// True if this process seems not to reach the store: it was refused just now, or no renewal
    /// was answered for some time. Single answers get lost; the renewal after them is in time.
    pub(crate) fn misses_store(&self) -> bool {
        let limit = self.options.renew_every * 2 + RENEWAL_PATIENCE;
        let silence = BootClock.boot_now().saturating_sub(self.renewed_at.get());
        self.refused.get() || silence >= limit
    }

    /// Takes in that all other processes keep out of elections until a time.
    ///
    /// That counts only while this one was sure until now: an election in a gap before would be
    /// over, and nobody need tell of it.
    pub(crate) fn rely_until(&self, until: BootTime) {
        if !self.may_start() {
            return;
        }
        let first = self.pledged_until.get() < BootClock.boot_now();
        if first {
            log_event::info(&event::TERM_PLEDGED, format_args!("token={}", self.token));
        }
        self.pledged_until.set(self.pledged_until.get().max(until));
    }

    /// Takes in that a renewal which was sent at `sent` was answered.
    pub(crate) fn renewed(&self, sent: BootTime) {
        self.refused.set(false);
        self.renewed_at.set(self.renewed_at.get().max(sent));
        let certain = sent + self.options.owner_lease - LEASE_MARGIN;
        self.certain_until
            .set(self.certain_until.get().max(certain));
        if self.alone.take() {
            log_event::info(&event::TERM_CALM, format_args!("token={}", self.token));
        }
    }

    /// Takes in that a renewal which was sent at `sent` failed, and tells when the lease may have
    /// lapsed by that.
    pub(crate) fn renewal_failed(&self, sent: BootTime, cause: &str) {
        let took = BootClock.boot_now().saturating_sub(sent);
        self.refused
            .set(self.refused.get() || took < RENEWAL_PATIENCE);
        if !self.is_certain() && !self.alone.replace(true) {
            log_event::warn(
                &event::TERM_ALONE,
                format_args!("token={} cause=\"{cause}\"", self.token),
            );
        }
    }

    /// Ends the term.
    pub(crate) fn end(&self, reason: &str) {
        if self.over.begun() {
            return;
        }
        log_event::warn(
            &event::TERM_ENDED,
            format_args!("token={} reason=\"{reason}\"", self.token),
        );
        self.over.begin();
    }

    /// Hands the cell over: writes what is left and ends the lease, so that a successor need
    /// not wait until it lapses.
    pub(crate) async fn hand_over(&self) {
        let deadline = Instant::now() + HAND_OVER_PATIENCE;
        let order = record_order(Event::HandedOver(self.token), true);
        self.handing_over.set(true);
        self.log.add(order, self.now().boot);
        while !self.log.is_empty() && Instant::now() < deadline {
            sleep(STORED_PAUSE).await;
        }
        self.give_up("handed over").await;
    }

    /// Ends the term and its lease, so that another process can take the cell at once.
    pub(crate) async fn give_up(&self, reason: &str) {
        self.given_up.set(true);
        self.end(reason);
        if let Err(error) = self.ports.store.end_lease(self.lease).await {
            log_event::warn(
                &event::STORE_LOST,
                format_args!("step=\"end lease\" cause=\"{error}\""),
            );
        }
    }

    /// Runs a task until it or the term ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let over = self.over.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                biased;
                () = over.wait() => {}
                () = task => {}
            }
        });
    }
}
