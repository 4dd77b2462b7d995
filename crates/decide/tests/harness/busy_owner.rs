//! A model of an owner whose event loop handles one event at a time, each for a fixed processor time.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use decide::{
    call_budget::{CallBudget, CallClass},
    work::{HostPlanner, SchedulerAction, SchedulerTime, SchedulerTuning, WorkScheduler},
};
use model::{
    BootTime, HostId,
    work::{
        EndKind, EndReport, FleetHost, FleetPolicy, HostCondition, PollAnswer, PoolPolicy,
        QueuePolicy, RunReport, SharingModes, StartAnswer, StartOrder, TargetReport,
        WorkspacePolicy,
    },
};
use wire::work::{JobPhase, JobRecord};

use super::{POOL, QUEUE, end_report, job_record, plan, step, target};

/// Processor time of the owner for one event: a submission, the sending of an order, an answer.
const EVENT_COST: Duration = Duration::from_micros(300);
/// Time from the sending of a call until its arrival, and the same for its answer.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Run time of a task.
const RUN_TIME: Duration = Duration::from_millis(800);
/// Time between two ticks of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of the next poll after one that returned ends.
const ENDS_DELAY: Duration = Duration::from_millis(25);
/// Link of the owner, in bytes a second, which carries more starts than its processor.
const LINK_BYTES_PER_SECOND: f64 = 25_000_000.0;
/// Time from the first submission of a job until which its result counts.
const OBJECTIVE: Duration = Duration::from_millis(1880);
/// How often callers submit a refused job again.
const MAX_RETRIES: u32 = 4;
/// Shortest time after which callers submit a refused job again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Targets of the pool: with a load of more than the owner can start, half of them stay idle.
const TARGETS: usize = 600;
/// Capacity of a target, and the part of it that a task uses, in thousandths of a core.
const CAPACITY: u64 = 16_000;
const TASK_CPU: u64 = 2200;
/// Tasks of a job.
const TASKS: u32 = 8;
/// Workspaces, which submit in turn.
const WORKSPACES: usize = 10;

/// An event that the owner has to handle.
enum LoopEvent {
    /// The tick that was due at this time.
    Tick(BootTime),
    Submission {
        job: usize,
        attempt: u32,
    },
    /// A start whose task in the event loop may send it, or queue it.
    Start(HostId, StartOrder),
    StartAnswer(HostId, StartOrder, BootTime),
    Poll(HostId),
    PollAnswer(HostId, TargetReport, u64, BootTime),
    Plan,
    /// A target answers the poll that it holds; this takes none of the owner's time.
    TargetAnswers(HostId),
}

#[derive(Default)]
struct ModelTarget {
    /// Runs and the time of their end.
    running: Vec<(BootTime, StartOrder)>,
    ends: Vec<EndReport>,
    end_count: u64,
    /// Acknowledged ends and time of sending of the poll that waits for an end.
    poll: Option<(u64, BootTime)>,
    is_polled: bool,
}

/// What callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedJobs {
    pub submitted: usize,
    /// Jobs completed within their objective.
    pub in_time: usize,
    pub late: usize,
    /// Jobs that were refused as often as their callers submitted them.
    pub refused: usize,
}

/// An owner that can handle about 1,000 starts a second.
pub struct BusyOwner {
    scheduler: WorkScheduler,
    planner: HostPlanner,
    budget: CallBudget,
    now: BootTime,
    /// Events that have arrived, oldest first.
    ready: VecDeque<LoopEvent>,
    /// Events that arrive later.
    future: BTreeMap<(BootTime, u64), LoopEvent>,
    event_count: u64,
    /// Whether a plan is among the events that have arrived.
    plan_is_due: bool,
    waiting_starts: VecDeque<(HostId, StartOrder)>,
    targets: BTreeMap<HostId, ModelTarget>,
    /// First submission of each job.
    first_submissions: Vec<BootTime>,
    open: BTreeSet<usize>,
    /// Jobs of which tasks have ended since the last plan.
    ending: BTreeSet<String>,
    served: ServedJobs,
}

