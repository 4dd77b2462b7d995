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
    order_timeout::OrderTimeout,
    work::{HostPlanner, SchedulerTime, WorkScheduler},
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
    unsure_renewals::{RenewalTimes, UnsureRenewals},
};

/// Part of the lease that the owner does not rely on, because the clocks of the store and the host
/// may differ a little.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
/// A renewal that fails earlier than this was refused. One that takes longer is still pending, and
/// further renewals are sent meanwhile.
const RENEWAL_GRACE: Duration = Duration::from_millis(100);
/// Maximum age of the last read of stored cancellations for new work to be started. It is less than
/// the time in which a cancellation has to take effect, minus the time that a start takes to reach
/// its target, which [`MAX_START_DELAY`] bounds.
pub(crate) const CANCELLATIONS_MAX_AGE: Duration = Duration::from_secs(2);
/// Maximum age of the last read of the operators' requests for new work to be started. It is less
/// than the time in which the drain of a data centre has to take effect, minus the time that a start
/// takes to reach its target, which [`MAX_START_DELAY`] bounds.
pub(crate) const REQUESTS_MAX_AGE: Duration = Duration::from_secs(3);
/// Longest time between the sending of a start and its effect. The lease may be longer, behind a
/// narrow link.
const MAX_START_DELAY: Duration = Duration::from_secs(1);
/// How long a hand-over waits for the last entries of the log to be stored.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a hand-over checks whether the last entries of the log are stored.
const STORED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The lease and the token of a process that won an election.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TermLease {
    /// Revision of the owner's entry in the store.
    pub(crate) token: FencingToken,
    /// The lease that the owner's entry is attached to.
    pub(crate) lease: LeaseId,
    /// When the lease was requested.
    pub(crate) sent: BootTime,
}

/// The parts of its process that a term uses.
#[derive(Clone)]
pub(crate) struct TermContext {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) ports: CellPorts,
    pub(crate) view: Rc<FleetView>,
    pub(crate) members: Rc<MemberDirectory>,
    /// Reused by the next term of the same process.
    pub(crate) log_cache: Rc<LogCache>,
}

/// One term of ownership: the scheduler, the job log that it writes and the channels to its
/// targets.
pub(crate) struct Term {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) ports: CellPorts,
    pub(crate) view: Rc<FleetView>,
    pub(crate) members: Rc<MemberDirectory>,
    pub(crate) log_cache: Rc<LogCache>,
    /// Revision of the owner's entry. It fences earlier owners.
    pub(crate) token: FencingToken,
    pub(crate) lease: LeaseId,
    pub(crate) scheduler: RefCell<WorkScheduler>,
    pub(crate) hosts: RefCell<HostPlanner>,
    pub(crate) log_queue: LogQueue,
    /// Jobs whose acceptance is being written to the log.
    pub(crate) submitting: RefCell<HashSet<String>>,
    pub(crate) channels: RefCell<HashMap<HostId, Rc<TargetChannel>>>,
    /// Limits and prioritises the calls to all targets.
    pub(crate) call_limiter: Rc<CallLimiter>,
    /// Timeout of starts and stops, by the answers to them.
    pub(crate) order_timeout: Cell<OrderTimeout>,
    /// Wakes the scheduling loop after a change.
    pub(crate) wake: Notify,
    pub(crate) over: ShutdownSignal,
    pub(crate) ready: Cell<bool>,
    /// Set once no new work may be started, because the cell is being handed over.
    pub(crate) handing_over: Cell<bool>,
    /// Notified once the log has been read.
    pub(crate) on_ready: Notify,
    /// Whether the process released the cell so that another process can take it.
    pub(crate) stepped_down: Cell<bool>,
    lease_valid_until: Cell<BootTime>,
    /// Until when all other processes have promised not to campaign.
    promised_until: Cell<BootTime>,
    /// When the last renewal that succeeded was sent.
    last_renewal_sent: Cell<BootTime>,
    /// Whether the last renewal failed at once.
    last_renewal_refused: Cell<bool>,
    ownership_uncertain: Cell<bool>,
    /// Renewals on targets since another process may own the cell.
    unsure_renewals: UnsureRenewals,
    /// All cancellations stored before this time have been read; `None` before the first read.
    cancellations_read_at: Cell<Option<BootTime>>,
}

