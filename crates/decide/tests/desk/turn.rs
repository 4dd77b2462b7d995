//! The load of a queue's turn: full pools, a backlog, and an end for each start.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use decide::work::{
    SchedulerAction, SchedulerTime, SchedulerTuning, WorkScheduler, record_of_plan,
};
use model::{
    BootTime, HostId,
    work::{
        EndKind, EndReport, FleetPolicy, JobPlan, PollAnswer, PoolPolicy, QueuePolicy,
        ResourceVector, RunReport, StartAnswer, StartOrder, StepPlan, TargetEntry, TargetReport,
        WorkspacePolicy,
    },
};
use wire::work::JobRecord;

/// Pools, each with a queue of its own.
const POOLS: usize = 4;
/// Tasks of a job.
const TASKS: u32 = 8;
/// Time between two ends.
const BETWEEN_ENDS: Duration = Duration::from_micros(600);
/// Ends between two ticks of the desk.
const ENDS_A_TICK: u64 = 83;
/// Room of a target: seven tasks, and a rest.
const ROOM: ResourceVector = ResourceVector {
    cpu: 16_000,
    memory_mb: 32_768,
    gpu: 0,
};

/// How large the load is.
#[derive(Clone, Copy, Debug)]
pub struct TurnSize {
    pub targets: usize,
    /// Tasks that wait for room.
    pub waiting: usize,
    pub workspaces: usize,
}

/// A desk whose pools are full while more tasks wait.
#[derive(Clone)]
pub struct TurnLoad {
    pub desk: WorkScheduler,
    pub now: SchedulerTime,
    size: TurnSize,
    /// What runs on each target.
    busy: BTreeMap<HostId, Vec<StartOrder>>,
    /// Targets in the order in which they are looked at.
    names: Vec<HostId>,
    ends: BTreeMap<HostId, u64>,
    jobs: usize,
    /// Ends so far.
    pub ended: u64,
    /// Starts so far.
    pub started: u64,
}

impl TurnLoad {
    /// A desk in the middle of a turn; no workspace has a limit.
    pub fn new(size: TurnSize) -> Self {
        Self::with_limit(size, 0)
    }

    /// The same where the first workspace may have so many thousandths of a core running.
    pub fn with_limit(size: TurnSize, first_limit: u64) -> Self {
        let mut load = Self {
            desk: WorkScheduler::new(SchedulerTuning::default(), 1),
            now: SchedulerTime {
                boot: Duration::from_secs(1000),
                unix: Duration::from_secs(1_000_000),
            },
            size,
            busy: BTreeMap::new(),
            names: Vec::new(),
            ends: BTreeMap::new(),
            jobs: 0,
            ended: 0,
            started: 0,
        };
        load.desk.set_policy(Arc::new(terms(size, first_limit)));
        for number in 0..size.targets {
            load.add_target(number);
        }
        load.run();
        let tasks = size.targets * 7 + size.waiting;
        while load.jobs * (TASKS as usize) < tasks {
            load.submit();
        }
        load.run();
        load
    }

    /// One task ends; its room is given to another, and a job follows each that is done.
    pub fn end_one(&mut self) {
        let at = usize::try_from(self.ended).unwrap_or_default() % self.names.len();
        let id = self.names[at].clone();
        self.ended += 1;
        self.now.boot += BETWEEN_ENDS;
        self.now.unix += BETWEEN_ENDS;
        if self.ended.is_multiple_of(ENDS_A_TICK) {
            self.desk.tick(self.now);
        }
        let runs = self.busy.entry(id.clone()).or_default();
        let ended = (!runs.is_empty()).then(|| runs.remove(0));
        let percent = u8::try_from(self.ended % 90).unwrap_or_default();
        let running = runs.iter().map(|run| RunReport {
            task: run.task.clone(),
            attempt: run.attempt,
            percent,
            ..RunReport::default()
        });
        let running = running.collect();
        let number = self.ends.entry(id.clone()).or_default();
        let ends = ended.into_iter().map(|run| {
            *number += 1;
            EndReport {
                number: *number,
                task: run.task,
                attempt: run.attempt,
                kind: EndKind::Done,
                checkpoint: Default::default(),
            }
        });
        let ends = ends.collect();
        self.see(&id, running, ends);
        if self.ended.is_multiple_of(u64::from(TASKS)) {
            self.submit();
        }
        self.run();
    }

