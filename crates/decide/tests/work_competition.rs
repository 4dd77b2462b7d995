//! Workspaces and pools that compete for a fleet which is too small for all of them.

mod harness;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use decide::work::{SchedulerTuning, WorkPhase, WorkScheduler, record_of_plan};
use harness::{FleetFixture, POOL, QUEUE, WORKSPACE, plan, step};
use model::work::{FleetPolicy, JobPlan, PoolPolicy, QueuePolicy, SharingModes, WorkspacePolicy};
use rstest::rstest;
use wire::work::JobRecord;

/// A second pool with its queue, beside the one of the fixtures.
const OTHER_POOL: &str = "other-pool";
const OTHER_QUEUE: &str = "other-queue";
/// Run time of each task.
const RUN: Duration = Duration::from_secs(1);
/// Time between two steps of a test.
const STEP: Duration = Duration::from_millis(100);
/// Jobs of the largest burst, forty times what the fleet runs at once.
const MAX_BURST: usize = 2000;
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

    /// Submits jobs until one is refused.
    fn submit_until_refused(&mut self) {
        let refused = (0..MAX_BURST).any(|_| self.submit(QUEUE, WORKSPACE).is_some());
        assert!(refused, "{MAX_BURST} jobs accepted");
    }

    /// Submits more than the fleet can run, from step 30 on to both queues.
    fn submit_burst(&mut self, step: usize) {
        for _ in 0..20 {
            self.submit(QUEUE, WORKSPACE);
            if step >= 30 {
                self.submit(OTHER_QUEUE, "small0");
            }
        }
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
    policy.queues.push(QueuePolicy {
        name: OTHER_QUEUE.into(),
        pool: OTHER_POOL.into(),
        ..policy.queues[0].clone()
    });
    policy.pools.push(PoolPolicy {
        name: OTHER_POOL.into(),
        standby: false,
    });
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
    for _ in 0..MAX_BURST {
        competition.submit(QUEUE, WORKSPACE);
    }
    // The pool runs 48 tasks of one second at once; a job counts if it ends within nine seconds.
    let (accepted, _) = competition.answers[WORKSPACE];
    assert!((48..=48 * 9).contains(&accepted), "{accepted} accepted");
    competition.pass(100);
    let timely = competition.completed_within(WORKSPACE, Duration::from_secs(9));
    assert!(timely * 10 >= accepted * 9, "{timely} of {accepted} count");
}

/// Guards against a backlog that grows without bound because tasks take ten times as long as their
/// callers estimate: by the estimates there is always room.
#[test]
fn compete_short_estimates_bound_backlog() {
    let mut competition = Competition::new(SharingModes::ALL);
    competition.fleet.run_time = Some(10 * RUN);
    for _ in 0..600 {
        for _ in 0..2 {
            competition.submit(QUEUE, WORKSPACE);
        }
        competition.pass(1);
    }
    let open = competition.fleet.fixture.scheduler.job_table.open.len();
    assert!(open <= 48 * 9, "{open} open");
}

/// Guards against accepting jobs for a pool that has lost all of its hosts.
#[test]
fn compete_pool_without_hosts_refuses_backlog() {
    let mut competition = Competition::new(SharingModes::ALL);
    competition.fleet.hosts.clear();
    competition.pass(1);
    competition.submit_until_refused();
    let (accepted, _) = competition.answers[WORKSPACE];
    assert!(accepted <= 48 * 9, "{accepted} accepted");
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
    competition.submit_until_refused();
    let refused = format!("{WORKSPACE}-{}", competition.submitted);
    for _ in 0..100 {
        competition.submit(QUEUE, WORKSPACE);
        competition.pass(1);
    }
    competition.submit_until_refused();
    competition.pass(3);
    assert_eq!(competition.submit(QUEUE, WORKSPACE), None);
    assert!(
        competition
            .submit_again(&refused, QUEUE, WORKSPACE)
            .is_some()
    );
}

/// A second pool gets a burst while the first one holds the whole fleet for a backlog: busy hosts are
/// vacated and handed over, and no task is ended by that. With the division off the hosts stay.
#[rstest]
#[case::on(SharingModes::ALL, 4..=10)]
// Two hosts are the least that a pool is given while hosts are idle.
#[case::off(SharingModes { fair_division: false, ..SharingModes::ALL }, 0..=2)]
fn divide_moves_busy_hosts(
    #[case] sharing: SharingModes,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut competition = Competition::new(sharing);
    let mut most = 0;
    for step in 0..120 {
        competition.submit_burst(step);
        competition.pass(1);
        most = most.max(competition.fleet.hosts_in(OTHER_POOL));
    }
    assert!(expected.contains(&most), "{most} hosts moved");
    assert_eq!(competition.fleet.killed_runs, 0);
}

/// A burst of the second pool is over before its hosts are empty: they go back to work where they
/// are, and are not lost to their pool.
#[test]
fn divide_short_burst_leaves_hosts() {
    let mut competition = Competition::new(SharingModes::ALL);
    competition.fleet.run_time = Some(Duration::from_secs(4));
    for step in 0..60 {
        for _ in 0..10 {
            competition.submit(QUEUE, WORKSPACE);
        }
        if (30..32).contains(&step) {
            for _ in 0..10 {
                competition.submit(OTHER_QUEUE, "small0");
            }
        }
        competition.pass(1);
    }
    competition.pass(100);
    assert_eq!(competition.fleet.killed_runs, 0);
    let in_pool = competition.fleet.hosts_in(POOL);
    assert!(in_pool >= HOSTS / 2, "{in_pool} hosts left");
}

/// A target stops answering while its host is vacated. Its host must not be ordered, since tasks may
/// run there, and the others are still handed over.
#[test]
fn divide_silent_target_is_not_moved() {
    let mut competition = Competition::new(SharingModes::ALL);
    let mut silent = Vec::new();
    for step in 0..100 {
        competition.submit_burst(step);
        if step == 31 {
            let hosts = competition.fleet.hosts.iter().enumerate();
            let in_pool = hosts.filter(|(_, host)| host.fleet.pool == POOL);
            silent = in_pool.map(|(number, _)| number).take(3).collect();
            competition.fleet.silent_hosts.extend(&silent);
        }
        competition.pass(1);
    }
    let hosts = &competition.fleet.hosts;
    assert_eq!(silent.len(), 3);
    assert!(
        silent
            .iter()
            .all(|&number| hosts[number].fleet.pool == POOL)
    );
    assert!(competition.fleet.hosts_in(OTHER_POOL) > 2);
    assert_eq!(competition.fleet.killed_runs, 0);
}

/// The state of the host planner is lost while hosts are vacated, as at a change of the owner: hosts are
/// handed over all the same, and none with tasks on it. The scheduler is kept.
#[test]
fn divide_lost_planner_continues() {
    let mut competition = Competition::new(SharingModes::ALL);
    for step in 0..140 {
        competition.submit_burst(step);
        if step == 40 {
            competition.fleet.planner = decide::work::HostPlanner::default();
        }
        competition.pass(1);
    }
    let moved = competition.fleet.hosts_in(OTHER_POOL);
    assert!((4..=10).contains(&moved), "{moved} hosts moved");
    assert_eq!(competition.fleet.killed_runs, 0);
}