impl Term {
    /// Creates the term of an election that was just won.
    pub(crate) fn new(context: TermContext, won: TermLease) -> Rc<Self> {
        let TermContext {
            options,
            ports,
            view,
            members,
            log_cache,
        } = context;
        let mut scheduler = WorkScheduler::new(options.scheduler, won.token);
        scheduler.set_max_start_rate(max_starts_per_second(
            options.limits.link_bytes_per_second(),
        ));
        let valid_until = won.sent + options.scheduler.owner_lease - LEASE_MARGIN;
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
            order_timeout: Cell::default(),
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
            unsure_renewals: UnsureRenewals::default(),
            cancellations_read_at: Cell::new(None),
        })
    }

    /// The current time.
    pub(crate) fn now(&self) -> SchedulerTime {
        SchedulerTime {
            boot: BootClock.boot_now(),
            unix: BootClock.unix_now(),
        }
    }

    /// True from when the log has been read until the term is over.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get() && !self.over.has_begun()
    }

    /// True once the term is over.
    pub(crate) fn is_over(&self) -> bool {
        self.over.has_begun()
    }

    /// True while the lease guarantees that no other process is the owner.
    pub(crate) fn has_valid_lease(&self) -> bool {
        !self.over.has_begun() && BootClock.boot_now() < self.lease_valid_until.get()
    }

    /// True while accepted tasks may be started: either the lease or the promises of all other
    /// processes guarantee that there is no other owner.
    pub(crate) fn may_start_tasks(&self) -> bool {
        !self.over.has_begun() && BootClock.boot_now() < self.sole_owner_until()
    }

    /// True if the entry of this term as owner is among the entries that a change conflicted with.
    pub(crate) fn holds_owner_entry(&self, items: &[StoreItem]) -> bool {
        let key = self.options.owner_key();
        let owner = items.iter().find(|item| item.key == key);
        owner.is_some_and(|item| item.revision == self.token)
    }

    /// Marks that all cancellations stored before `sent` have been read.
    pub(crate) fn cancellations_read(&self, sent: BootTime) {
        self.cancellations_read_at.set(Some(sent));
    }

    /// How long ago the stored cancellations were read; `None` if never.
    pub(crate) fn cancellations_age(&self) -> Option<Duration> {
        self.read_age(self.cancellations_read_at.get())
    }

    /// How long ago the operators' requests were read; `None` if never.
    pub(crate) fn requests_age(&self) -> Option<Duration> {
        self.read_age(self.view.read_at())
    }

    /// For how long anybody can have changed the store since `read_at`, the time up to which
    /// changes were read.
    fn read_age(&self, read_at: Option<BootTime>) -> Option<Duration> {
        let now = BootClock.boot_now();
        // During an outage for all, nobody has changed the store since it was last reachable.
        let changed_until = match now < self.promised_until.get() {
            true => self.last_renewal_sent.get(),
            false => now,
        };
        read_at.map(|read_at| changed_until.saturating_sub(read_at))
    }

    /// Until when a start that is sent now may take effect: no other process can have become the
    /// owner by then, and what was cancelled or drained is known recently enough.
    pub(crate) fn start_limit(&self) -> BootTime {
        let latest = BootClock.boot_now() + MAX_START_DELAY;
        self.sole_owner_until().min(latest)
    }

    /// Until when no other process can have become the owner.
    pub(crate) fn sole_owner_until(&self) -> BootTime {
        self.lease_valid_until.get().max(self.promised_until.get())
    }

    /// True while orders may be sent. This includes the time after the lease in which leases of
    /// targets last, for an outage of the store.
    ///
    /// The clock also counts time in which the host was suspended. So a process that was paused
    /// finds its lease expired here before it sends another order.
    pub(crate) fn may_send_orders(&self) -> bool {
        !self.over.has_begun() && BootClock.boot_now() < self.orders_until()
    }

    /// Until when orders may be sent if the lease is not renewed.
    fn orders_until(&self) -> BootTime {
        self.sole_owner_until() + self.options.scheduler.lease_overhang
    }

    /// Counts and logs a poll that renews leases on a target while another process may own the cell.
    pub(crate) fn record_renewal(&self, target: &HostId) {
        let times = RenewalTimes {
            now: BootClock.boot_now(),
            sole_until: self.sole_owner_until(),
            orders_until: self.orders_until(),
        };
        self.unsure_renewals.record(self.token, target, times);
    }

    /// True if this process seems to be cut off from the store: the last renewal was refused, or no
    /// renewal has succeeded for some time. A single lost response does not count, because the next
    /// renewal is in time.
    pub(crate) fn seems_cut_off(&self) -> bool {
        let limit = self.options.renew_interval * 2 + RENEWAL_GRACE;
        let unanswered = BootClock
            .boot_now()
            .saturating_sub(self.last_renewal_sent.get());
        self.last_renewal_refused.get() || unanswered >= limit
    }

    /// Extends the time for which all other processes have promised not to campaign.
    ///
    /// Promises count only while this process has been the sole owner without a gap. During a gap
    /// another process could have won an election, and nobody would be obliged to report it.
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

    /// Extends the lease after a renewal that was sent at `sent` succeeded.
    pub(crate) fn renewal_succeeded(&self, sent: BootTime) {
        self.last_renewal_refused.set(false);
        self.last_renewal_sent
            .set(self.last_renewal_sent.get().max(sent));
        let valid_until = sent + self.options.scheduler.owner_lease - LEASE_MARGIN;
        self.lease_valid_until
            .set(self.lease_valid_until.get().max(valid_until));
        if !self.has_valid_lease() {
            return;
        }
        let renewals = self.unsure_renewals.take_summary(BootClock.boot_now());
        if self.ownership_uncertain.take() || !renewals.is_empty() {
            log_event::info(
                &event::TERM_CALM,
                format_args!("token={}{renewals}", self.token),
            );
        }
    }

    /// Handles a failed renewal that was sent at `sent`, and logs when the lease may have expired.
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
        if self.over.has_begun() {
            return;
        }
        log_event::warn(
            &event::TERM_ENDED,
            format_args!(
                "token={} reason=\"{reason}\"{}",
                self.token,
                self.unsure_renewals.take_summary(BootClock.boot_now())
            ),
        );
        self.over.begin();
    }

    /// Hands the cell over: writes the remaining log entries and ends the lease, so that a
    /// successor need not wait for it to expire.
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

    /// Ends the term and its lease at once, so that another process can take the cell.
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

    /// Runs a task until it completes or the term ends.
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
