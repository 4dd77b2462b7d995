//! One term of ownership of the cell.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    future::Future,
    rc::Rc,
};

use decide::work::{DeskOrder, DeskTime, HostPlanner, RecordOrder, WorkDesk};
use link::ShutdownSignal;
use model::{BootTime, HostId, event as log_event, work::FencingToken};
use ports::LeaseId;
use store::{BootClock, Clock};
use wire::work::{LogEntry, log_entry::Event};

use tokio::{
    sync::Notify,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    cell_host::CellPorts, cell_options::CellOptions, event, fleet_view::FleetView, host_duty,
    job_log, job_log::JobLog, log_reader::read_log, metric, record_note, target_lane::TargetLane,
    target_orders::run_order, target_watch,
};

/// How often the desk is told the time.
const TICK: std::time::Duration = std::time::Duration::from_millis(50);
/// Part of the lease that is not counted on: the clocks of store and host may differ a little.
const LEASE_MARGIN: std::time::Duration = std::time::Duration::from_millis(100);

/// One term: the desk that decides, the log that it writes and the lanes to its targets.
pub(crate) struct Term {
    pub(crate) options: Rc<CellOptions>,
    pub(crate) ports: CellPorts,
    pub(crate) view: Rc<FleetView>,
    /// Revision of the owner's entry: fences earlier owners.
    pub(crate) token: FencingToken,
    lease: LeaseId,
    pub(crate) desk: RefCell<WorkDesk>,
    pub(crate) hosts: RefCell<HostPlanner>,
    pub(crate) log: JobLog,
    /// Jobs that are being recorded.
    pub(crate) submitting: RefCell<HashSet<String>>,
    pub(crate) lanes: RefCell<HashMap<HostId, Rc<TargetLane>>>,
    /// Tells the driver that something has changed.
    pub(crate) wake: Notify,
    over: ShutdownSignal,
    ready: Cell<bool>,
    /// Set once nothing more is to be begun.
    pub(crate) handing_over: Cell<bool>,
    /// Told once the log has been read.
    pub(crate) became_ready: Notify,
    certain_until: Cell<BootTime>,
    alone: Cell<bool>,
}

impl Term {
    /// A term that was won by an entry of revision `token`, written at `sent` under `lease`.
    pub(crate) fn new(
        options: Rc<CellOptions>,
        ports: CellPorts,
        view: Rc<FleetView>,
        token: FencingToken,
        lease: LeaseId,
        sent: BootTime,
    ) -> Rc<Self> {
        let desk = WorkDesk::new(options.desk, token);
        let certain = sent + options.owner_lease - LEASE_MARGIN;
        Rc::new(Self {
            options,
            ports,
            view,
            token,
            lease,
            desk: RefCell::new(desk),
            hosts: RefCell::default(),
            log: JobLog::default(),
            submitting: RefCell::default(),
            lanes: RefCell::default(),
            wake: Notify::new(),
            over: ShutdownSignal::default(),
            ready: Cell::new(false),
            handing_over: Cell::new(false),
            became_ready: Notify::new(),
            certain_until: Cell::new(certain),
            alone: Cell::new(false),
        })
    }

