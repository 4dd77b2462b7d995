//! One term of ownership of the cell.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    future::Future,
    rc::Rc,
    time::Duration,
};

use decide::{
    link_bounds::max_starts_per_second,
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
    call_limiter::CallLimiter,
    cell_options::CellOptions,
    cell_ports::CellPorts,
    event,
    fleet_view::FleetView,
    log_cache::LogCache,
    log_queue::{LogQueue, record_order},
    member_directory::MemberDirectory,
    target_channel::TargetChannel,
};

/// Part of the lease that is not counted on: the clocks of store and host may differ a little.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
/// A renewal that takes this long is waited for, and others are sent meanwhile; one that fails
/// earlier was refused.
const RENEWAL_GRACE: Duration = Duration::from_millis(100);
/// How old the knowledge of cancellations may be for work to be begun: less than the time in which
/// one has to be in force, by the way of a start to its target.
const CANCELLATIONS_MAX_AGE: Duration = Duration::from_secs(2);
/// How long a handing over waits for the last entries of the log.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a hand-over looks whether the last entries of the log are stored.
const STORED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What a process gets by winning the ownership.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TermLease {
    /// Revision of its entry.
    pub(crate) token: FencingToken,
    /// The lease that the entry stands under.
    pub(crate) lease: LeaseId,
    /// When the lease was asked for.
    pub(crate) sent: BootTime,
}

/// What a term needs of its process.
#[derive(Clone)]
pub(crate) struct TermContext {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) ports: CellPorts,
    pub(crate) view: Rc<FleetView>,
    pub(crate) members: Rc<MemberDirectory>,
    /// Kept from one term to the next.
    pub(crate) log_cache: Rc<LogCache>,
}

/// One term: the scheduler that decides, the log that it writes and the lanes to its targets.
pub(crate) struct Term {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) ports: CellPorts,
    pub(crate) view: Rc<FleetView>,
    pub(crate) members: Rc<MemberDirectory>,
    pub(crate) log_cache: Rc<LogCache>,
    /// Revision of the owner's entry: fences earlier owners.
    pub(crate) token: FencingToken,
    pub(crate) lease: LeaseId,
    pub(crate) scheduler: RefCell<WorkDesk>,
    pub(crate) hosts: RefCell<HostPlanner>,
    pub(crate) log_queue: LogQueue,
    /// Jobs that are being recorded.
    pub(crate) submitting: RefCell<HashSet<String>>,
    pub(crate) channels: RefCell<HashMap<HostId, Rc<TargetChannel>>>,
    /// Orders the calls to all targets.
    pub(crate) call_limiter: Rc<CallLimiter>,
    /// Tells the driver that something has changed.
    pub(crate) wake: Notify,
    pub(crate) over: ShutdownSignal,
    pub(crate) ready: Cell<bool>,
    /// Set once nothing more is to be begun.
    pub(crate) handing_over: Cell<bool>,
    /// Told once the log has been read.
    pub(crate) on_ready: Notify,
    /// Whether the process gave the cell up for another to take it.
    pub(crate) stepped_down: Cell<bool>,
    lease_valid_until: Cell<BootTime>,
    /// Until when all other processes keep out of elections.
    promised_until: Cell<BootTime>,
    /// When the last renewal was sent that was answered.
    last_renewal_sent: Cell<BootTime>,
    /// Whether the last renewal failed at once.
    last_renewal_refused: Cell<bool>,
    ownership_uncertain: Cell<bool>,
    /// Up to when all cancellations are known that are kept in the store; `None` before the first
    /// reading.
    cancellations_read_at: Cell<Option<BootTime>>,
}

