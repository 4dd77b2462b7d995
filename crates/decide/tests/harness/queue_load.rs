//! Load on a scheduler with full pools and a backlog, where each task that ends is replaced by
//! another.

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

/// Number of pools. Each has its own queue.
const POOL_COUNT: usize = 4;
/// Tasks of each job.
const TASKS_PER_JOB: u32 = 8;
/// Simulated time between the ends of two tasks.
const END_INTERVAL: Duration = Duration::from_micros(600);
/// Tasks that end between two ticks of the scheduler.
const ENDS_PER_TICK: u64 = 83;
/// Capacity of a target: seven tasks and a remainder.
const TARGET_CAPACITY: ResourceVector = ResourceVector {
    cpu: 16_000,
    memory_mb: 32_768,
    gpu: 0,
};

/// Size of the load.
#[derive(Clone, Copy, Debug)]
pub struct TurnSize {
    pub targets: usize,
    /// Tasks that wait for capacity.
    pub waiting: usize,
    pub workspaces: usize,
}

/// A scheduler with full pools and a backlog of tasks.
#[derive(Clone)]
pub struct QueueLoad {
    pub scheduler: WorkScheduler,
    pub now: SchedulerTime,
    size: TurnSize,
    /// Runs of each target.
    runs: BTreeMap<HostId, Vec<StartOrder>>,
    /// Targets in the order in which their tasks end.
    target_ids: Vec<HostId>,
    end_counts: BTreeMap<HostId, u64>,
    jobs: usize,
    /// Number of tasks that ended.
    pub ended: u64,
    /// Number of tasks that were started.
    pub started: u64,
}

impl QueueLoad {
    /// Creates a scheduler with full pools and a backlog. No workspace has a limit.
    pub fn new(size: TurnSize) -> Self {
        Self::with_limit(size, 0)
    }

    /// Same as [`QueueLoad::new`], with a limit on the first workspace in thousandths of a core. A
    /// limit of 0 is none.
    pub fn with_limit(size: TurnSize, first_limit: u64) -> Self {
        let mut load = Self {
            scheduler: WorkScheduler::new(SchedulerTuning::default(), 1),
            now: SchedulerTime {
                boot: Duration::from_secs(1000),
                unix: Duration::from_secs(1_000_000),
            },
            size,
            runs: BTreeMap::new(),
            target_ids: Vec::new(),
            end_counts: BTreeMap::new(),
            jobs: 0,
            ended: 0,
            started: 0,
        };
        load.scheduler
            .set_policy(Arc::new(policy(size, first_limit)));
        for number in 0..size.targets {
            load.add_target(number);
        }
        load.run_planning();
        let tasks = size.targets * 7 + size.waiting;
        while load.jobs * (TASKS_PER_JOB as usize) < tasks {
            load.submit();
        }
        load.run_planning();
        load
    }

    /// Ends one task, so that another starts in its place. Submits a new job for each job's worth
    /// of ends.
    pub fn end_next_task(&mut self) {
        let at = usize::try_from(self.ended).unwrap_or_default() % self.target_ids.len();
        let id = self.target_ids[at].clone();
        self.ended += 1;
        self.now.boot += END_INTERVAL;
        self.now.unix += END_INTERVAL;
        if self.ended.is_multiple_of(ENDS_PER_TICK) {
            self.scheduler.tick(self.now);
        }
        let runs = self.runs.entry(id.clone()).or_default();
        let ended = (!runs.is_empty()).then(|| runs.remove(0));
        let percent = u8::try_from(self.ended % 90).unwrap_or_default();
        let running = runs.iter().map(|run| RunReport {
            task: run.task.clone(),
            attempt: run.attempt,
            percent,
            ..RunReport::default()
        });
        let running = running.collect();
        let number = self.end_counts.entry(id.clone()).or_default();
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
        self.report(&id, running, ends);
        if self.ended.is_multiple_of(u64::from(TASKS_PER_JOB)) {
            self.submit();
        }
        self.run_planning();
    }

    /// Submits a job to the next queue, in the next workspace.
    pub fn submit(&mut self) {
        let queue = self.jobs % POOL_COUNT;
        let workspace = self.jobs / POOL_COUNT % self.size.workspaces;
        self.submit_to(queue, workspace);
    }

    /// Submits a job to the given queue and workspace.
    pub fn submit_to(&mut self, queue: usize, workspace: usize) {
        let job = format!("{:016x}", self.jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let plan = JobPlan {
            payload: "text".into(),
            steps: vec![StepPlan {
                count: TASKS_PER_JOB,
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
            workspace: format!("workspace-{workspace:03}"),
            accepted_unix_ms: u64::try_from(self.now.unix.as_millis()).unwrap_or_default(),
            ..record_of_plan(&plan)
        };
        self.scheduler.accept_job(&record, self.now);
    }

    /// Plans and handles the scheduler's actions until there are none.
    pub fn run_planning(&mut self) {
        loop {
            self.scheduler.plan_starts(self.now, usize::MAX);
            let actions = self.scheduler.take_actions();
            self.scheduler.take_events();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.handle_action(action);
            }
        }
    }

    fn handle_action(&mut self, action: SchedulerAction) {
        match action {
            SchedulerAction::AppendLog(log) => self.scheduler.handle_stored_entry(&log, self.now),
            SchedulerAction::Start(id, start) => {
                self.started += 1;
                let answer = StartAnswer::Started {
                    clock: self.now.boot,
                };
                let (task, attempt) = (start.task.clone(), start.attempt);
                self.runs.entry(id.clone()).or_default().push(start);
                self.scheduler
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
            pool: format!("pool-{}", number % POOL_COUNT).into(),
            rack: format!("rack-{}", number / 12).into(),
            capacity: TARGET_CAPACITY,
            started_at: Duration::from_secs(1),
            ..TargetEntry::default()
        };
        self.scheduler.upsert_target(entry, self.now);
        self.report(&id, Vec::new(), Vec::new());
        self.target_ids.push(id);
    }

    fn report(&mut self, id: &HostId, running: Vec<RunReport>, ended: Vec<EndReport>) {
        let sent: BootTime = self.now.boot;
        let report = TargetReport {
            clock: self.now.boot,
            started_at: Duration::from_secs(1),
            running,
            ended,
        };
        let answer = PollAnswer::Seen(report);
        self.scheduler.apply_report(id, sent, 0, &answer, self.now);
    }
}

fn policy(size: TurnSize, first_limit: u64) -> FleetPolicy {
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
    let workspace = |number: usize| WorkspacePolicy {
        name: format!("workspace-{number:03}").into(),
        limit: ResourceVector {
            cpu: if number == 0 { first_limit } else { 0 },
            ..ResourceVector::default()
        },
        ..WorkspacePolicy::default()
    };
    FleetPolicy {
        revision: 1,
        queues: (0..POOL_COUNT).map(queue).collect(),
        pools: (0..POOL_COUNT).map(pool).collect(),
        workspaces: (0..size.workspaces).map(workspace).collect(),
        max_body: 1 << 20,
    }
}
