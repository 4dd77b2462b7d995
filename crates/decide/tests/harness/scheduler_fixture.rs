use std::{sync::Arc, time::Duration};

use decide::work::{
    HostDrainState, JobTerms, LogAppend, SchedulerAction, SchedulerTime, SchedulerTuning,
    WorkScheduler, record_of_limit, record_of_plan,
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

/// A scheduler with one pool, one queue and one workspace, and a clock that the test advances.
pub struct SchedulerFixture {
    pub scheduler: WorkScheduler,
    pub now: SchedulerTime,
    /// Starts that the scheduler ordered and the test has not answered.
    pub starts: Vec<(HostId, StartOrder)>,
    /// All other actions of the scheduler.
    pub other_actions: Vec<SchedulerAction>,
    /// Entries of the job log.
    pub stored: Vec<LogEntry>,
    /// Whether the store is unavailable; log entries then stay in `other_actions`.
    pub store_down: bool,
    /// Maximum number of starts that wait to be answered.
    pub max_waiting_starts: usize,
}

pub const POOL: &str = "pool";
pub const QUEUE: &str = "queue";
pub const WORKSPACE: &str = "space";
/// A second pool, to which no queue belongs at first.
pub const OTHER_POOL: &str = "other-pool";

impl SchedulerFixture {
    pub fn new(token: u64) -> Self {
        let mut fixture = Self {
            scheduler: WorkScheduler::new(SchedulerTuning::default(), token),
            now: SchedulerTime {
                boot: Duration::from_secs(1000),
                unix: Duration::from_secs(1_000_000),
            },
            starts: Vec::new(),
            other_actions: Vec::new(),
            stored: Vec::new(),
            store_down: false,
            max_waiting_starts: usize::MAX,
        };
        fixture.scheduler.set_policy(Arc::new(policy()));
        fixture
    }

    /// A fixture with one target and one job, whose starts are not answered.
    pub fn with_job(cpu: u64, steps: Vec<StepPlan>) -> Self {
        let mut fixture = Self::new(1);
        fixture.add_target("t1", cpu);
        fixture.submit("a", &plan(steps));
        fixture
    }

    /// Same as [`SchedulerFixture::with_job`], with all starts confirmed. Also returns the starts.
    pub fn with_running_job(cpu: u64, steps: Vec<StepPlan>) -> (Self, Vec<(HostId, StartOrder)>) {
        let mut fixture = Self::with_job(cpu, steps);
        let starts = fixture.confirm_starts();
        (fixture, starts)
    }

    /// Begins a new term of ownership, which replays the stored log.
    pub fn successor(&self, token: u64) -> Self {
        let mut fixture = Self::new(token);
        fixture.now = self.now;
        fixture.stored = self.stored.clone();
        for entry in &self.stored {
            fixture.scheduler.replay(entry, fixture.now);
        }
        fixture.scheduler.finish_replay(fixture.now);
        fixture.scheduler.set_policy(self.scheduler.policy.clone());
        fixture
    }

    pub fn advance(&mut self, time: Duration) {
        self.now.boot += time;
        self.now.unix += time;
        self.scheduler.tick(self.now);
        self.run_planning();
    }

    /// Plans and collects actions until there are none. Log entries are stored immediately.
    pub fn run_planning(&mut self) {
        loop {
            let start_room = self.max_waiting_starts.saturating_sub(self.starts.len());
            let is_unfinished = self.scheduler.plan_starts(self.now, start_room);
            let actions = self.scheduler.take_actions();
            if actions.is_empty() && !is_unfinished {
                let broken = self.scheduler.index_mismatches(self.now.boot);
                assert!(broken.is_empty(), "index mismatches: {broken:?}");
                return;
            }
            for action in actions {
                match action {
                    SchedulerAction::AppendLog(record) if self.store_down => {
                        self.other_actions.push(SchedulerAction::AppendLog(record));
                    }
                    SchedulerAction::AppendLog(record) => self.store_entry(&record),
                    SchedulerAction::Start(id, start) => self.starts.push((id, start)),
                    other => self.other_actions.push(other),
                }
            }
        }
    }

    /// Makes the store available again, which stores the entries that wait for it.
    pub fn store_pending(&mut self) {
        self.store_down = false;
        for action in std::mem::take(&mut self.other_actions) {
            match action {
                SchedulerAction::AppendLog(record) => self.store_entry(&record),
                other => self.other_actions.push(other),
            }
        }
    }

    fn store_entry(&mut self, record: &LogAppend) {
        self.stored.push(record.entry.clone());
        self.scheduler.handle_stored_entry(record, self.now);
    }

    pub fn list_target(&mut self, id: &str, cpu: u64) {
        self.scheduler.upsert_target(target(id, cpu), self.now);
        self.run_planning();
    }

    /// Lists a target and reports it as idle, so that it can receive tasks.
    pub fn add_target(&mut self, id: &str, cpu: u64) {
        self.list_target(id, cpu);
        self.report_idle(id);
    }

    /// Reports the end of a start as the first end of a target that runs nothing else.
    pub fn report_end(&mut self, id: &str, start: &StartOrder, kind: EndKind) {
        let end = end_report(1, &start.task, start.attempt, kind);
        self.report(id, Vec::new(), vec![end]);
    }

    /// Reports a successful end of a start, on a target that runs nothing else.
    pub fn report_numbered_end(&mut self, id: &str, number: u64, start: &StartOrder) {
        let end = end_report(number, &start.task, start.attempt, EndKind::Done);
        self.report(id, Vec::new(), vec![end]);
    }

    /// Reports a target without runs and ends.
    pub fn report_idle(&mut self, id: &str) {
        self.report(id, Vec::new(), Vec::new());
    }

    pub fn report(&mut self, id: &str, running: Vec<RunReport>, ended: Vec<EndReport>) {
        self.now.boot += Duration::from_millis(1);
        let sent = self.now.boot;
        self.now.boot += Duration::from_millis(1);
        let report = TargetReport {
            clock: self.now.boot,
            started_at: Duration::from_secs(1),
            running,
            ended,
        };
        self.scheduler
            .apply_report(&id.into(), sent, 0, &PollAnswer::Seen(report), self.now);
        self.run_planning();
    }

    /// Lets a poll of a target time out.
    pub fn time_out_poll(&mut self, id: &str) {
        let timed_out = PollAnswer::Unanswered("timed out".to_owned());
        let sent = self.now.boot;
        self.scheduler
            .apply_report(&id.into(), sent, 0, &timed_out, self.now);
    }

    /// Lets a start time out.
    pub fn time_out_start(&mut self, id: &HostId, start: &StartOrder) {
        let unanswered = StartAnswer::Unanswered("timed out".to_owned());
        self.scheduler
            .handle_start_answer(id, &start.task, start.attempt, &unanswered, self.now);
    }

    /// Confirms a stop that was sent at the given time.
    pub fn confirm_stop(&mut self, id: &HostId, start: &StartOrder, sent: BootTime) {
        let done = OrderAnswer::Done;
        self.scheduler
            .handle_stop_answer(id, &start.task, start.attempt, sent, &done, self.now);
    }

    pub fn submit(&mut self, job: &str, plan: &JobPlan) {
        let policy = &self.scheduler.policy;
        let terms = policy.queue(QUEUE).map(JobTerms::of_queue);
        let limit = policy.workspace(WORKSPACE);
        let record = JobRecord {
            terms: terms.map(|terms| terms.to_record()),
            workspace_limit: limit.and_then(|space| record_of_limit(space.limit)),
            ..job_record(job, plan, self.now)
        };
        self.stored.push(LogEntry {
            event: Some(Event::Accepted(record.clone())),
        });
        self.scheduler.accept_job(&record, self.now);
        self.scheduler.tick(self.now);
        self.run_planning();
    }

    /// Cancels a job and stores the cancellation.
    pub fn cancel(&mut self, job: &str) {
        self.scheduler.cancel(&job.into(), self.now);
        self.stored.push(LogEntry {
            event: Some(Event::Cancelled(job.to_owned())),
        });
        self.run_planning();
    }

    /// Starts to drain the host of a target.
    pub fn start_draining(&mut self, id: &str) {
        if let Some(target) = self.scheduler.targets.get_mut(id) {
            target.drain = HostDrainState::Draining;
        }
    }

    /// Replaces the log by an equivalent compacted one.
    pub fn compact_log(&mut self) {
        self.stored = self.scheduler.job_table.compacted_entries();
    }

    /// Removes all workspaces from the policy.
    pub fn remove_workspaces(&mut self) {
        self.change_policy(|policy| policy.workspaces.clear());
    }

    /// Removes all queues from the policy.
    pub fn remove_queues(&mut self) {
        self.change_policy(|policy| policy.queues.clear());
    }

    /// Lets the next revision of the policy be in force.
    pub fn change_policy(&mut self, change: impl FnOnce(&mut FleetPolicy)) {
        let mut policy = FleetPolicy::clone(&self.scheduler.policy);
        policy.revision += 1;
        change(&mut policy);
        self.scheduler.set_policy(Arc::new(policy));
        self.run_planning();
    }

    /// Lets a pool run the queue from now on.
    pub fn move_queue(&mut self, pool: &str) {
        self.change_policy(|policy| {
            policy.pools = [POOL, OTHER_POOL].map(pool_policy).to_vec();
            let queues = policy.queues.iter_mut();
            queues.for_each(|queue| queue.pool = pool.into());
        });
    }

    /// Lists a target of a pool and reports it as idle, so that it can receive tasks.
    pub fn add_pool_target(&mut self, id: &str, cpu: u64, pool: &str) {
        let entry = TargetEntry {
            pool: pool.into(),
            ..target(id, cpu)
        };
        self.scheduler.upsert_target(entry, self.now);
        self.run_planning();
        self.report_idle(id);
    }

    /// Sets the limit of the workspace in thousandths of a core; 0 for none.
    pub fn set_workspace_limit(&mut self, cpu: u64) {
        self.scheduler.set_policy(Arc::new(policy_with_limit(cpu)));
    }

    /// Sets the weight of the workspace.
    pub fn set_workspace_weight(&mut self, weight: u32) {
        let mut policy = FleetPolicy::clone(&self.scheduler.policy);
        policy
            .workspaces
            .iter_mut()
            .for_each(|workspace| workspace.weight = weight);
        self.scheduler.set_policy(Arc::new(policy));
    }

    /// Confirms all starts and returns them.
    pub fn confirm_starts(&mut self) -> Vec<(HostId, StartOrder)> {
        let starts = std::mem::take(&mut self.starts);
        for (id, start) in &starts {
            let answer = StartAnswer::Started {
                clock: self.now.boot,
            };
            self.scheduler
                .handle_start_answer(id, &start.task, start.attempt, &answer, self.now);
        }
        self.run_planning();
        starts
    }

    pub fn stop_count(&self) -> usize {
        let stop = |action: &&SchedulerAction| matches!(action, SchedulerAction::Stop(..));
        self.other_actions.iter().filter(stop).count()
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

/// Start time of the incarnation of [`restarted_target`].
pub const RESTARTED_AT: Duration = Duration::from_secs(500);

/// The entry of a later incarnation of `t1`, under the same id.
pub fn restarted_target(cpu: u64) -> TargetEntry {
    TargetEntry {
        started_at: RESTARTED_AT,
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

/// Two long-running tasks with anti-affinity, of which one may be unavailable.
pub fn long_running_pair() -> StepPlan {
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

/// The record of a job that is submitted now.
pub fn job_record(job: &str, plan: &JobPlan, now: SchedulerTime) -> JobRecord {
    JobRecord {
        job: job.to_owned(),
        queue: QUEUE.to_owned(),
        pool: POOL.to_owned(),
        workspace: WORKSPACE.to_owned(),
        accepted_unix_ms: u64::try_from(now.unix.as_millis()).unwrap_or_default(),
        ..record_of_plan(plan)
    }
}

pub fn run_report(start: &StartOrder) -> RunReport {
    RunReport {
        task: start.task.clone(),
        attempt: start.attempt,
        percent: 10,
        ..RunReport::default()
    }
}

pub fn end_report(number: u64, task: &TaskKey, attempt: u64, kind: EndKind) -> EndReport {
    EndReport {
        number,
        task: task.clone(),
        attempt,
        kind,
        checkpoint: Default::default(),
    }
}

fn policy() -> FleetPolicy {
    policy_with_limit(8000)
}

fn pool_policy(pool: &str) -> PoolPolicy {
    PoolPolicy {
        name: pool.into(),
        ..PoolPolicy::default()
    }
}

/// Policy of one pool, one queue and one workspace with a limit in thousandths of a core.
pub fn policy_with_limit(cpu: u64) -> FleetPolicy {
    FleetPolicy {
        revision: 1,
        queues: vec![QueuePolicy {
            name: QUEUE.into(),
            pool: POOL.into(),
            max_attempts: 2,
            slack_factor: 2.0,
            ..QueuePolicy::default()
        }],
        pools: vec![pool_policy(POOL)],
        workspaces: vec![WorkspacePolicy {
            name: WORKSPACE.into(),
            limit: ResourceVector {
                cpu,
                ..ResourceVector::default()
            },
            ..WorkspacePolicy::default()
        }],
        max_body: 1 << 20,
    }
}
