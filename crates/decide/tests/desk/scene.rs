use std::{sync::Arc, time::Duration};

use decide::work::{
    HostDrainState, SchedulerAction, SchedulerTime, SchedulerTuning, WorkScheduler, record_of_plan,
};
use model::{
    BootTime, HostId,
    work::{
        EndKind, EndReport, FleetPolicy, JobPlan, OrderAnswer, PollAnswer, PoolPolicy, QueuePolicy,
        ResourceVector, RunReport, StartAnswer, StartOrder, StepPlan, TargetEntry, TargetReport,
        TaskKey, WorkspacePolicy,
    },
};
use wire::work::{JobRecord, LogEntry, log_entry::Event};

/// A desk with one pool, one queue and one workspace, and a clock that the test moves.
pub struct DeskScene {
    pub desk: WorkScheduler,
    pub now: SchedulerTime,
    /// Starts that the desk ordered and that have not been answered.
    pub starts: Vec<(HostId, StartOrder)>,
    /// Other orders.
    pub others: Vec<SchedulerAction>,
    /// Entries that were stored.
    pub stored: Vec<LogEntry>,
    /// While set, the store takes nothing.
    pub store_away: bool,
}

pub const POOL: &str = "pool";
pub const QUEUE: &str = "queue";
pub const SPACE: &str = "space";

impl DeskScene {
    pub fn new(token: u64) -> Self {
        let mut scene = Self {
            desk: WorkScheduler::new(SchedulerTuning::default(), token),
            now: SchedulerTime {
                boot: Duration::from_secs(1000),
                unix: Duration::from_secs(1_000_000),
            },
            starts: Vec::new(),
            others: Vec::new(),
            stored: Vec::new(),
            store_away: false,
        };
        scene.desk.set_policy(Arc::new(terms()));
        scene
    }

    /// A scene with one target, on which the tasks of one job are to be started.
    pub fn submitted(cpu: u64, steps: Vec<StepPlan>) -> Self {
        let mut scene = Self::new(1);
        scene.add("t1", cpu);
        scene.submit("a", &plan(steps));
        scene
    }

    /// The same once they were started; also returns the starts.
    pub fn started(cpu: u64, steps: Vec<StepPlan>) -> (Self, Vec<(HostId, StartOrder)>) {
        let mut scene = Self::submitted(cpu, steps);
        let starts = scene.start_all();
        (scene, starts)
    }

    /// A new term that reads what the present one has stored.
    pub fn successor(&self, token: u64) -> Self {
        let mut scene = Self::new(token);
        scene.now = self.now;
        scene.stored = self.stored.clone();
        for entry in &self.stored {
            scene.desk.replay(entry, scene.now);
        }
        scene.desk.finish_replay(scene.now);
        scene
    }

    pub fn pass(&mut self, time: Duration) {
        self.now.boot += time;
        self.now.unix += time;
        self.desk.tick(self.now);
        self.run();
    }

    /// Plans and takes the orders; entries are stored at once.
    pub fn run(&mut self) {
        loop {
            self.desk.plan_starts(self.now);
            let orders = self.desk.take_actions();
            if orders.is_empty() {
                let broken = self.desk.index_mismatches(self.now.boot);
                assert!(
                    broken.is_empty(),
                    "indexes that differ from the books: {broken:?}"
                );
                return;
            }
            for order in orders {
                match order {
                    SchedulerAction::AppendLog(record) if self.store_away => {
                        self.others.push(SchedulerAction::AppendLog(record));
                    }
                    SchedulerAction::AppendLog(record) => {
                        self.stored.push(record.entry.clone());
                        self.desk.handle_stored_entry(&record, self.now);
                    }
                    SchedulerAction::Start(id, start) => self.starts.push((id, start)),
                    other => self.others.push(other),
                }
            }
        }
    }

    pub fn list(&mut self, id: &str, cpu: u64) {
        self.desk.upsert_target(target(id, cpu), self.now);
        self.run();
    }

    /// Lists a target and looks at it, so that it takes tasks.
    pub fn add(&mut self, id: &str, cpu: u64) {
        self.list(id, cpu);
        self.raise(id);
    }

    /// Shows the first end on a target, on which nothing else runs.
    pub fn end(&mut self, id: &str, start: &StartOrder, kind: EndKind) {
        let end = ended(1, &start.task, start.attempt, kind);
        self.see(id, Vec::new(), vec![end]);
    }

    /// Looks at a target that runs nothing and ended nothing.
    pub fn raise(&mut self, id: &str) {
        self.see(id, Vec::new(), Vec::new());
    }

    pub fn see(&mut self, id: &str, running: Vec<RunReport>, ended: Vec<EndReport>) {
        self.now.boot += Duration::from_millis(1);
        let sent = self.now.boot;
        self.now.boot += Duration::from_millis(1);
        let sight = TargetReport {
            clock: self.now.boot,
            started_at: Duration::from_secs(1),
            running,
            ended,
        };
        self.desk
            .apply_report(&id.into(), sent, 0, &PollAnswer::Seen(sight), self.now);
        self.run();
    }

    /// A look at a target that is not answered.
    pub fn miss(&mut self, id: &str) {
        let silent = PollAnswer::Unanswered("timed out".to_owned());
        let sent = self.now.boot;
        self.desk
            .apply_report(&id.into(), sent, 0, &silent, self.now);
    }