    /// Runs the term until it is over.
    pub(crate) async fn run(self: Rc<Self>) {
        metrics::gauge!(metric::OWNER).set(1.0);
        metrics::counter!(metric::TERMS).increment(1);
        let renewal = self.clone();
        self.spawn(async move { renewal.renew().await });
        let reading = self.clone();
        self.spawn(async move { reading.lead().await });
        self.over.wait().await;
        metrics::gauge!(metric::OWNER).set(0.0);
        self.lanes.borrow_mut().clear();
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

    /// True while orders may be given: also for a bounded time in which the store is away.
    ///
    /// The clock counts suspended time, so a process that stood still learns here that its
    /// time is over before it gives another order.
    pub(crate) fn may_order(&self) -> bool {
        let limit = self.certain_until.get() + self.options.desk.alone;
        !self.over.begun() && BootClock.boot_now() < limit
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
    pub(crate) async fn hand_over(&self, patience: std::time::Duration) {
        let deadline = tokio::time::Instant::now() + patience;
        let order = RecordOrder {
            entry: LogEntry {
                event: Some(Event::HandedOver(self.token)),
            },
            origin: None,
            job: None,
            urgent: true,
        };
        self.handing_over.set(true);
        self.log.add(order, self.now().boot);
        while !self.log.is_empty() && tokio::time::Instant::now() < deadline {
            sleep(TICK / 5).await;
        }
        self.end("handed over");
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

    /// Reads the log, then decides until the term is over.
    async fn lead(self: Rc<Self>) {
        let started = self.now().boot;
        let mut desk = self.desk.borrow().clone();
        let summary = read_log(&*self.ports.store, &self.options, &mut desk, || self.now()).await;
        if let Some(terms) = self.view.terms() {
            desk.set_terms(terms);
        }
        log_event::info(
            &event::TERM_READ,
            format_args!(
                "token={} pages={} jobs={} open={} targets={} took_ms={}",
                self.token,
                summary.pages,
                desk.board.jobs.len(),
                desk.board.open.len(),
                desk.board.used.len(),
                self.now().boot.saturating_sub(started).as_millis()
            ),
        );
        *self.desk.borrow_mut() = desk;
        self.ready.set(true);
        self.became_ready.notify_waiters();
        let (log, targets, hosts) = (self.clone(), self.clone(), self.clone());
        self.spawn(job_log::write_log(log, summary));
        self.spawn(async move { target_watch::watch_targets(targets).await });
        self.spawn(host_duty::tend_hosts(hosts));
        self.drive().await;
    }

    /// Lets the desk plan whenever something has changed.
    async fn drive(self: Rc<Self>) {
        let mut terms_seen = 0;
        // The ticks go on by themselves: a sleep begun anew after each event would never end
        // while events come in more often, and what time alone brings would not happen.
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let ticked = tokio::select! {
                biased;
                _ = ticks.tick() => true,
                () = self.wake.notified() => false,
                () = self.view.changed.notified() => false,
            };
            let version = self.view.version.get();
            if version != terms_seen {
                terms_seen = version;
                if let Some(terms) = self.view.terms() {
                    self.desk.borrow_mut().set_terms(terms);
                }
            }
            let now = self.now();
            if !self.may_order() {
                self.end("lapsed while the store did not answer");
                return;
            }
            {
                let mut desk = self.desk.borrow_mut();
                desk.set_alone(!self.is_certain());
                if ticked {
                    desk.tick(now);
                    #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
                    metrics::gauge!(metric::OPEN_JOBS).set(desk.board.open.len() as f64);
                }
                desk.plan(now);
            }
            self.carry_out();
        }
    }

    /// Carries out what the desk has ordered.
    fn carry_out(self: &Rc<Self>) {
        let (orders, events, dropped, targets) = {
            let mut desk = self.desk.borrow_mut();
            let known = self.lanes.borrow();
            let missing = desk.targets.keys().filter(|id| !known.contains_key(*id));
            let missing: Vec<HostId> = missing.cloned().collect();
            let dropped = std::mem::take(&mut desk.events_dropped);
            (desk.take_orders(), desk.take_events(), dropped, missing)
        };
        record_note::log_events(events, dropped);
        for id in targets {
            TargetLane::open(self, id);
        }
        let now = self.now().boot;
        for order in orders {
            match order {
                DeskOrder::Record(record) => self.log.add(record, now),
                DeskOrder::Resign(target) => {
                    log_event::warn(
                        &event::OWNER_FENCED,
                        format_args!("target={target} token={}", self.token),
                    );
                    self.end("fenced");
                    return;
                }
                other => run_order(self, other),
            }
        }
    }

    /// Renews the lease until the term is over.
    async fn renew(self: Rc<Self>) {
        loop {
            sleep(self.options.renew_every).await;
            let sent = BootClock.boot_now();
            match self.ports.store.renew_lease(self.lease).await {
                Ok(true) => {
                    self.certain_until
                        .set(sent + self.options.owner_lease - LEASE_MARGIN);
                    if self.alone.take() {
                        log_event::info(&event::TERM_CALM, format_args!("token={}", self.token));
                    }
                }
                Ok(false) => {
                    self.end("lease lapsed");
                    return;
                }
                Err(error) => {
                    if !self.is_certain() && !self.alone.replace(true) {
                        log_event::warn(
                            &event::TERM_ALONE,
                            format_args!("token={} cause=\"{error}\"", self.token),
                        );
                    }
                }
            }
        }
    }
}
