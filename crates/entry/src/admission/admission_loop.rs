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
    pool_state::{PoolState, pool_state_mut},
    resource_hold::{ResourceHold, deadline_problem},
    target_table::TargetTable,
};
use crate::{
    CallerProblem,
    caller_request::CallerRequest,
    dispatch::{AttemptReport, DispatchPool},
};

/// Interval for checking leases and quotas while requests are queued.
const WAITING_TICK: Duration = Duration::from_millis(4);
/// Interval for reporting demand and closing idle connections while no request is queued.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Interval for removing expired and abandoned requests from the queues.
const CULL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of requests and of reports handled before requests are started again.
const BATCH: usize = 256;

/// Dependencies and settings of the admission thread.
pub(crate) struct AdmissionConfig {
    /// The active configuration: pools, services and teams.
    pub config: Arc<dyn ConfigSource>,
    /// Units of the team limits.
    pub quotas: Arc<dyn QuotaSource>,
    /// Targets of each pool.
    pub targets: Arc<dyn TargetSource>,
    /// Slots that this entry host may use.
    pub slots: Arc<dyn SlotSource>,
    /// The entry hosts, including this one.
    pub members: Arc<dyn MemberSource>,
    /// The clock that deadlines are measured by.
    pub clock: Arc<dyn Clock>,
    /// Maximum number of queued requests per pool.
    pub max_queue: usize,
    /// The retry budget of a new pool.
    pub retries: RetryBudget,
}

/// A command from the server to the admission thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoopCommand {
    /// Keep starting queued requests until `refuse_at`, then refuse the rest, and exit once
    /// no request is running.
    Finish {
        /// From this time on, queued requests are refused.
        refuse_at: BootTime,
        /// At this time the loop exits even if requests are still running.
        end_at: BootTime,
    },
}

/// The channels that the admission thread receives from.
pub(crate) struct AdmissionInbox {
    /// Admitted requests.
    pub requests: Receiver<Box<CallerRequest>>,
    /// Reports of finished attempts.
    pub reports: Receiver<AttemptReport>,
    /// Commands of the server.
    pub commands: Receiver<LoopCommand>,
}

/// Owns the queues, the usage of targets and the retries.
///
/// This file admits, expires and refuses requests; `start_requests` starts them and
/// `finish_attempt` handles the reports of finished attempts.
pub(crate) struct AdmissionLoop {
    pub(super) config: AdmissionConfig,
    inbox: AdmissionInbox,
    pub(super) dispatch: DispatchPool,
    pub(super) pools: BTreeMap<PoolId, PoolState>,
    pub(super) table: TargetTable,
    pub(super) holds: Vec<ResourceHold>,
    pub(super) quota_waits: HashMap<TeamId, u32>,
    pub(super) finish: Option<LoopCommand>,
    last_sweep: BootTime,
    last_cull: BootTime,
    pub(super) tie_break: usize,
}

