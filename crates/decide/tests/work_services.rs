//! Long-running tasks under seeded faults: hosts are drained in waves, targets crash or become
//! unreachable, and starts and stops are lost or carried out late. A failing case prints its seed.

mod harness;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use decide::work::{
    HostOrder, HostPlanner, SchedulerAction, SchedulerTime, SchedulerTuning, WorkScheduler,
    record_of_plan,
};
use harness::{POOL, QUEUE, SimTarget, WORKSPACE, plan, policy_with_limit, step, target};
use model::{
    BootTime, HostId,
    work::{
        FleetHost, HostCondition, HostOrderAnswer, MaintenanceWave, OrderAnswer, PollAnswer,
        PollOrder, StartAnswer, StartOrder, StepPlan, StopOrder, TaskKey,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use wire::work::JobRecord;

const TICK: Duration = Duration::from_millis(20);
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a task may be gone before it counts as missing in its step.
const MISSING_AFTER: Duration = Duration::from_millis(4500);
/// Time in which a start may be carried out while a poll that does not show it, or the stop that
/// follows, is in flight. The scheduler can't know of such a start; its task ends right after its
/// start.
const IN_FLIGHT: Duration = Duration::from_millis(120);
const TARGETS: u32 = 7;
const TASKS: u32 = 4;
const CAPACITY: u64 = 2000;
const BUSY: Duration = Duration::from_secs(60);
const CALM: Duration = Duration::from_secs(200);
const SEEDS: u64 = 25;

/// Fault rates: fractions of the calls, and chances per second.
#[derive(Clone, Copy)]
struct Faults {
    lost: f64,
    late: f64,
    crash: f64,
    cut: f64,
}

enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Poll(PollOrder),
}

enum Answer {
    Start(StartAnswer),
    Stop(OrderAnswer),
    Poll(PollAnswer),
}

struct Call {
    target: HostId,
    order: Order,
    target_started_at: Duration,
    sent: BootTime,
    arrives_at: BootTime,
    times_out_at: BootTime,
    answers: bool,
    done: Option<Answer>,
    finished: bool,
}

/// When a task became unavailable, and whether an order of the scheduler caused it.
#[derive(Clone, Copy)]
struct Unavailable {
    since: BootTime,
    ordered: bool,
}

struct ServiceWorld {
    rng: StdRng,
    faults: Faults,
    now: SchedulerTime,
    scheduler: WorkScheduler,
    planner: HostPlanner,
    targets: BTreeMap<HostId, SimTarget>,
    calls: Vec<Call>,
    unavailable: BTreeMap<TaskKey, Unavailable>,
    violations: Vec<String>,
    /// Events of each task, for the message of a violation.
    history: BTreeMap<TaskKey, Vec<String>>,
    stops: u32,
}

impl ServiceWorld {
    fn new(seed: u64, max_unavailable: u32, faults: Faults) -> Self {
        let now = SchedulerTime {
            boot: Duration::from_secs(1000),
            unix: Duration::from_secs(1_000_000),
        };
        let mut scheduler = WorkScheduler::new(SchedulerTuning::default(), 7);
        scheduler.set_policy(Arc::new(policy_with_limit(100_000)));
        let names = (0..TARGETS).map(|number| HostId::from(format!("t{number}")));
        let new_target = |name: HostId| {
            let state = SimTarget {
                started_at: Duration::from_secs(1),
                up: true,
                ..SimTarget::default()
            };
            (name, state)
        };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            now,
            scheduler,
            planner: HostPlanner::default(),
            targets: names.map(new_target).collect(),
            calls: Vec::new(),
            unavailable: BTreeMap::new(),
            violations: Vec::new(),
            history: BTreeMap::new(),
            stops: 0,
        };
        let service = StepPlan {
            long_running: true,
            max_unavailable,
            anti_affinity: 1,
            ..step(TASKS, 1000)
        };
        let record = JobRecord {
            job: "a".to_owned(),
            queue: QUEUE.to_owned(),
            pool: POOL.to_owned(),
            workspace: WORKSPACE.to_owned(),
            ..record_of_plan(&plan(vec![service]))
        };
        world.scheduler.accept_job(&record, now);
        world
    }

    fn run(&mut self) {
        let mut wave = 0;
        let end = self.now.boot + BUSY;
        while self.now.boot < end {
            if self.now.boot.subsec_millis() == 0 && self.now.boot.as_secs().is_multiple_of(6) {
                wave += 1;
                self.begin_wave(wave);
            }
            self.inject_faults();
            self.advance();
        }
        self.faults = Faults {
            lost: 0.0,
            late: 0.0,
            crash: 0.0,
            cut: 0.0,
        };
        let end = self.now.boot + CALM;
        while self.now.boot < end && (!self.waves_are_done() || !self.all_at_work()) {
            self.advance();
        }
        if !self.all_at_work() {
            self.violations
                .push("not all tasks run in the end".to_owned());
        }
    }

    fn waves_are_done(&mut self) -> bool {
        let states = self.planner.changed_waves();
        states.iter().all(|(_, completed)| *completed)
    }

    fn all_at_work(&self) -> bool {
        (0..TASKS).all(|index| self.is_at_work(&key(index)))
    }

    fn chance(&mut self, a_second: f64) -> bool {
        self.rng.random::<f64>() < a_second * TICK.as_secs_f64()
    }

    fn begin_wave(&mut self, wave: u64) {
        let first = self.rng.random_range(0..TARGETS);
        let hosts = (0..3).map(|next| format!("h{}", (first + next) % TARGETS).into());
        let wave = MaintenanceWave {
            wave,
            hosts: hosts.collect(),
            deadline: Duration::from_secs(20),
            max_down: 2,
        };
        let now = self.now.boot;
        self.planner.apply_waves(&[wave], &BTreeSet::new(), now);
    }

    fn inject_faults(&mut self) {
        let now = self.now.boot;
        if self.chance(self.faults.crash) {
            let length = Duration::from_millis(self.rng.random_range(500..6000));
            let name = self.random_target();
            self.take_target_down(&name, length, false);
        }
        if self.chance(self.faults.cut) {
            let length = Duration::from_millis(self.rng.random_range(300..5000));
            let name = self.random_target();
            if let Some(state) = self.targets.get_mut(&name)
                && state.up
            {
                state.partitioned = true;
                state.back_at = now + length;
            }
        }
    }

    fn random_target(&mut self) -> HostId {
        let number = self.rng.random_range(0..TARGETS);
        HostId::from(format!("t{number}"))
    }

    fn take_target_down(&mut self, name: &HostId, length: Duration, ordered: bool) {
        let now = self.now.boot;
        let Some(state) = self.targets.get_mut(name) else {
            return;
        };
        if !state.up {
            return;
        }
        let ended: Vec<TaskKey> = state.runs.keys().map(|run| run.0.clone()).collect();
        state.runs.clear();
        state.up = false;
        state.down_since = now;
        state.back_at = now + length;
        for task in ended {
            if ordered {
                self.check_unavailable(&task, name);
            }
            self.mark_unavailable(&task, ordered);
        }
    }

    fn advance(&mut self) {
        self.now.boot += TICK;
        self.now.unix += TICK;
        self.update_targets();
        self.deliver();
        self.answer();
        self.decide();
    }

    fn update_targets(&mut self) {
        let now = self.now;
        let mut expired = Vec::new();
        for state in self.targets.values_mut() {
            if now.boot >= state.back_at {
                state.partitioned = false;
                if !state.up {
                    *state = SimTarget {
                        started_at: now.unix,
                        clock_start: now.boot,
                        up: true,
                        ..SimTarget::default()
                    };
                }
            }
            let before: Vec<TaskKey> = state.runs.keys().map(|run| run.0.clone()).collect();
            state.end_due_runs(now.boot);
            if state.runs.is_empty() {
                expired.extend(before);
            }
        }
        for task in expired {
            self.mark_unavailable(&task, false);
        }
    }

    fn decide(&mut self) {
        let now = self.now;
        for (name, state) in &self.targets {
            let known = self.scheduler.targets.get(name);
            let started_at = known
                .filter(|known| known.listed)
                .map(|known| known.incarnation.started_at);
            if state.up && started_at != Some(state.started_at) {
                let mut entry = target(name, CAPACITY);
                entry.started_at = state.started_at;
                self.scheduler.upsert_target(entry, now);
            } else if !state.up && now.boot >= state.down_since + MISSING_AFTER {
                self.scheduler.mark_target_unlisted(name);
            }
        }
        self.scheduler.tick(now);
        if now.boot.subsec_millis().is_multiple_of(100) {
            self.manage_hosts();
        }
        self.scheduler.plan_starts(now, usize::MAX);
        self.poll_targets();
        for order in self.scheduler.take_actions() {
            match order {
                SchedulerAction::AppendLog(log) => self.scheduler.handle_stored_entry(&log, now),
                SchedulerAction::Start(name, order) => self.send(name, Order::Start(order)),
                SchedulerAction::Stop(name, order) => {
                    let (task, attempt) = (&order.task, order.attempt);
                    if self.scheduler.should_send_stop(&name, task, attempt, now) {
                        self.send(name, Order::Stop(order));
                    }
                }
                _ => {}
            }
        }
        self.scheduler.take_events();
    }

    fn manage_hosts(&mut self) {
        let now = self.now.boot;
        let host = |(name, state): (&HostId, &SimTarget)| FleetHost {
            host: name.replace('t', "h").into(),
            pool: POOL.into(),
            condition: if state.up {
                HostCondition::Up
            } else {
                HostCondition::Down
            },
            target: name.clone(),
            ..FleetHost::default()
        };
        let hosts = self.targets.iter().map(host).collect();
        self.planner.apply_host_list(hosts, now);
        for order in self.planner.plan(&mut self.scheduler, now) {
            let HostOrder::Maintain(host, _) = &order else {
                continue;
            };
            let name = HostId::from(host.replace('h', "t"));
            let up = self.targets.get(&name).is_some_and(|state| state.up);
            let answer = if up {
                HostOrderAnswer::Done
            } else {
                HostOrderAnswer::Busy
            };
            if up {
                self.take_target_down(&name, Duration::from_millis(1500), true);
            }
            if self.planner.apply_answer(&order, &answer, now) {
                self.scheduler.end_target_after_host_order(&name, self.now);
            }
        }
    }

    fn poll_targets(&mut self) {
        let names: Vec<HostId> = self.scheduler.targets.keys().cloned().collect();
        for name in names {
            let is_pending = |call: &Call| {
                call.target == name && !call.finished && matches!(call.order, Order::Poll(_))
            };
            if self.calls.iter().any(is_pending) {
                continue;
            }
            if let Some(order) = self.scheduler.poll_order(&name, self.now.boot, self.now) {
                self.send(name, Order::Poll(order));
            }
        }
    }

    fn send(&mut self, target: HostId, order: Order) {
        let now = self.now.boot;
        let sample: f64 = self.rng.random();
        let Faults { lost, late, .. } = self.faults;
        let prompt = now + Duration::from_millis(self.rng.random_range(1..60));
        let (arrives_at, answers) = if sample < lost / 2.0 {
            (BootTime::MAX, false)
        } else if sample < lost {
            (prompt, false)
        } else if sample < lost + late {
            let delay = Duration::from_millis(self.rng.random_range(600..12_000));
            (now + delay, false)
        } else {
            (prompt, true)
        };
        let wait = match &order {
            Order::Poll(look) => look.wait.min(Duration::from_millis(100)),
            _ => Duration::ZERO,
        };
        let state = self.targets.get(&target);
        self.calls.push(Call {
            target_started_at: state.map(|state| state.started_at).unwrap_or_default(),
            target,
            order,
            sent: now,
            arrives_at: arrives_at.saturating_add(wait),
            times_out_at: now + wait + ORDER_TIMEOUT,
            answers,
            done: None,
            finished: false,
        });
    }

    fn deliver(&mut self) {
        let now = self.now.boot;
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if call.done.is_some() || call.arrives_at > now {
                continue;
            }
            call.arrives_at = BootTime::MAX;
            let is_held_up = now > call.times_out_at;
            let Some(state) = self.targets.get_mut(&call.target) else {
                continue;
            };
            if !state.up
                || state.partitioned
                || (is_held_up && call.target_started_at != state.started_at)
            {
                call.answers = false;
                continue;
            }
            let mut record_event = |task: &TaskKey, what: &str| {
                let history = self.history.entry(task.clone()).or_default();
                history.push(format!(
                    "{now:?}: {what} on {}, sent {:?}",
                    call.target, call.sent
                ));
            };
            call.done = Some(match &call.order {
                Order::Start(order) => {
                    record_event(&order.task, &format!("start {}", order.attempt));
                    let answer = state.start(order, now, BootTime::MAX);
                    if matches!(answer, StartAnswer::Started { .. }) {
                        self.unavailable.remove(&order.task);
                        state.task_starts.entry(order.task.clone()).or_insert(now);
                    }
                    Answer::Start(answer)
                }
                Order::Stop(order) => {
                    record_event(&order.task, &format!("stop {}", order.attempt));
                    let run = (order.task.clone(), order.attempt);
                    let ends = state.runs.contains_key(&run);
                    let answer = state.stop(order, now);
                    let began = state.task_starts.remove(&run.0).unwrap_or_default();
                    if ends {
                        self.stops += 1;
                        if !is_held_up && now >= began + IN_FLIGHT {
                            self.check_unavailable(&run.0, &call.target);
                        }
                        self.mark_unavailable(&run.0, true);
                    }
                    Answer::Stop(answer)
                }
                Order::Poll(order) => Answer::Poll(state.poll(order, now).0),
            });
        }
        self.calls = calls;
    }

    fn answer(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls.iter_mut().filter(|call| !call.finished) {
            let answered = call.answers && call.done.is_some();
            if !answered && now.boot < call.times_out_at {
                continue;
            }
            call.finished = true;
            let lost = || "timed out".to_owned();
            let done = call.done.take().filter(|_| answered);
            let (id, scheduler) = (&call.target, &mut self.scheduler);
            match (&call.order, done) {
                (Order::Start(order), done) => {
                    let answer = match done {
                        Some(Answer::Start(answer)) => answer,
                        _ => StartAnswer::Unanswered(lost()),
                    };
                    scheduler.handle_start_answer(id, &order.task, order.attempt, &answer, now);
                }
                (Order::Stop(order), done) => {
                    let answer = match done {
                        Some(Answer::Stop(answer)) => answer,
                        _ => OrderAnswer::Unanswered(lost()),
                    };
                    scheduler.handle_stop_answer(
                        id,
                        &order.task,
                        order.attempt,
                        call.sent,
                        &answer,
                        now,
                    );
                }
                (Order::Poll(order), done) => {
                    let answer = match done {
                        Some(Answer::Poll(answer)) => answer,
                        _ => PollAnswer::Unanswered(lost()),
                    };
                    scheduler.apply_report(id, call.sent, order.acked_end, &answer, now);
                }
            }
        }
        calls.retain(|call| !call.finished || call.arrives_at != BootTime::MAX);
        self.calls = calls;
    }

    /// Checks an order that ends a running task against `max_unavailable` of its step.
    fn check_unavailable(&mut self, task: &TaskKey, on: &HostId) {
        if self.is_at_work(task) {
            // Another run of the task continues elsewhere.
            return;
        }
        let now = self.now.boot;
        let max_unavailable =
            self.scheduler.job_table.jobs["a"].plan.steps[0].max_unavailable as usize;
        let missing = |index: &u32| {
            let unavailable = self.unavailable.get(&key(*index));
            unavailable.is_some_and(|unavailable| {
                unavailable.ordered || now >= unavailable.since + MISSING_AFTER
            })
        };
        let others = (0..TASKS).filter(|index| *index != task.index);
        let away: Vec<u32> = others.filter(missing).collect();
        if away.len() >= max_unavailable {
            let history = self.history.get(task);
            let fault =
                format!("{now:?}: {task} ends on {on} while {away:?} are away: {history:#?}");
            self.violations.push(fault);
        }
    }

    fn mark_unavailable(&mut self, task: &TaskKey, ordered: bool) {
        if self.is_at_work(task) {
            return;
        }
        let since = self.now.boot;
        self.unavailable
            .insert(task.clone(), Unavailable { since, ordered });
    }

    fn is_at_work(&self, task: &TaskKey) -> bool {
        let up = self.targets.values().filter(|state| state.up);
        up.flat_map(|state| state.runs.keys())
            .any(|run| run.0 == *task)
    }
}