    /// Submits a job of the next workspace to the next queue.
    pub fn submit(&mut self) {
        let queue = self.jobs % POOLS;
        let space = self.jobs / POOLS % self.size.workspaces;
        self.submit_to(queue, space);
    }

    /// Submits a job.
    pub fn submit_to(&mut self, queue: usize, space: usize) {
        let job = format!("{:016x}", self.jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let plan = JobPlan {
            payload: "text".into(),
            steps: vec![StepPlan {
                count: TASKS,
                resources: ResourceVector {
                    cpu: 2050 + (self.jobs as u64 * 7) % 200,
                    memory_mb: 2000,
                    gpu: 0,
                },
                estimate: Duration::from_millis(800),
                ..StepPlan::default()
            }],
            repeat: None,
        };
        self.jobs += 1;
        let record = JobRecord {
            job,
            queue: format!("queue-{queue}"),
            pool: format!("pool-{queue}"),
            workspace: format!("workspace-{space:03}"),
            accepted_unix_ms: u64::try_from(self.now.unix.as_millis()).unwrap_or_default(),
            ..record_of_plan(&plan)
        };
        self.desk.accept_job(&record, self.now);
    }

    /// Plans, and answers what the desk orders.
    pub fn run(&mut self) {
        loop {
            self.desk.plan_starts(self.now);
            let orders = self.desk.take_actions();
            self.desk.take_events();
            if orders.is_empty() {
                return;
            }
            for order in orders {
                self.answer(order);
            }
        }
    }

    fn answer(&mut self, order: SchedulerAction) {
        match order {
            SchedulerAction::AppendLog(record) => self.desk.handle_stored_entry(&record, self.now),
            SchedulerAction::Start(id, start) => {
                self.started += 1;
                let answer = StartAnswer::Started {
                    clock: self.now.boot,
                };
                let (task, attempt) = (start.task.clone(), start.attempt);
                self.busy.entry(id.clone()).or_default().push(start);
                self.desk
                    .handle_start_answer(&id, &task, attempt, &answer, self.now);
            }
            _ => {}
        }
    }

    fn add_target(&mut self, number: usize) {
        let id: HostId = format!("{:08x}", (number as u32).wrapping_mul(0x9e37_79b9)).into();
        let entry = TargetEntry {
            target: id.clone(),
            address: format!("10.{}.{}.1:80", number / 250, number % 250).into(),
            pool: format!("pool-{}", number % POOLS).into(),
            rack: format!("rack-{}", number / 12).into(),
            capacity: ROOM,
            started_at: Duration::from_secs(1),
            ..TargetEntry::default()
        };
        self.desk.upsert_target(entry, self.now);
        self.see(&id, Vec::new(), Vec::new());
        self.names.push(id);
    }

    fn see(&mut self, id: &HostId, running: Vec<RunReport>, ended: Vec<EndReport>) {
        let sent: BootTime = self.now.boot;
        let sight = TargetReport {
            clock: self.now.boot,
            started_at: Duration::from_secs(1),
            running,
            ended,
        };
        let answer = PollAnswer::Seen(sight);
        self.desk.apply_report(id, sent, 0, &answer, self.now);
    }
}

fn terms(size: TurnSize, first_limit: u64) -> FleetPolicy {
    let queue = |number: usize| QueuePolicy {
        name: format!("queue-{number}").into(),
        pool: format!("pool-{number}").into(),
        max_attempts: 3,
        slack_factor: 1.6,
        slack_time: Duration::from_millis(600),
        ..QueuePolicy::default()
    };
    let pool = |number: usize| PoolPolicy {
        name: format!("pool-{number}").into(),
        ..PoolPolicy::default()
    };
    let space = |number: usize| WorkspacePolicy {
        name: format!("workspace-{number:03}").into(),
        limit: ResourceVector {
            cpu: if number == 0 { first_limit } else { 0 },
            ..ResourceVector::default()
        },
        ..WorkspacePolicy::default()
    };
    FleetPolicy {
        revision: 1,
        queues: (0..POOLS).map(queue).collect(),
        pools: (0..POOLS).map(pool).collect(),
        workspaces: (0..size.workspaces).map(space).collect(),
        max_body: 1 << 20,
    }
}