impl BusyOwner {
    pub fn new() -> Self {
        let tuning = SchedulerTuning {
            sharing: SharingModes {
                work_admission: true,
                ..SharingModes::default()
            },
            ..SchedulerTuning::default()
        };
        let mut owner = Self {
            scheduler: WorkScheduler::new(tuning, 1),
            planner: HostPlanner::default(),
            budget: CallBudget::new(LINK_BYTES_PER_SECOND),
            now: Duration::from_secs(1000),
            ready: VecDeque::new(),
            future: BTreeMap::new(),
            event_count: 0,
            plan_is_due: false,
            waiting_starts: VecDeque::new(),
            targets: BTreeMap::new(),
            first_submissions: Vec::new(),
            open: BTreeSet::new(),
            ending: BTreeSet::new(),
            served: ServedJobs::default(),
        };
        owner.scheduler.set_policy(Arc::new(policy()));
        for number in 0..TARGETS {
            owner.add_target(number);
        }
        owner.list_hosts();
        owner.schedule(owner.now, LoopEvent::Tick(owner.now));
        owner
    }

    /// Submits jobs at an even rate for `length`, and runs as long again. Returns what became of them.
    pub fn run(&mut self, starts_per_second: f64, length: Duration) -> ServedJobs {
        let interval = Duration::from_secs_f64(f64::from(TASKS) / starts_per_second);
        let end = self.now + length;
        let mut at = self.now;
        while at < end {
            let job = self.first_submissions.len();
            self.first_submissions.push(at);
            self.served.submitted += 1;
            self.schedule(at, LoopEvent::Submission { job, attempt: 0 });
            at += interval;
        }
        while self.now < end + length {
            self.handle_next();
        }
        std::mem::take(&mut self.served)
    }

    fn schedule(&mut self, at: BootTime, event: LoopEvent) {
        self.event_count += 1;
        self.future.insert((at, self.event_count), event);
    }

    /// Handles the oldest event that has arrived, or waits for the next one.
    fn handle_next(&mut self) {
        while let Some(entry) = self.future.first_entry()
            && (entry.key().0 <= self.now || self.ready.is_empty())
        {
            let at = entry.key().0;
            self.now = self.now.max(at);
            match entry.remove() {
                LoopEvent::TargetAnswers(id) => self.answer_poll(&id, at),
                event => self.ready.push_back(event),
            }
        }
        let Some(event) = self.ready.pop_front() else {
            return;
        };
        self.now += EVENT_COST;
        match event {
            LoopEvent::Tick(due) => self.tick(due),
            LoopEvent::Submission { job, attempt } => self.submit(job, attempt),
            LoopEvent::Start(id, order) => self.send_or_queue(id, order),
            LoopEvent::StartAnswer(id, order, sent) => self.handle_start_answer(&id, &order, sent),
            LoopEvent::Poll(id) => self.send_poll(&id),
            LoopEvent::PollAnswer(id, report, observed, sent) => {
                self.handle_report(&id, report, observed, sent);
            }
            LoopEvent::Plan => {
                self.plan_is_due = false;
                self.plan();
                let ending = std::mem::take(&mut self.ending);
                ending.iter().for_each(|job| self.note_completion(job));
                return;
            }
            LoopEvent::TargetAnswers(_) => {}
        }
        // One plan covers all events that are handled before it.
        if !std::mem::replace(&mut self.plan_is_due, true) {
            self.ready.push_back(LoopEvent::Plan);
        }
    }

    fn time(&self) -> SchedulerTime {
        SchedulerTime {
            boot: self.now,
            unix: self.now + Duration::from_secs(1_000_000),
        }
    }

    fn tick(&mut self, due: BootTime) {
        let delay = self.now.saturating_sub(due + EVENT_COST);
        self.budget.record_loop_delay(delay, self.now);
        self.scheduler.record_loop_delay(delay, self.now);
        self.scheduler.tick(self.time());
        self.planner.plan(&mut self.scheduler, self.now);
        let next = self.now + TICK_INTERVAL;
        self.schedule(next, LoopEvent::Tick(next));
    }