fn key(index: u32) -> TaskKey {
    TaskKey {
        job: "a".into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// No order ends a task while `max_unavailable` other tasks of its step are unavailable, whatever
/// happens to orders, and in the end all tasks run.
#[rstest]
#[case::calm(1, Faults { lost: 0.0, late: 0.0, crash: 0.0, cut: 0.0 })]
#[case::orders(1, Faults { lost: 0.15, late: 0.15, crash: 0.0, cut: 0.0 })]
#[case::targets(1, Faults { lost: 0.02, late: 0.02, crash: 0.15, cut: 0.15 })]
#[case::late_starts(1, Faults { lost: 0.05, late: 0.4, crash: 0.1, cut: 0.1 })]
#[case::unsure(1, Faults { lost: 0.3, late: 0.35, crash: 0.3, cut: 0.0 })]
#[case::two_may_miss(2, Faults { lost: 0.1, late: 0.2, crash: 0.1, cut: 0.1 })]
fn services_respect_max_unavailable(#[case] max_unavailable: u32, #[case] faults: Faults) {
    let mut stops = 0;
    for seed in 0..SEEDS {
        let mut world = ServiceWorld::new(seed, max_unavailable, faults);
        world.run();
        stops += world.stops;
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:#?}",
            world.violations
        );
    }
    assert!(stops > 0, "no host was drained");
}
