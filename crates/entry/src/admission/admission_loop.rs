use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use crossbeam_channel::{Receiver, select};
use decide::retry::RetryWait;
use model::{BootTime, HostId, PoolId, ProblemKind, TeamId};
use platform::Clock;
use ports::{ConfigSource, MemberSource, QuotaPermit, QuotaSource, SlotSource, TargetSource};

use super::{
    pool_desk::{PoolDesk, PoolParts},
    target_table::{TargetTable, connection_part},
};
use crate::{
    CallerProblem,
    dispatch::{AttemptEnd, AttemptReport, DispatchJob, DispatchPool},
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
pub(crate) struct AdmissionLoop {
    config: AdmissionConfig,
    inbox: AdmissionInbox,
    dispatch: DispatchPool,
    desks: BTreeMap<PoolId, PoolDesk>,
    table: TargetTable,
    held: Vec<HeldWork>,
    waiting: HashMap<TeamId, u32>,
    finish: Option<LoopCommand>,
    swept: BootTime,
    culled: BootTime,
    turn: usize,
}

/// A slot and a unit of a team's limit whose request may still run on its target.
struct HeldWork {
    until: BootTime,
    pool: PoolId,
    team: TeamId,
    host: HostId,
    _permit: QuotaPermit,
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
        let desk = self.desks.entry(work.pool.clone()).or_default();
        let lease = self.config.slots.lease(&work.pool);
        if let Some(wait) = desk.expected_wait(&work, &lease, now)
            && now + wait > work.deadline
        {
            let detail = format!(
                "the request would wait about {} ms, longer than its deadline",
                wait.as_millis()
            );
            let problem =
                CallerProblem::not_run(ProblemKind::Deadline, detail).with_retry_after(wait);
            work.reply.send(Err(problem));
            return;
        }
        desk.meter.note_queue();
        desk.retries.note_first();
        if let Some(mut surplus) = desk.queue.push(work, self.config.max_queue) {
            let wait = desk.drain_time(&lease).max(Duration::from_millis(200));
            let problem = CallerProblem::not_run(
                ProblemKind::QueueFull,
                "the queue of the pool is full, and this team fills the most of it",
            )
            .with_retry_after(wait);
            surplus.reply.send(Err(problem));
        }
    }

    fn settle(&mut self, report: AttemptReport) {
        let now = self.config.clock.boot_now();
        self.dispatch.settle();
        let AttemptReport {
            request,
            host,
            lane,
            permit,
            end,
            elapsed,
        } = report;
        if let Some(lane) = lane {
            self.table.keep_lane(lane, now);
        }
        self.note_health(&request, &host, &end, now);
        match end {
            AttemptEnd::Answered { .. } => {
                self.release(&request.pool, &request.team, &host, now);
                let desk = self.desks.entry(request.pool.clone()).or_default();
                desk.note_service(elapsed);
            }
            AttemptEnd::Refused(problem) => {
                self.release(&request.pool, &request.team, &host, now);
                answer(*request, problem);
            }
            AttemptEnd::NotRun { detail, .. } => {
                self.release(&request.pool, &request.team, &host, now);
                let problem = CallerProblem::not_run(ProblemKind::NoTarget, detail)
                    .with_retry_after(Duration::from_secs(1));
                self.retry(request, problem, now);
            }
            AttemptEnd::Unknown { detail } => {
                self.hold(&request, host, permit, now);
                let problem = CallerProblem::may_have_run(ProblemKind::TargetFailed, detail);
                if request.idempotent {
                    self.retry(request, problem, now);
                } else {
                    // Its fate won't become known, so the caller is told at once.
                    answer(*request, problem);
                }
            }
        }
    }

    fn note_health(
        &mut self,
        request: &CallerRequest,
        host: &HostId,
        end: &AttemptEnd,
        now: BootTime,
    ) {
        let failed = match end {
            AttemptEnd::Answered { failed } => *failed,
            AttemptEnd::NotRun { refused: true, .. } => {
                self.table.note_refusal(host, now);
                return;
            }
            AttemptEnd::NotRun { .. } | AttemptEnd::Unknown { .. } => true,
            AttemptEnd::Refused(_) => return,
        };
        if !failed {
            self.table.note_success(host);
            return;
        }
        let parts = self.pool_parts(&request.pool);
        self.table.note_failure(&parts.view(), host, now);
    }

    /// Sends a request again if its pool can afford it, and refuses it at once otherwise.
    fn retry(&mut self, mut request: Box<CallerRequest>, problem: CallerProblem, now: BootTime) {
        let desk = self.desks.entry(request.pool.clone()).or_default();
        request.attempts += 1;
        let wait = RetryWait::default().wait(request.attempts, rand::random());
        if now + wait >= request.deadline || !desk.retries.take() {
            metrics::counter!("lws_retries_refused").increment(1);
            answer(*request, problem);
            return;
        }
        metrics::counter!("lws_retries").increment(1);
        desk.queue.push_retry(request, now + wait);
        desk.meter.note_queue();
    }

    /// Keeps slot and permit of a request whose fate is unknown: it may run until its
    /// deadline, and giving them to another one could put the team above its limit.
    fn hold(&mut self, request: &CallerRequest, host: HostId, permit: QuotaPermit, now: BootTime) {
        if now >= request.deadline {
            self.release(&request.pool, &request.team, &host, now);
            return;
        }
        self.held.push(HeldWork {
            until: request.deadline,
            pool: request.pool.clone(),
            team: request.team.clone(),
            host,
            _permit: permit,
        });
    }

    fn release(&mut self, pool: &PoolId, team: &TeamId, host: &HostId, now: BootTime) {
        self.table.end(host);
        let desk = self.desks.entry(pool.clone()).or_default();
        desk.meter.note_end(team, now);
    }

    fn release_held(&mut self, now: BootTime) {
        let (over, kept) = self.held.drain(..).partition(|held| now >= held.until);
        self.held = kept;
        let over: Vec<HeldWork> = over;
        for held in over {
            self.release(&held.pool, &held.team, &held.host, now);
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
            let gone = desk
                .queue
                .take_out(|work| now >= work.deadline || work.reply.is_abandoned());
            if gone.is_empty() {
                continue;
            }
            desk.meter.note_queue();
            for work in gone {
                let limited = self.waiting.contains_key(&work.team);
                answer(work, expired(limited));
            }
        }
    }

    fn start_waiting(&mut self, now: BootTime) {
        let refuse = self.finish.is_some_and(|command| {
            let LoopCommand::Finish { refuse_at, .. } = command;
            now >= refuse_at
        });
        if refuse {
            self.refuse_queued("this entry host shuts down");
            return;
        }
        let mut blocked = BTreeSet::new();
        let pools: Vec<PoolId> = self
            .desks
            .iter()
            .filter(|(_, desk)| !desk.queue.is_empty())
            .map(|(pool, _)| pool.clone())
            .collect();
        for pool in pools {
            self.start_pool(&pool, &mut blocked, now);
        }
        self.note_waiting(&blocked);
    }

    /// Starts requests of one pool until its slots, its teams' limits or the queue end.
    fn start_pool(&mut self, pool: &PoolId, blocked: &mut BTreeSet<TeamId>, now: BootTime) {
        let parts = self.pool_parts(pool);
        let view = parts.view();
        let Some(desk) = self.desks.get_mut(pool) else {
            return;
        };
        desk.queue.wake_retries(now);
        desk.note_lease(&parts.lease);
        let cost = desk.cost_ms();
        while self.dispatch.has_room() {
            let Some(target) = self.table.choose(&view, self.turn, now) else {
                return;
            };
            let running = |team: &TeamId| desk.meter.running(team);
            let Some(team) = desk.queue.pick(&parts.lease, running, blocked, now) else {
                return;
            };
            let Some(permit) = self.config.quotas.try_take(&team) else {
                blocked.insert(team);
                continue;
            };
            let weight = parts.weight(&team);
            let Some(request) = desk.queue.pop(&team, cost / weight) else {
                return;
            };
            self.turn = self.turn.wrapping_add(1);
            desk.meter.note_start(&team, now);
            metrics::histogram!("lws_queue_seconds")
                .record(now.saturating_sub(request.arrived).as_secs_f64());
            let lane = self.table.start(target);
            let job = DispatchJob {
                request,
                lane,
                permit,
            };
            if let Err(job) = self.dispatch.start(job) {
                self.table.end(&target.host);
                desk.meter.note_end(&team, now);
                desk.queue.unpop(job.request, cost / weight);
                return;
            }
        }
    }

    /// Tells the quotas how many starts wait for a unit, so that grants move here.
    fn note_waiting(&mut self, blocked: &BTreeSet<TeamId>) {
        let mut waiting = HashMap::new();
        for team in blocked {
            let queued: usize = self
                .desks
                .values()
                .map(|desk| desk.queue.team_len(team).0)
                .sum();
            waiting.insert(team.clone(), u32::try_from(queued).unwrap_or(u32::MAX));
        }
        for team in self.waiting.keys() {
            if !waiting.contains_key(team) {
                self.config.quotas.note_waiting(team, 0);
            }
        }
        for (team, count) in &waiting {
            if self.waiting.get(team) != Some(count) {
                self.config.quotas.note_waiting(team, *count);
            }
        }
        self.waiting = waiting;
    }

    fn report_demand(&mut self, now: BootTime) {
        for (pool, desk) in &mut self.desks {
            if let Some(demand) = desk.meter.due_report(pool, &desk.queue, now) {
                self.config.slots.report(demand);
            }
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

    fn refuse_queued(&mut self, detail: &str) {
        for desk in self.desks.values_mut() {
            for work in desk.queue.take_out(|_| true) {
                let problem = CallerProblem::not_run(ProblemKind::NotServing, detail)
                    .with_retry_after(Duration::from_secs(1));
                answer(work, problem);
            }
        }
    }

    fn pool_parts(&self, pool: &PoolId) -> PoolParts {
        let config = self.config.config.current();
        let spec = config.manifest.pools.get(pool);
        let members = self.config.members.members().len();
        PoolParts {
            targets: self.config.targets.pool_targets(pool),
            lease: self.config.slots.lease(pool),
            connections: connection_part(spec.map_or(1, |spec| spec.connections), members),
            budget: spec.map_or(1, |spec| spec.budget),
            config,
        }
    }
}

fn answer(mut request: CallerRequest, problem: CallerProblem) {
    request.reply.send(Err(problem));
}

/// What a caller is told whose request waited until its deadline.
fn expired(limited: bool) -> CallerProblem {
    let (kind, detail) = if limited {
        (
            ProblemKind::TeamLimit,
            "the team ran as much as its upper limit allows until the deadline",
        )
    } else {
        (
            ProblemKind::Deadline,
            "no slot became free before the deadline",
        )
    };
    CallerProblem::not_run(kind, detail).with_retry_after(Duration::from_secs(1))
}