    fn submit(&mut self, job: usize, attempt: u32) {
        let plan = plan(vec![step(TASKS, TASK_CPU)]);
        let workspace = format!("space-{}", job % WORKSPACES);
        let id = job_id(job);
        let now = self.time();
        let late = self.scheduler.predict_lateness(
            &id.as_str().into(),
            &plan,
            QUEUE,
            &workspace.as_str().into(),
            now,
        );
        let Some(excess) = late else {
            let record = JobRecord {
                workspace,
                ..job_record(&id, &plan, now)
            };
            self.scheduler.accept_job(&record, now);
            self.open.insert(job);
            return;
        };
        if attempt >= MAX_RETRIES {
            self.served.refused += 1;
            return;
        }
        let retry = LoopEvent::Submission {
            job,
            attempt: attempt + 1,
        };
        self.schedule(self.now + excess.max(MIN_RETRY_DELAY), retry);
    }

    fn plan(&mut self) {
        let room = self.budget.start_room(self.waiting_starts.len());
        self.scheduler.plan_starts(self.time(), room);
        self.scheduler.take_events();
        for action in self.scheduler.take_actions() {
            match action {
                SchedulerAction::AppendLog(log) => {
                    self.scheduler.handle_stored_entry(&log, self.time());
                }
                SchedulerAction::Start(id, order) => {
                    self.ready.push_back(LoopEvent::Start(id, order));
                }
                _ => {}
            }
        }
    }

    fn send_or_queue(&mut self, id: HostId, order: StartOrder) {
        if self.budget.admits(CallClass::Start) {
            self.send_start(&id, order);
        } else {
            self.waiting_starts.push_back((id, order));
        }
    }

    fn send_start(&mut self, id: &HostId, order: StartOrder) {
        self.budget.begin(CallClass::Start);
        let begun = self.now + NETWORK_DELAY;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.running.push((begun + RUN_TIME, order.clone()));
        let answer = LoopEvent::StartAnswer(id.clone(), order, self.now);
        self.schedule(begun + NETWORK_DELAY, answer);
    }

    fn handle_start_answer(&mut self, id: &HostId, order: &StartOrder, sent: BootTime) {
        let took = self.now.saturating_sub(sent);
        self.budget.end(CallClass::Start, took, self.now);
        let answer = StartAnswer::Started { clock: self.now };
        self.scheduler
            .handle_start_answer(id, &order.task, order.attempt, &answer, self.time());
        while self.budget.admits(CallClass::Start)
            && let Some((id, order)) = self.waiting_starts.pop_front()
        {
            self.send_start(&id, order);
        }
        self.request_poll(id, Duration::ZERO);
    }