impl Term {
    /// A term that was just won.
    pub(crate) fn new(context: TermContext, won: TermLease) -> Rc<Self> {
        let TermContext {
            options,
            ports,
            view,
            members,
            log_cache,
        } = context;
        let mut scheduler = WorkDesk::new(options.scheduler, won.token);
        scheduler.set_link(max_starts_per_second(
            options.limits.link_bytes_per_second(),
        ));
        let valid_until = won.sent + options.owner_lease - LEASE_MARGIN;
        let call_limiter = CallLimiter::new(options.limits.link_bytes_per_second());
        Rc::new(Self {
            options,
            ports,
            view,
            members,
            log_cache,
            token: won.token,
            lease: won.lease,
            scheduler: RefCell::new(scheduler),
            hosts: RefCell::default(),
            log_queue: LogQueue::default(),
            submitting: RefCell::default(),
            channels: RefCell::default(),
            call_limiter,
            wake: Notify::new(),
            over: ShutdownSignal::default(),
            ready: Cell::new(false),
            handing_over: Cell::new(false),
            on_ready: Notify::new(),
            stepped_down: Cell::new(false),
            lease_valid_until: Cell::new(valid_until),
            promised_until: Cell::default(),
            last_renewal_sent: Cell::new(won.sent),
            last_renewal_refused: Cell::default(),
            ownership_uncertain: Cell::new(false),
            cancellations_read_at: Cell::new(None),
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
    pub(crate) fn has_valid_lease(&self) -> bool {
        !self.over.begun() && BootClock.boot_now() < self.lease_valid_until.get()
    }

    /// True while what was accepted may be started: no other process can be the owner, by the
    /// lease or by the pledges of all.
    pub(crate) fn may_start_tasks(&self) -> bool {
        !self.over.begun() && BootClock.boot_now() < self.sole_owner_until()
    }

    /// True if among the entries that a change conflicted with is the one of this term.
    pub(crate) fn holds_owner_entry(&self, items: &[StoreItem]) -> bool {
        let key = self.options.owner_key();
        let owner = items.iter().find(|item| item.key == key);
        owner.is_some_and(|item| item.revision == self.token)
    }

    /// Takes in that all cancellations are known that were kept when a call was sent.
    pub(crate) fn cancellations_read(&self, sent: BootTime) {
        self.cancellations_read_at.set(Some(sent));
    }

    /// True while it is known what callers have cancelled, so that work may be begun.
    ///
    /// Callers count on a cancellation that is kept in the store. An owner that hears the store
    /// late, behind a narrow link, would start what they were told does not run. While the store is
    /// away for all, nobody can keep one.
    pub(crate) fn cancellations_are_current(&self) -> bool {
        let now = BootClock.boot_now();
        let Some(known) = self.cancellations_read_at.get() else {
            return false;
        };
        // Counted up to the time at which the store was last there for all.
        let needed = match now < self.promised_until.get() {
            true => self.last_renewal_sent.get(),
            false => now,
        };
        needed.saturating_sub(known) < CANCELLATIONS_MAX_AGE
    }

    /// Until when no other process can have become the owner.
    fn sole_owner_until(&self) -> BootTime {
        self.lease_valid_until.get().max(self.promised_until.get())
    }

    /// True while orders may be given: also for a bounded time in which the store is away.
    ///
    /// The clock counts suspended time, so a process that stood still learns here that its
    /// time is over before it gives another order.
    pub(crate) fn may_send_orders(&self) -> bool {
        let limit = self.sole_owner_until() + self.options.scheduler.alone;
        !self.over.begun() && BootClock.boot_now() < limit
    }

    /// True if this process seems not to reach the store: it was refused just now, or no renewal
    /// was answered for some time. Single answers get lost; the renewal after them is in time.
    pub(crate) fn seems_cut_off(&self) -> bool {
        let limit = self.options.renew_interval * 2 + RENEWAL_GRACE;
        let unanswered = BootClock
            .boot_now()
            .saturating_sub(self.last_renewal_sent.get());
        self.last_renewal_refused.get() || unanswered >= limit
    }

    /// Takes in that all other processes keep out of elections until a time.
    ///
    /// That counts only while this one was sure until now: an election in a gap before would be
    /// over, and nobody need tell of it.
    pub(crate) fn trust_promises_until(&self, until: BootTime) {
        if !self.may_start_tasks() {
            return;
        }
        let first = self.promised_until.get() < BootClock.boot_now();
        if first {
            log_event::info(&event::TERM_PLEDGED, format_args!("token={}", self.token));
        }
        self.promised_until
            .set(self.promised_until.get().max(until));
    }

    /// Takes in that a renewal which was sent at `sent` was answered.
    pub(crate) fn renewal_succeeded(&self, sent: BootTime) {
        self.last_renewal_refused.set(false);
        self.last_renewal_sent
            .set(self.last_renewal_sent.get().max(sent));
        let valid_until = sent + self.options.owner_lease - LEASE_MARGIN;
        self.lease_valid_until
            .set(self.lease_valid_until.get().max(valid_until));
        if self.ownership_uncertain.take() {
            log_event::info(&event::TERM_CALM, format_args!("token={}", self.token));
        }
    }

    /// Takes in that a renewal which was sent at `sent` failed, and tells when the lease may have
    /// lapsed by that.
    pub(crate) fn renewal_failed(&self, sent: BootTime, cause: &str) {
        let took = BootClock.boot_now().saturating_sub(sent);
        self.last_renewal_refused
            .set(self.last_renewal_refused.get() || took < RENEWAL_GRACE);
        if !self.has_valid_lease() && !self.ownership_uncertain.replace(true) {
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
        let deadline = Instant::now() + HAND_OVER_TIMEOUT;
        let order = record_order(Event::HandedOver(self.token), true);
        self.handing_over.set(true);
        self.log_queue.push(order, self.now().boot);
        while !self.log_queue.is_empty() && Instant::now() < deadline {
            sleep(STORED_CHECK_INTERVAL).await;
        }
        self.step_down_now("handed over").await;
    }

    /// Ends the term and its lease, so that another process can take the cell at once.
    pub(crate) async fn step_down_now(&self, reason: &str) {
        self.stepped_down.set(true);
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