impl AdmissionLoop {
    /// Creates a loop with empty queues.
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
            pools: BTreeMap::new(),
            table,
            holds: Vec::new(),
            quota_waits: HashMap::new(),
            finish: None,
            last_sweep: BootTime::ZERO,
            last_cull: BootTime::ZERO,
            tie_break: 0,
        }
    }

    /// Runs until a `Finish` command has completed or the server has been dropped.
    pub fn run(mut self) {
        loop {
            let alive = self.wait_for_event();
            self.drain_inbox();
            let now = self.config.clock.boot_now();
            self.release_expired_holds(now);
            self.remove_ended(now);
            self.start_waiting(now);
            self.report_demand(now);
            if !alive || self.is_finished(now) {
                break;
            }
        }
        self.drain_inbox();
        self.refuse_queued("this entry host shut down before the request could start");
    }

    /// Waits for a request, a report, a command or the next tick. Returns false once the
    /// server has been dropped.
    fn wait_for_event(&mut self) -> bool {
        let queued = self.pools.values().any(|state| !state.queue.is_empty());
        let tick = if queued { WAITING_TICK } else { IDLE_TICK };
        select! {
            recv(self.inbox.requests) -> request => match request {
                Ok(request) => self.admit(request),
                Err(_) => return false,
            },
            recv(self.inbox.reports) -> report => {
                if let Ok(report) = report {
                    self.handle_report(report);
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

    fn drain_inbox(&mut self) {
        for _ in 0..BATCH {
            let Ok(report) = self.inbox.reports.try_recv() else {
                break;
            };
            self.handle_report(report);
        }
        for _ in 0..BATCH {
            let Ok(request) = self.inbox.requests.try_recv() else {
                break;
            };
            self.admit(request);
        }
    }

    fn admit(&mut self, mut request: Box<CallerRequest>) {
        let now = self.config.clock.boot_now();
        let state = pool_state_mut(&mut self.pools, &self.config.retries, &request.pool);
        let lease = self.config.slots.lease(&request.pool);
        if let Some(wait) = state.expected_wait(&request, &lease, now)
            && Duration::ZERO < wait
            && request.deadline < now + wait + state.required_time()
        {
            let detail = format!(
                "the request would wait about {} ms, too long for its deadline",
                wait.as_millis()
            );
            let problem =
                CallerProblem::not_run(ProblemKind::Deadline, detail).with_retry_after(wait);
            request.refuse(problem);
            return;
        }
        state.meter.mark_queue_changed();
        state.retries.record_first_attempt();
        if let Some(mut evicted) = state.queue.push(request, self.config.max_queue) {
            let wait = state.drain_time(&lease).max(Duration::from_millis(200));
            let problem = CallerProblem::not_run(
                ProblemKind::QueueFull,
                "the queue of the pool is full, and this team fills the most of it",
            )
            .with_retry_after(wait);
            evicted.refuse(problem);
        }
    }

    /// Refuses requests whose deadline has passed or will be missed, and drops those whose
    /// caller has disconnected.
    fn remove_ended(&mut self, now: BootTime) {
        // Scans every queued request, so it does not run on each event.
        if now.saturating_sub(self.last_cull) < CULL_INTERVAL {
            return;
        }
        self.last_cull = now;
        for state in self.pools.values_mut() {
            let service_estimate = state.service_estimate();
            let removed = state.queue.remove_where(|request| {
                service_estimate.would_miss_deadline(request, now)
                    || now >= request.deadline
                    || request.reply.is_abandoned()
            });
            if removed.is_empty() {
                continue;
            }
            state.meter.mark_queue_changed();
            for mut request in removed {
                let limited = self.quota_waits.contains_key(&request.team);
                request.refuse(deadline_problem(limited));
            }
        }
    }

    fn report_demand(&mut self, now: BootTime) {
        for (pool, state) in &mut self.pools {
            let Some(teams) = state.meter.due_report(&state.queue, now) else {
                continue;
            };
            let targets = self.config.targets.pool_targets(pool);
            self.config.slots.report(PoolDemand {
                pool: pool.clone(),
                teams,
                in_flight: self.table.in_flight(&targets),
            });
        }
        if now.saturating_sub(self.last_sweep) >= Duration::from_secs(1) {
            self.last_sweep = now;
            self.table.sweep(now);
            let queued: usize = self.pools.values().map(|state| state.queue.len()).sum();
            metrics::gauge!("lws_requests_queued").set(queued as f64);
            metrics::gauge!("lws_requests_in_flight").set(self.dispatch.busy() as f64);
        }
    }

    fn is_finished(&self, now: BootTime) -> bool {
        let Some(LoopCommand::Finish { end_at, .. }) = self.finish else {
            return false;
        };
        let idle =
            self.dispatch.busy() == 0 && self.pools.values().all(|state| state.queue.is_empty());
        (idle && self.inbox.requests.is_empty()) || now >= end_at
    }

    pub(super) fn refuse_queued(&mut self, detail: &str) {
        for state in self.pools.values_mut() {
            for mut request in state.queue.remove_where(|_| true) {
                let problem = CallerProblem::not_run(ProblemKind::NotServing, detail)
                    .with_retry_after(Duration::from_secs(1));
                request.refuse(problem);
            }
        }
    }
}