    /// Polls a target unless a poll is in progress.
    fn request_poll(&mut self, id: &HostId, delay: Duration) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if !std::mem::replace(&mut target.is_polled, true) {
            self.schedule(self.now + delay, LoopEvent::Poll(id.clone()));
        }
    }

    fn send_poll(&mut self, id: &HostId) {
        let (now, time) = (self.now, self.time());
        let order = self.scheduler.poll_order(id, now + RUN_TIME * 10, time);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let Some(order) = order else {
            target.is_polled = false;
            return;
        };
        let arrives = now + NETWORK_DELAY;
        target.ends.retain(|end| end.number > order.acked_end);
        let first_end = target.running.iter().map(|(end, _)| *end).min();
        let listed = !target.ends.is_empty();
        let latest = arrives + order.wait;
        let answered = match first_end {
            _ if listed => arrives,
            Some(end) => end.clamp(arrives, latest.max(arrives)),
            None => latest,
        };
        target.poll = Some((order.acked_end, now));
        self.schedule(answered, LoopEvent::TargetAnswers(id.clone()));
    }

    fn answer_poll(&mut self, id: &HostId, at: BootTime) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let Some((observed, sent)) = target.poll.take() else {
            return;
        };
        let report = target.report_at(at);
        let answer = LoopEvent::PollAnswer(id.clone(), report, observed, sent);
        self.schedule(at + NETWORK_DELAY, answer);
    }

    fn handle_report(&mut self, id: &HostId, report: TargetReport, observed: u64, sent: BootTime) {
        let has_ends = !report.ended.is_empty();
        let jobs = report.ended.iter().map(|end| end.task.job.to_string());
        let jobs: BTreeSet<String> = jobs.collect();
        let time = self.time();
        let answer = PollAnswer::Seen(report);
        self.scheduler
            .apply_report(id, sent, observed, &answer, time);
        self.ending.extend(jobs);
        if let Some(target) = self.targets.get_mut(id) {
            target.is_polled = false;
        }
        let delay = if has_ends { ENDS_DELAY } else { Duration::ZERO };
        self.request_poll(id, delay);
    }

    fn note_completion(&mut self, id: &str) {
        let Some(job) = id
            .strip_prefix("job-")
            .and_then(|number| number.parse().ok())
        else {
            return;
        };
        if self.scheduler.job_phase(id) != Some(JobPhase::Completed) || !self.open.remove(&job) {
            return;
        }
        let took = self.now.saturating_sub(self.first_submissions[job]);
        match took <= OBJECTIVE {
            true => self.served.in_time += 1,
            false => self.served.late += 1,
        }
    }

    /// Lists the hosts of all targets, of which each pool's cores follow.
    fn list_hosts(&mut self) {
        let host = |id: &HostId| FleetHost {
            host: id.clone(),
            pool: POOL.into(),
            condition: HostCondition::Up,
            labels: Vec::new(),
            capacity: target(id, CAPACITY).capacity,
            data_centre: Default::default(),
            target: id.clone(),
        };
        let hosts = self.targets.keys().map(host).collect();
        self.planner.apply_host_list(hosts, self.now);
        self.planner.plan(&mut self.scheduler, self.now);
    }

    fn add_target(&mut self, number: usize) {
        let id: HostId = format!("t{number:04}").into();
        let time = self.time();
        self.scheduler.upsert_target(target(&id, CAPACITY), time);
        self.targets.insert(id.clone(), ModelTarget::default());
        let idle = TargetReport {
            clock: self.now,
            started_at: Duration::from_secs(1),
            ..TargetReport::default()
        };
        let answer = PollAnswer::Seen(idle);
        self.scheduler.apply_report(&id, self.now, 0, &answer, time);
    }
}

impl ModelTarget {
    /// Ends the runs that are over at `now`, and lists the others and all ends.
    fn report_at(&mut self, now: BootTime) -> TargetReport {
        let runs = std::mem::take(&mut self.running);
        let (ended, running): (Vec<_>, Vec<_>) = runs.into_iter().partition(|(end, _)| *end <= now);
        let begun = |(end, _): &&(BootTime, StartOrder)| *end <= now + RUN_TIME;
        for (_, order) in ended {
            self.end_count += 1;
            let end = end_report(self.end_count, &order.task, order.attempt, EndKind::Done);
            self.ends.push(end);
        }
        let report = |(end, order): &(BootTime, StartOrder)| RunReport {
            task: order.task.clone(),
            attempt: order.attempt,
            percent: percent_done(*end, now),
            ..RunReport::default()
        };
        let report = TargetReport {
            clock: now,
            started_at: Duration::from_secs(1),
            running: running.iter().filter(begun).map(report).collect(),
            ended: self.ends.clone(),
        };
        self.running = running;
        report
    }
}

fn percent_done(end: BootTime, now: BootTime) -> u8 {
    let left = end.saturating_sub(now).min(RUN_TIME);
    let done = (RUN_TIME - left).as_millis() * 100 / RUN_TIME.as_millis();
    u8::try_from(done).unwrap_or(100)
}

fn job_id(job: usize) -> String {
    format!("job-{job}")
}

fn policy() -> FleetPolicy {
    let workspaces = (0..WORKSPACES).map(|number| WorkspacePolicy {
        name: format!("space-{number}").into(),
        weight: 24,
        ..WorkspacePolicy::default()
    });
    FleetPolicy {
        revision: 1,
        queues: vec![QueuePolicy {
            name: QUEUE.into(),
            pool: POOL.into(),
            max_attempts: 3,
            slack_factor: 1.6,
            slack_time: Duration::from_millis(600),
            ..QueuePolicy::default()
        }],
        pools: vec![PoolPolicy {
            name: POOL.into(),
            ..PoolPolicy::default()
        }],
        workspaces: workspaces.collect(),
        max_body: 1 << 20,
    }
}
