//! Workspaces that compete for a fleet which is too small for all of them.

mod harness;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use decide::work::{SchedulerTuning, WorkPhase, WorkScheduler, record_of_plan};
use harness::{FleetFixture, QUEUE, WORKSPACE, plan, step};
use model::work::{FleetPolicy, JobPlan, SharingModes, WorkspacePolicy};
use wire::work::JobRecord;

/// Run time of each task.
const RUN: Duration = Duration::from_secs(1);
/// Time between two steps of a test.
const STEP: Duration = Duration::from_millis(100);
/// Hosts of the fleet, each for four tasks at once.
const HOSTS: usize = 12;
const HOST_CPU: u64 = 4000;
/// Weight of each workspace, above what any of them sends: only fairness decides.
const WEIGHT: u32 = 10_000;

/// A fleet that callers of two queues compete for.
struct Competition {
    fleet: FleetFixture,
    submitted: usize,
    /// Accepted and refused jobs of each workspace.
    answers: BTreeMap<String, (usize, usize)>,
}

impl Competition {
    fn new(sharing: SharingModes) -> Self {
        let mut fleet = FleetFixture::new(HOSTS, 0, HOST_CPU);
        fleet.run_time = Some(RUN);
        let tuning = SchedulerTuning {
            sharing,
            ..SchedulerTuning::default()
        };
        let policy = policy(&fleet.fixture.scheduler.policy);
        fleet.fixture.scheduler = WorkScheduler::new(tuning, 1);
        fleet.fixture.scheduler.set_policy(Arc::new(policy));
        fleet.start_targets();
        let mut competition = Self {
            fleet,
            submitted: 0,
            answers: BTreeMap::new(),
        };
        competition.pass(10);
        competition
    }

    /// Submits a job of one task; returns by how much it would be late if it is refused.
    fn submit(&mut self, queue: &str, workspace: &str) -> Option<Duration> {
        self.submitted += 1;
        let job = format!("{workspace}-{}", self.submitted);
        self.submit_again(&job, queue, workspace)
    }

    fn submit_again(&mut self, job: &str, queue: &str, workspace: &str) -> Option<Duration> {
        let plan = job_plan();
        let fixture = &mut self.fleet.fixture;
        let now = fixture.now;
        let (id, space) = (job.into(), workspace.into());
        let scheduler = &mut fixture.scheduler;
        let excess = scheduler.predict_lateness(&id, &plan, queue, &space, now);
        let answers = self.answers.entry(workspace.to_owned()).or_default();
        if excess.is_some() {
            answers.1 += 1;
            return excess;
        }
        answers.0 += 1;
        let pool = scheduler
            .policy
            .queue(queue)
            .map(|queue| queue.pool.to_string());
        let record = JobRecord {
            job: job.to_owned(),
            queue: queue.to_owned(),
            pool: pool.unwrap_or_default(),
            workspace: workspace.to_owned(),
            accepted_unix_ms: u64::try_from(now.unix.as_millis()).unwrap_or_default(),
            ..record_of_plan(&plan)
        };
        scheduler.accept_job(&record, now);
        let work = plan.core_seconds();
        let meter = &mut self.fleet.planner.meter;
        meter.record_arrival(&record.pool.as_str().into(), work, now.boot);
        None
    }

    fn pass(&mut self, steps: usize) {
        for _ in 0..steps {
            self.fleet.advance(STEP);
        }
    }

    /// Completed jobs of a workspace within a time of their submission.
    fn completed_within(&self, workspace: &str, limit: Duration) -> usize {
        let jobs = self.fleet.fixture.scheduler.job_table.jobs.values();
        let is_timely = |job: &&decide::work::WorkJob| {
            job.workspace == workspace
                && job.phase == WorkPhase::Completed
                && job.ended <= job.arrived + limit
        };
        jobs.filter(is_timely).count()
    }
}

fn policy(before: &FleetPolicy) -> FleetPolicy {
    let mut policy = before.clone();
    policy.revision += 1;
    policy.queues[0].slack_time = Duration::from_secs(1);
    let mut spaces = vec![WORKSPACE.to_owned()];
    spaces.extend((0..19).map(|number| format!("small{number}")));
    let space = |name: String| WorkspacePolicy {
        name: name.as_str().into(),
        weight: WEIGHT,
        ..WorkspacePolicy::default()
    };
    policy.workspaces = spaces.into_iter().map(space).collect();
    policy
}

fn job_plan() -> JobPlan {
    plan(vec![step(1, 1000)])
}

/// One workspace sends twenty times the load of nineteen others together and fills the pool. It must
/// delay itself only: nearly all jobs of the others are accepted and on time.
#[test]
fn compete_large_workspace_delays_itself() {
    let mut competition = Competition::new(SharingModes::ALL);
    for second in 0..10 {
        for tenth in 0..10 {
            for _ in 0..24 {
                competition.submit(QUEUE, WORKSPACE);
            }
            let small = format!("small{}", (second * 10 + tenth) % 19);
            competition.submit(QUEUE, &small);
            competition.pass(1);
        }
    }
    competition.pass(100);
    let (mut accepted, mut timely) = (0, 0);
    for number in 0..19 {
        let name = format!("small{number}");
        accepted += competition.answers[&name].0;
        timely += competition.completed_within(&name, Duration::from_secs(3));
    }
    assert!(accepted >= 95, "{accepted} of 100 accepted");
    assert!(timely >= 95, "{timely} of 100 on time");
    let large = competition.answers[WORKSPACE];
    assert!(
        large.1 > large.0,
        "the large workspace is refused: {large:?}"
    );
}

/// A burst of many times what the pool can run arrives within a second, before any rate of starts is
/// known. What can't be started in time is refused at once.
#[test]
fn compete_burst_is_refused_from_the_first_second() {
    let mut competition = Competition::new(SharingModes::ALL);
    for _ in 0..2000 {
        competition.submit(QUEUE, WORKSPACE);
    }
    // The pool runs 48 tasks of one second at once; a job counts if it ends within nine seconds.
    let (accepted, _) = competition.answers[WORKSPACE];
    assert!((48..=48 * 9).contains(&accepted), "{accepted} accepted");
    competition.pass(100);
    let timely = competition.completed_within(WORKSPACE, Duration::from_secs(9));
    assert!(timely * 10 >= accepted * 9, "{timely} of {accepted} count");
}

/// Guards against refusing a job while targets of its pool are idle.
#[test]
fn compete_idle_pool_refuses_nothing() {
    let mut competition = Competition::new(SharingModes::ALL);
    for _ in 0..100 {
        assert_eq!(competition.submit(QUEUE, WORKSPACE), None);
        competition.pass(1);
    }
}

/// Guards against accepting a job that was refused before and comes back too late to count, at the
/// cost of jobs that still can.
#[test]
fn compete_returning_job_is_measured_from_first_try() {
    let mut competition = Competition::new(SharingModes::ALL);
    while competition.submit(QUEUE, WORKSPACE).is_none() {}
    let refused = format!("{WORKSPACE}-{}", competition.submitted);
    for _ in 0..100 {
        competition.submit(QUEUE, WORKSPACE);
        competition.pass(1);
    }
    while competition.submit(QUEUE, WORKSPACE).is_none() {}
    competition.pass(3);
    assert_eq!(competition.submit(QUEUE, WORKSPACE), None);
    assert!(
        competition
            .submit_again(&refused, QUEUE, WORKSPACE)
            .is_some()
    );
}
