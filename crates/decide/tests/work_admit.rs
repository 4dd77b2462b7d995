//! Rejection of jobs while a pool has more demand than it can start.

mod harness;

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use decide::work::{StartForecast, record_of_plan};
use harness::{
    POOL, QUEUE, SchedulerFixture, WORKSPACE, end_report, plan, policy_with_limit, run_report, step,
};
use model::{
    BootTime, HostId, PoolId,
    work::{EndKind, FleetPolicy, JobPlan, ResourceVector, StartOrder, WorkspacePolicy},
};
use wire::work::JobRecord;

/// A second workspace, beside the one that submits too much.
const OTHER: &str = "other";
/// Time between two steps of a test.
const STEP: Duration = Duration::from_millis(100);
/// Run time of each task.
const RUN: Duration = Duration::from_secs(1);

/// A pool that starts two tasks a second: it runs two at once, for one second each.
struct BusyPool {
    scene: SchedulerFixture,
    running: VecDeque<(BootTime, HostId, StartOrder)>,
    ends: u64,
    submitted: usize,
    begun: usize,
}

impl BusyPool {
    fn new() -> Self {
        let mut scene = SchedulerFixture::new(1);
        let mut policy: FleetPolicy = policy_with_limit(0);
        policy.workspaces.push(WorkspacePolicy {
            name: OTHER.into(),
            limit: ResourceVector::default(),
            ..policy.workspaces[0].clone()
        });
        scene.scheduler.set_policy(Arc::new(policy));
        scene.set_workspace_weight(1);
        scene.add_target("t1", 2000);
        Self {
            scene,
            running: VecDeque::new(),
            ends: 0,
            submitted: 0,
            begun: 0,
        }
    }

    /// Submits a job, unless it is forecast to be late; returns by how much it would be late.
    fn submit(&mut self, workspace: &str) -> Option<Duration> {
        let plan = job();
        let now = self.scene.now;
        let job_id = format!("job{}", self.submitted + 1).into();
        let excess =
            self.scene
                .scheduler
                .predict_lateness(&job_id, &plan, QUEUE, &workspace.into(), now);
        if excess.is_none() {
            self.submitted += 1;
            let record = JobRecord {
                job: format!("job{}", self.submitted),
                queue: QUEUE.to_owned(),
                pool: POOL.to_owned(),
                workspace: workspace.to_owned(),
                accepted_unix_ms: u64::try_from(now.unix.as_millis()).unwrap_or_default(),
                ..record_of_plan(&plan)
            };
            self.scene.scheduler.accept_job(&record, now);
            self.scene.run_planning();
        }
        excess
    }

    fn pass(&mut self) {
        self.scene.advance(STEP);
        let now = self.scene.now.boot;
        while self.running.front().is_some_and(|(end, ..)| *end <= now) {
            let Some((_, id, start)) = self.running.pop_front() else {
                return;
            };
            self.ends += 1;
            let remaining = self.running.iter().map(|(_, _, start)| run_report(start));
            let end = end_report(self.ends, &start.task, start.attempt, EndKind::Done);
            self.scene.report(&id, remaining.collect(), vec![end]);
        }
        for (id, start) in self.scene.confirm_starts() {
            self.begun += 1;
            self.running.push_back((now + RUN, id, start));
        }
    }

    fn waiting(&self) -> usize {
        self.submitted - self.begun
    }
}

fn job() -> JobPlan {
    plan(vec![step(1, 1000)])
}

/// Guards against accepting a backlog that can't be started: the pool receives five times as many
/// jobs as it can start.
#[test]
fn admit_bounds_backlog() {
    let mut pool = BusyPool::new();
    let mut rejected = 0;
    for _ in 0..200 {
        rejected += usize::from(pool.submit(WORKSPACE).is_some());
        pool.pass();
        // The starts of ten seconds, plus the jobs that were accepted before the start rate was
        // known.
        assert!(pool.waiting() <= 30, "{} waiting", pool.waiting());
    }
    assert!(rejected >= 100, "{rejected} rejected");
    for _ in 0..150 {
        pool.pass();
    }
    assert_eq!(pool.waiting(), 0);
}

/// Guards against rejections that last longer than the backlog that caused them.
#[test]
fn admit_again_after_backlog() {
    let mut pool = BusyPool::new();
    let mut excess = None;
    for _ in 0..100 {
        excess = pool.submit(WORKSPACE).or(excess);
        pool.pass();
    }
    let wait = excess.unwrap_or_default();
    assert!(!wait.is_zero());
    let steps = wait.as_millis() / STEP.as_millis() + 1;
    for _ in 0..steps {
        pool.pass();
    }
    assert_eq!(pool.submit(WORKSPACE), None, "after {wait:?}");
}

/// Guards against rejecting the jobs of other workspaces because one workspace submits many times
/// its share.
#[test]
fn admit_keeps_share_of_others() {
    let mut pool = BusyPool::new();
    for number in 0..200 {
        pool.submit(WORKSPACE);
        if number % 20 == 0 {
            assert_eq!(pool.submit(OTHER), None, "at step {number}");
        }
        pool.pass();
    }
}

/// Guards against accepting all jobs of the first second of a new owner with a narrow network link,
/// when the start rate of the pool is not known yet.
#[test]
fn admit_bounds_first_second() {
    let mut pool = BusyPool::new();
    pool.scene.scheduler.set_max_start_rate(20.0);
    let accepted = (0..500)
        .filter(|_| pool.submit(WORKSPACE).is_none())
        .count();
    // The objective allows a wait of five seconds to be on time and of eight seconds to count.
    assert!((100..=180).contains(&accepted), "{accepted} accepted");
}

/// Guards against rejecting jobs that may wait for a long time, or whose queue has no objective.
#[test]
fn admit_jobs_with_long_or_no_objective() {
    for (slack_factor, slack_time) in [(0.0, Duration::ZERO), (2.0, Duration::from_secs(3600))] {
        let mut pool = BusyPool::new();
        let mut policy = FleetPolicy::clone(&pool.scene.scheduler.policy);
        policy.queues[0].slack_factor = slack_factor;
        policy.queues[0].slack_time = slack_time;
        pool.scene.scheduler.set_policy(Arc::new(policy));
        for _ in 0..200 {
            assert_eq!(pool.submit(WORKSPACE), None);
            pool.pass();
        }
    }
}

/// Guards against rejections while the start rate of the pool is unknown.
#[test]
fn expected_wait_unknown_rate_is_zero() {
    let mut forecast = StartForecast::default();
    let pool = PoolId::from(POOL);
    let at = |ms: u64| Duration::from_millis(100_000 + ms);
    forecast.record_start(&pool, at(0));
    forecast.observe_waiting(&BTreeSet::from([pool.clone()]), at(100));
    assert_eq!(forecast.expected_wait(&pool, 1000, at(600)), Duration::ZERO);
    // Hosts that are being moved to the pool start their first tasks after two seconds.
    assert_eq!(
        forecast.expected_wait(&pool, 1000, at(2900)),
        Duration::ZERO
    );
    assert!(forecast.expected_wait(&pool, 1000, at(3200)) > Duration::from_secs(10));
}
