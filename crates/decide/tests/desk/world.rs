use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use decide::work::{DeskOrder, DeskTime, DeskTuning, RecordOrder, WorkDesk, record_of_plan};
use model::{
    BootTime, HostId,
    work::{
        EndKind, EndSight, JobPlan, LookAnswer, LookOrder, OrderAnswer, RunSight, StartAnswer,
        StartOrder, StartRefusal, StopOrder, TargetSight, TaskKey,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use wire::work::{JobRecord, LogEntry, log_entry::Event};

use super::{
    POOL, QUEUE, SPACE, plan, scene::terms_with_limit, step, target, world_target::WorldTarget,
};

/// Length of a step of the world.
const TICK: Duration = Duration::from_millis(20);
/// How long an owner waits for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after its lapse a target leaves the host list.
const LIST_LAPSE: Duration = Duration::from_millis(4500);
/// Lease on the ownership.
const OWNER_LEASE: Duration = Duration::from_millis(1500);
/// Room of a target, in thousandths of a core.
pub(super) const CAPACITY: u64 = 4000;
/// Limit of the workspace.
pub(super) const LIMIT: u64 = 9000;

/// What goes wrong in a world, each as a chance a second.
#[derive(Clone, Copy, Debug)]
pub struct WorldFaults {
    pub target_crash: f64,
    pub target_cut: f64,
    pub owner_kill: f64,
    /// The owner loses the store and goes on alone, while a successor takes over.
    pub owner_cut: f64,
    /// Part of the calls whose request or answer is lost.
    pub lost_calls: f64,
    /// Part of the calls that are carried out seconds after they were given up.
    pub late_calls: f64,
    /// Part of the restarts of targets of which the host list tells seconds late.
    pub late_lists: f64,
}

/// Targets, a log and the owners of a cell, with faults drawn from a seed.
pub struct DeskWorld {
    dice: StdRng,
    pub(super) now: DeskTime,
    faults: WorldFaults,
    pub(super) targets: BTreeMap<HostId, WorldTarget>,
    log: Vec<LogEntry>,
    /// Token of the owner whose entry stands.
    pub(super) token: u64,
    pub(super) owners: Vec<WorldOwner>,
    next_owner: Option<BootTime>,
    calls: Vec<WorldCall>,
    pub(super) jobs: BTreeMap<String, JobPlan>,
    pub(super) done: BTreeSet<TaskKey>,
    pub(super) noted: BTreeSet<TaskKey>,
    /// What broke a promise.
    pub faults_found: Vec<String>,
    /// What happened to each task, for the trace of a fault.
    pub(super) history: BTreeMap<TaskKey, Vec<String>>,
}

pub(super) struct WorldOwner {
    pub(super) desk: WorkDesk,
    pub(super) token: u64,
    alone_since: Option<BootTime>,
    looking: BTreeSet<HostId>,
    records: Vec<(BootTime, RecordOrder)>,
}

enum WorldOrder {
    Start(StartOrder),
    Stop(StopOrder),
    Look(LookOrder),
}

struct WorldCall {
    owner: u64,
    target: HostId,
    /// Life of the target when it was sent.
    born: Duration,
    sent: BootTime,
    arrives: BootTime,
    /// When the answer is back; `None` if it never is.
    answers: Option<BootTime>,
    gives_up: BootTime,
    order: WorldOrder,
    done: Option<WorldAnswer>,
    settled: bool,
}

enum WorldAnswer {
    Start(StartAnswer),
    Stop(OrderAnswer),
    Look(LookAnswer),
}

impl DeskWorld {
    pub fn new(seed: u64, targets: u32, faults: WorldFaults) -> Self {
        let now = DeskTime {
            boot: Duration::from_secs(1000),
            unix: Duration::from_secs(1_000_000),
        };
        let names = (0..targets).map(|number| HostId::from(format!("t{number}")));
        let fresh = |name: HostId| {
            let state = WorldTarget {
                born: Duration::from_secs(1),
                shown: Duration::from_secs(1),
                up: true,
                listed: true,
                ..WorldTarget::default()
            };
            (name, state)
        };
        let mut world = Self {
            dice: StdRng::seed_from_u64(seed),
            now,
            faults,
            targets: names.map(fresh).collect(),
            log: Vec::new(),
            token: 0,
            owners: Vec::new(),
            next_owner: None,
            calls: Vec::new(),
            jobs: BTreeMap::new(),
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            faults_found: Vec::new(),
            history: BTreeMap::new(),
        };
        world.elect();
        world
    }

    /// Runs with faults and arrivals for a time, then calmly until all jobs should be done.
    pub fn run(&mut self, busy: Duration, calm: Duration) {
        let end = self.now.boot + busy;
        while self.now.boot < end {
            if self.chance(1.2) {
                self.submit();
            }
            self.draw_faults();
            self.advance();
        }
        self.faults = WorldFaults {
            target_crash: 0.0,
            target_cut: 0.0,
            owner_kill: 0.0,
            owner_cut: 0.0,
            lost_calls: 0.0,
            late_calls: 0.0,
            late_lists: 0.0,
        };
        let end = self.now.boot + calm;
        while self.now.boot < end && !self.is_done() {
            self.advance();
        }
        self.check_done();
    }

    fn is_done(&self) -> bool {
        let owner = self.owners.iter().find(|owner| owner.token == self.token);
        let completed = Some(wire::work::JobPhase::Completed);
        owner.is_some_and(|owner| {
            self.jobs
                .keys()
                .all(|job| owner.desk.progress(job) == completed)
        })
    }

    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    fn chance(&mut self, a_second: f64) -> bool {
        let part = a_second * TICK.as_secs_f64();
        self.dice.random::<f64>() < part
    }

    fn advance(&mut self) {
        self.now.boot += TICK;
        self.now.unix += TICK;
        self.move_targets();
        self.deliver_calls();
        self.return_answers();
        self.run_owners();
    }

    /// Records a job at the present owner, if it is sure of its lease.
    fn submit(&mut self) {
        let Some(index) = self
            .owners
            .iter()
            .position(|owner| owner.token == self.token)
        else {
            return;
        };
        let steps = self.dice.random_range(1..=3_u32);
        let steps = (0..steps).map(|number| {
            let mut step = step(
                self.dice.random_range(1..=4),
                self.dice.random_range(1..=8) * 250,
            );
            step.after = (0..number).collect();
            step.gang = self.dice.random_bool(0.2) && step.count * 1000 <= 4000;
            step
        });
        let plan = plan(steps.collect());
        let job = format!("job{}", self.jobs.len());
        let record = JobRecord {
            job: job.clone(),
            queue: QUEUE.to_owned(),
            pool: POOL.to_owned(),
            workspace: SPACE.to_owned(),
            accepted_unix_ms: u64::try_from(self.now.unix.as_millis()).unwrap_or_default(),
            ..record_of_plan(&plan)
        };
        self.log.push(LogEntry {
            event: Some(Event::Accepted(record.clone())),
        });
        self.owners[index].desk.accept(&record, self.now);
        self.jobs.insert(job, plan);
    }

    fn draw_faults(&mut self) {
        if self.chance(self.faults.owner_kill) && self.next_owner.is_none() {
            self.owners.retain(|owner| owner.alone_since.is_some());
            self.next_owner = Some(self.now.boot + OWNER_LEASE);
        }
        if self.chance(self.faults.owner_cut) && self.next_owner.is_none() {
            let now = self.now.boot;
            for owner in &mut self.owners {
                owner.alone_since.get_or_insert(now);
            }
            self.next_owner = Some(now + OWNER_LEASE);
        }
        let names: Vec<HostId> = self.targets.keys().cloned().collect();
        for name in names {
            let (crash, cut) = (self.faults.target_crash, self.faults.target_cut);
            let (crash, cut) = (self.chance(crash), self.chance(cut));
            let away = Duration::from_millis(self.dice.random_range(300..9000));
            let now = self.now.boot;
            let Some(state) = self.targets.get_mut(&name) else {
                continue;
            };
            if !state.up || state.cut {
                continue;
            }
            if crash {
                state.up = false;
                state.runs.clear();
            }
            state.cut |= cut;
            state.down_since = now;
            state.back_at = now + away;
        }
    }

    fn move_targets(&mut self) {
        let now = self.now.boot;
        let unix = self.now.unix;
        let (late, dice) = (self.faults.late_lists, &mut self.dice);
        for state in self.targets.values_mut() {
            let away = !state.up || state.cut;
            if away && now >= state.back_at {
                if !state.up {
                    let late = late > 0.0 && dice.random_bool(late);
                    let delay = late.then(|| dice.random_range(100..4000));
                    state.restart(unix, now + Duration::from_millis(delay.unwrap_or(0)));
                }
                state.cut = false;
            }
            if now >= state.shown_until {
                state.shown = state.born;
            }
            let away = !state.up || state.cut;
            state.listed = !away || now < state.down_since + LIST_LAPSE;
            state.finish(now);
        }
        let ended: Vec<EndSight> = self
            .targets
            .values()
            .flat_map(|state| state.ended.iter().cloned())
            .collect();
        for end in ended.iter().filter(|end| end.kind == EndKind::Done) {
            self.done.insert(end.task.clone());
        }
    }

    fn elect(&mut self) {
        self.token += 7;
        let mut desk = WorkDesk::new(DeskTuning::default(), self.token);
        for entry in &self.log {
            desk.replay(entry, self.now);
        }
        desk.begin(self.now);
        desk.set_terms(std::sync::Arc::new(terms_with_limit(LIMIT)));
        self.owners.push(WorldOwner {
            desk,
            token: self.token,
            alone_since: None,
            looking: BTreeSet::new(),
            records: Vec::new(),
        });
        self.next_owner = None;
    }

    fn run_owners(&mut self) {
        if self.next_owner.is_some_and(|at| self.now.boot >= at) {
            self.elect();
        }
        let mut owners = std::mem::take(&mut self.owners);
        let alone = DeskTuning::default().alone + OWNER_LEASE;
        owners.retain(|owner| {
            owner
                .alone_since
                .is_none_or(|since| self.now.boot < since + alone)
        });
        let mut kept = Vec::new();
        for mut owner in owners {
            if self.run_owner(&mut owner) {
                kept.push(owner);
            }
        }
        self.owners = kept;
    }

    /// Lets an owner decide; false if it has resigned.
    fn run_owner(&mut self, owner: &mut WorldOwner) -> bool {
        let now = self.now;
        // A lease is not counted on in its last part.
        let lapse = OWNER_LEASE - Duration::from_millis(100);
        let alone = owner
            .alone_since
            .is_some_and(|since| now.boot >= since + lapse);
        owner.desk.set_alone(alone);
        for (name, state) in &self.targets {
            let listed = owner
                .desk
                .targets
                .get(name)
                .is_some_and(|known| known.listed);
            let known = owner.desk.targets.get(name).map(|known| known.life.born);
            if state.listed && (!listed || (state.up && known != Some(state.shown))) {
                let mut entry = target(name, CAPACITY);
                entry.born = state.shown;
                owner.desk.list_target(entry, now);
            } else if !state.listed && listed {
                owner.desk.unlist_target(name);
            }
        }
        self.store_records(owner);
        owner.desk.tick(now);
        owner.desk.plan(now);
        let known: Vec<HostId> = owner.desk.targets.keys().cloned().collect();
        for name in known {
            if owner.looking.contains(&name) {
                continue;
            }
            if let Some(order) = owner.desk.look_order(&name, now) {
                owner.looking.insert(name.clone());
                self.send(owner.token, name, WorldOrder::Look(order));
            }
        }
        for order in owner.desk.take_orders() {
            match order {
                DeskOrder::Record(record) => {
                    owner.records.push((now.boot + TICK, record));
                }
                DeskOrder::Start(name, order) => {
                    self.send(owner.token, name, WorldOrder::Start(order));
                }
                DeskOrder::Stop(name, order) => {
                    self.send(owner.token, name, WorldOrder::Stop(order));
                }
                DeskOrder::Resign(_) => return false,
                DeskOrder::Look(_) | DeskOrder::Pace(..) | DeskOrder::Advise(..) => {}
            }
        }
        true
    }

    /// The store takes what the owner whose entry stands has written.
    fn store_records(&mut self, owner: &mut WorldOwner) {
        if owner.alone_since.is_some() || owner.token != self.token {
            return;
        }
        let now = self.now;
        let due = owner
            .records
            .iter()
            .take_while(|(at, _)| *at <= now.boot)
            .count();
        for (_, record) in owner.records.drain(..due) {
            self.log.push(record.entry.clone());
            owner.desk.recorded(&record, now);
        }
    }

    fn tell(&mut self, task: &TaskKey, what: &str) {
        let at = self.now.boot;
        let told = self.history.entry(task.clone()).or_default();
        told.push(format!("{at:?} {what}"));
    }

    fn send(&mut self, owner: u64, name: HostId, order: WorldOrder) {
        let now = self.now.boot;
        match &order {
            WorldOrder::Start(start) => {
                self.tell(
                    &start.task,
                    &format!("owner {owner} starts {} on {name}", start.attempt),
                );
            }
            WorldOrder::Stop(stop) => {
                self.tell(
                    &stop.task,
                    &format!("owner {owner} stops {} on {name}", stop.attempt),
                );
            }
            WorldOrder::Look(_) => {}
        }
        let draw: f64 = self.dice.random();
        let (lost, late) = (self.faults.lost_calls, self.faults.late_calls);
        let wait = match &order {
            WorldOrder::Look(look) => look.wait,
            _ => Duration::ZERO,
        };
        let gives_up = now + wait + ORDER_TIMEOUT;
        let soon = now + Duration::from_millis(self.dice.random_range(1..60));
        let (arrives, answers) = if draw < lost / 2.0 {
            (BootTime::MAX, None)
        } else if draw < lost {
            (soon, None)
        } else if draw < lost + late {
            (
                now + Duration::from_millis(self.dice.random_range(2000..12_000)),
                None,
            )
        } else {
            (
                soon,
                Some(soon + wait.min(Duration::from_millis(100)) + TICK),
            )
        };
        let born = self
            .targets
            .get(&name)
            .map(|state| state.born)
            .unwrap_or_default();
        self.calls.push(WorldCall {
            owner,
            target: name,
            born,
            sent: now,
            arrives,
            answers,
            gives_up,
            order,
            done: None,
            settled: false,
        });
    }

    fn deliver_calls(&mut self) {
        let now = self.now.boot;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls
            .iter_mut()
            .filter(|call| call.done.is_none() && call.arrives <= now)
        {
            let Some(state) = self.targets.get_mut(&call.target) else {
                continue;
            };
            // What a target holds back, to answer it late, dies with that life of the target.
            let held = call.arrives > call.gives_up;
            let outlived = held && call.born != state.born;
            if !state.up || state.cut || outlived {
                call.arrives = BootTime::MAX;
                call.answers = None;
                continue;
            }
            call.done = Some(match &call.order {
                WorldOrder::Start(order) => {
                    let length = Duration::from_millis(self.dice.random_range(200..2500));
                    let answer = state.start(order, now, now + length);
                    let started = matches!(answer, StartAnswer::Started { .. });
                    let task = order.task.clone();
                    let told = self.history.entry(task.clone()).or_default();
                    told.push(format!(
                        "{now:?} {} on {}: {answer:?}",
                        order.attempt, call.target
                    ));
                    if started {
                        self.check_start(&call.target, &task);
                    }
                    WorldAnswer::Start(answer)
                }
                WorldOrder::Stop(order) => WorldAnswer::Stop(state.stop(order, now)),
                WorldOrder::Look(order) => {
                    let noted = state.look(order, now);
                    let answer = noted.0;
                    for task in noted.1 {
                        let told = self.history.entry(task.clone()).or_default();
                        told.push(format!("{now:?} observed on {}", call.target));
                        self.noted.insert(task);
                    }
                    WorldAnswer::Look(answer)
                }
            });
        }
        self.calls = calls;
    }

    fn return_answers(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls.iter_mut().filter(|call| !call.settled) {
            let answered = call.answers.is_some_and(|at| at <= now.boot) && call.done.is_some();
            if !answered && now.boot < call.gives_up {
                continue;
            }
            call.settled = true;
            let lost = || "timed out".to_owned();
            let answer = if answered { call.done.take() } else { None };
            let Some(owner) = self
                .owners
                .iter_mut()
                .find(|owner| owner.token == call.owner)
            else {
                continue;
            };
            match (&call.order, answer) {
                (WorldOrder::Start(order), answer) => {
                    let answer = match answer {
                        Some(WorldAnswer::Start(answer)) => answer,
                        _ => StartAnswer::Unanswered(lost()),
                    };
                    owner
                        .desk
                        .started(&call.target, &order.task, order.attempt, &answer, now);
                }
                (WorldOrder::Stop(order), answer) => {
                    let answer = match answer {
                        Some(WorldAnswer::Stop(answer)) => answer,
                        _ => OrderAnswer::Unanswered(lost()),
                    };
                    let (task, attempt) = (&order.task, order.attempt);
                    owner
                        .desk
                        .stopped(&call.target, task, attempt, call.sent, &answer, now);
                }
                (WorldOrder::Look(order), answer) => {
                    owner.looking.remove(&call.target);
                    let answer = match answer {
                        Some(WorldAnswer::Look(answer)) => answer,
                        _ => LookAnswer::Unanswered(lost()),
                    };
                    owner
                        .desk
                        .saw(&call.target, call.sent, order.observed, &answer, now);
                }
            }
            if answered {
                // It must not be carried out again.
                call.arrives = BootTime::MAX;
            }
        }
        calls.retain(|call| {
            !call.settled
                || (call.done.is_none() && call.arrives > now.boot && call.arrives != BootTime::MAX)
        });
        self.calls = calls;
    }
}

impl Default for WorldFaults {
    fn default() -> Self {
        Self {
            target_crash: 0.03,
            target_cut: 0.03,
            owner_kill: 0.06,
            owner_cut: 0.06,
            lost_calls: 0.03,
            late_calls: 0.02,
            late_lists: 0.0,
        }
    }
}
