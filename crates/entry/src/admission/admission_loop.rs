use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crossbeam_channel::{Receiver, select};
use decide::retry::RetryBudget;
use model::{BootTime, PoolId, ProblemKind, TeamId};
use ports::{ConfigSource, MemberSource, PoolDemand, QuotaSource, SlotSource, TargetSource};
use store::Clock;

use super::{
    held_work::{HeldWork, expired},
    pool_desk::{PoolDesk, desk_of},
    target_table::TargetTable,
};
use crate::{
    CallerProblem,
    dispatch::{AttemptReport, DispatchPool},
    work::CallerRequest,
};

/// How often leases and quotas are looked at while requests wait for them.
const WAITING_TICK: Duration = Duration::from_millis(4);
/// How often demand is reported and idle connections are swept otherwise.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// How often the queues are searched for requests that are over.
const CULL_INTERVAL: Duration = Duration::from_millis(10);
/// Requests and reports taken in before the queues are looked at again.
const BATCH: usize = 256;

/// What the admission thread works with.
pub(crate) struct AdmissionConfig {
    /// Pools, services and teams in force.
    pub config: Arc<dyn ConfigSource>,
    /// Units of team limits.
    pub quotas: Arc<dyn QuotaSource>,
    /// Targets of each pool.
    pub targets: Arc<dyn TargetSource>,
    /// Slots that this entry host may use.
    pub slots: Arc<dyn SlotSource>,
    /// The other entry hosts.
    pub members: Arc<dyn MemberSource>,
    /// The clock of deadlines.
    pub clock: Arc<dyn Clock>,
    /// Most requests queued for one pool.
    pub max_queue: usize,
    /// The retry budget that a pool begins with.
    pub retries: RetryBudget,
}

/// What the server asks of the admission thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoopCommand {
    /// Start what is queued until the given time, refuse the rest, and end when nothing
    /// runs any more.
    Finish {
        /// When queued requests are refused.
        refuse_at: BootTime,
        /// When the loop ends although something runs.
        end_at: BootTime,
    },
}

/// The channels that the admission thread listens to.
pub(crate) struct AdmissionInbox {
    /// Admitted requests.
    pub requests: Receiver<Box<CallerRequest>>,
    /// Ended attempts.
    pub reports: Receiver<AttemptReport>,
    /// Commands of the server.
    pub commands: Receiver<LoopCommand>,
}

/// Owns the queues, the use of targets and the retries.
///
/// Its work is in three parts: taking requests in and ending them here, starting them in
/// `start_work`, and what follows from an ended attempt in `settle_work`.
pub(crate) struct AdmissionLoop {
    pub(super) config: AdmissionConfig,
    inbox: AdmissionInbox,
    pub(super) dispatch: DispatchPool,
    pub(super) desks: BTreeMap<PoolId, PoolDesk>,
    pub(super) table: TargetTable,
    pub(super) held: Vec<HeldWork>,
    pub(super) waiting: HashMap<TeamId, u32>,
    pub(super) finish: Option<LoopCommand>,
    swept: BootTime,
    culled: BootTime,
    pub(super) turn: usize,
}

impl AdmissionLoop {
    /// A loop with empty queues.
    pub fn new(
        config: AdmissionConfig,
        inbox: AdmissionInbox,
        dispatch: DispatchPool,
        table: TargetTable,
    ) -> Self {
        Self {
            config,
            inbox,
            dispatch,
            desks: BTreeMap::new(),
            table,
            held: Vec::new(),
            waiting: HashMap::new(),
            finish: None,
            swept: BootTime::ZERO,
            culled: BootTime::ZERO,
            turn: 0,
        }
    }

    /// Runs until a `Finish` is done or the server is gone.
    pub fn run(mut self) {
        loop {
            let alive = self.wait();
            self.take_in();
            let now = self.config.clock.boot_now();
            self.release_held(now);
            self.drop_gone(now);
            self.start_waiting(now);
            self.report_demand(now);
            if !alive || self.is_finished(now) {
                break;
            }
        }
        self.take_in();
        self.refuse_queued("this entry host shut down before the request could start");
    }