    /// A start that is not answered.
    pub fn leave_unanswered(&mut self, id: &HostId, start: &StartOrder) {
        let unanswered = StartAnswer::Unanswered("timed out".to_owned());
        self.desk
            .handle_start_answer(id, &start.task, start.attempt, &unanswered, self.now);
    }

    /// A target has done the stop that was sent at a time.
    pub fn answer_stop(&mut self, id: &HostId, start: &StartOrder, sent: BootTime) {
        let done = OrderAnswer::Done;
        self.desk
            .handle_stop_answer(id, &start.task, start.attempt, sent, &done, self.now);
    }

    pub fn submit(&mut self, job: &str, plan: &JobPlan) {
        let record = JobRecord {
            job: job.to_owned(),
            queue: QUEUE.to_owned(),
            pool: POOL.to_owned(),
            workspace: SPACE.to_owned(),
            accepted_unix_ms: u64::try_from(self.now.unix.as_millis()).unwrap_or_default(),
            ..record_of_plan(plan)
        };
        self.stored.push(LogEntry {
            event: Some(Event::Accepted(record.clone())),
        });
        self.desk.accept_job(&record, self.now);
        self.desk.tick(self.now);
        self.run();
    }

    /// Cancels a job, as its caller wants.
    pub fn cancel(&mut self, job: &str) {
        self.desk.cancel(&job.into(), self.now);
        self.stored.push(LogEntry {
            event: Some(Event::Cancelled(job.to_owned())),
        });
        self.run();
    }

    /// Begins to empty a target's host.
    pub fn empty(&mut self, id: &str) {
        if let Some(target) = self.desk.targets.get_mut(id) {
            target.drain = HostDrainState::Draining;
        }
    }

    /// Replaces the log by a shorter one that says the same.
    pub fn compact(&mut self) {
        self.stored = self.desk.job_table.compacted_entries();
    }

    /// Gives the workspace a weight.
    pub fn weigh(&mut self, weight: u32) {
        let mut terms = FleetPolicy::clone(&self.desk.policy);
        terms
            .workspaces
            .iter_mut()
            .for_each(|space| space.weight = weight);
        self.desk.set_policy(Arc::new(terms));
    }

    /// Answers all starts with success; returns them.
    pub fn start_all(&mut self) -> Vec<(HostId, StartOrder)> {
        let starts = std::mem::take(&mut self.starts);
        for (id, start) in &starts {
            let answer = StartAnswer::Started {
                clock: self.now.boot,
            };
            self.desk
                .handle_start_answer(id, &start.task, start.attempt, &answer, self.now);
        }
        self.run();
        starts
    }

    pub fn stops(&self) -> usize {
        let stop = |order: &&SchedulerAction| matches!(order, SchedulerAction::Stop(..));
        self.others.iter().filter(stop).count()
    }
}

pub fn target(id: &str, cpu: u64) -> TargetEntry {
    TargetEntry {
        target: id.into(),
        address: format!("{id}:80").into(),
        pool: POOL.into(),
        rack: "rack".into(),
        labels: vec!["kind".into(), "rack".into()],
        capacity: ResourceVector {
            cpu,
            memory_mb: 10_000,
            gpu: 0,
        },
        started_at: Duration::from_secs(1),
        ..TargetEntry::default()
    }
}

/// When the later life of [`reborn`] begins.
pub const LATER: Duration = Duration::from_secs(500);

/// The entry of a later life of `t1`, under the same id.
pub fn reborn(cpu: u64) -> TargetEntry {
    TargetEntry {
        started_at: LATER,
        ..target("t1", cpu)
    }
}

pub fn step(count: u32, cpu: u64) -> StepPlan {
    StepPlan {
        count,
        resources: ResourceVector {
            cpu,
            memory_mb: 100,
            gpu: 0,
        },
        estimate: Duration::from_secs(1),
        ..StepPlan::default()
    }
}

/// Two tasks that last, on a target each, of which one may be missing.
pub fn lasting_pair() -> StepPlan {
    StepPlan {
        long_running: true,
        max_unavailable: 1,
        anti_affinity: 1,
        ..step(2, 1000)
    }
}

pub fn plan(steps: Vec<StepPlan>) -> JobPlan {
    JobPlan {
        payload: "text".into(),
        steps,
        repeat: None,
    }
}

pub fn running(start: &StartOrder) -> RunReport {
    RunReport {
        task: start.task.clone(),
        attempt: start.attempt,
        percent: 10,
        ..RunReport::default()
    }
}

pub fn ended(number: u64, task: &TaskKey, attempt: u64, kind: EndKind) -> EndReport {
    EndReport {
        number,
        task: task.clone(),
        attempt,
        kind,
        checkpoint: Default::default(),
    }
}

fn terms() -> FleetPolicy {
    terms_with_limit(8000)
}

/// Terms of one pool, one queue and one workspace of which so much may run.
pub fn terms_with_limit(cpu: u64) -> FleetPolicy {
    FleetPolicy {
        revision: 1,
        queues: vec![QueuePolicy {
            name: QUEUE.into(),
            pool: POOL.into(),
            max_attempts: 2,
            slack_factor: 2.0,
            ..QueuePolicy::default()
        }],
        pools: vec![PoolPolicy {
            name: POOL.into(),
            ..PoolPolicy::default()
        }],
        workspaces: vec![WorkspacePolicy {
            name: SPACE.into(),
            limit: ResourceVector {
                cpu,
                ..ResourceVector::default()
            },
            ..WorkspacePolicy::default()
        }],
        max_body: 1 << 20,
    }
}