    /// Waits for something to do; false once the server is gone.
    fn wait(&mut self) -> bool {
        let queued = self.desks.values().any(|desk| !desk.queue.is_empty());
        let tick = if queued { WAITING_TICK } else { IDLE_TICK };
        select! {
            recv(self.inbox.requests) -> work => match work {
                Ok(work) => self.admit(work),
                Err(_) => return false,
            },
            recv(self.inbox.reports) -> report => {
                if let Ok(report) = report {
                    self.settle(report);
                }
            }
            recv(self.inbox.commands) -> command => match command {
                Ok(command) => self.finish = Some(command),
                Err(_) => return false,
            },
            default(tick) => {}
        }
        true
    }

    fn take_in(&mut self) {
        for _ in 0..BATCH {
            let Ok(report) = self.inbox.reports.try_recv() else {
                break;
            };
            self.settle(report);
        }
        for _ in 0..BATCH {
            let Ok(work) = self.inbox.requests.try_recv() else {
                break;
            };
            self.admit(work);
        }
    }

    fn admit(&mut self, mut work: Box<CallerRequest>) {
        let now = self.config.clock.boot_now();
        let desk = desk_of(&mut self.desks, &self.config.retries, &work.pool);
        let lease = self.config.slots.lease(&work.pool);
        if let Some(wait) = desk.expected_wait(&work, &lease, now)
            && Duration::ZERO < wait
            && work.deadline < now + wait + desk.needed_time()
        {
            let detail = format!(
                "the request would wait about {} ms, too long for its deadline",
                wait.as_millis()
            );
            let problem =
                CallerProblem::not_run(ProblemKind::Deadline, detail).with_retry_after(wait);
            work.refuse(problem);
            return;
        }
        desk.meter.note_queue();
        desk.retries.record_first_attempt();
        if let Some(mut surplus) = desk.queue.push(work, self.config.max_queue) {
            let wait = desk.drain_time(&lease).max(Duration::from_millis(200));
            let problem = CallerProblem::not_run(
                ProblemKind::QueueFull,
                "the queue of the pool is full, and this team fills the most of it",
            )
            .with_retry_after(wait);
            surplus.refuse(problem);
        }
    }

    /// Ends requests whose deadline passed, and forgets those whose caller went away.
    fn drop_gone(&mut self, now: BootTime) {
        // Looks at every queued request, so not after each event.
        if now.saturating_sub(self.culled) < CULL_INTERVAL {
            return;
        }
        self.culled = now;
        for desk in self.desks.values_mut() {
            let outlook = desk.outlook();
            let gone = desk.queue.take_out(|work| {
                outlook.waited_too_long(work, now)
                    || now >= work.deadline
                    || work.reply.is_abandoned()
            });
            if gone.is_empty() {
                continue;
            }
            desk.meter.note_queue();
            for mut work in gone {
                let limited = self.waiting.contains_key(&work.team);
                work.refuse(expired(limited));
            }
        }
    }

    fn report_demand(&mut self, now: BootTime) {
        for (pool, desk) in &mut self.desks {
            let Some(teams) = desk.meter.due_report(&desk.queue, now) else {
                continue;
            };
            let targets = self.config.targets.pool_targets(pool);
            self.config.slots.report(PoolDemand {
                pool: pool.clone(),
                teams,
                in_flight: self.table.in_flight(&targets),
            });
        }
        if now.saturating_sub(self.swept) >= Duration::from_secs(1) {
            self.swept = now;
            self.table.sweep(now);
            let queued: usize = self.desks.values().map(|desk| desk.queue.len()).sum();
            metrics::gauge!("lws_requests_queued").set(queued as f64);
            metrics::gauge!("lws_requests_in_flight").set(self.dispatch.busy() as f64);
        }
    }

    fn is_finished(&self, now: BootTime) -> bool {
        let Some(LoopCommand::Finish { end_at, .. }) = self.finish else {
            return false;
        };
        let idle =
            self.dispatch.busy() == 0 && self.desks.values().all(|desk| desk.queue.is_empty());
        (idle && self.inbox.requests.is_empty()) || now >= end_at
    }

    pub(super) fn refuse_queued(&mut self, detail: &str) {
        for desk in self.desks.values_mut() {
            for mut work in desk.queue.take_out(|_| true) {
                let problem = CallerProblem::not_run(ProblemKind::NotServing, detail)
                    .with_retry_after(Duration::from_secs(1));
                work.refuse(problem);
            }
        }
    }
}
