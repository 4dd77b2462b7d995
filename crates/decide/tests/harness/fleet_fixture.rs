use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use decide::work::{AdviceRequest, HostOrder, HostPlanner, SchedulerAction};
use model::{
    BootTime, HostId,
    work::{
        EndKind, EndReport, FleetHost, FleetPolicy, HostCondition, HostOrderAnswer,
        MaintenanceWave, PoolPolicy, ResourceVector, RunReport, StartAnswer, StartOrder,
        TargetEntry, TaskKey,
    },
};

use super::{
    POOL, SchedulerFixture, advice_fixture::TargetFilter, end_report, run_report,
    scheduler_fixture::policy_with_limit, target,
};

/// Name of the standby pool, whose hosts run no targets.
pub const STANDBY: &str = "standby";
/// Interval between two rounds of planning and polling.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a host is down for maintenance or a move.
const HOST_DOWNTIME: Duration = Duration::from_millis(2000);
/// Time from the start of a long-running task until it is ready.
const STARTUP: Duration = Duration::from_millis(500);

/// Simulated hosts that carry out every order of a scheduler and a host planner.
pub struct FleetFixture {
    pub fixture: SchedulerFixture,
    pub planner: HostPlanner,
    pub hosts: Vec<FixtureHost>,
    /// Stops that the scheduler ordered.
    pub stops: usize,
    /// Starts of tasks on the same target on which they were stopped before.
    pub restarts_in_place: usize,
    /// Runs that ended because of an order to their host.
    pub killed_runs: usize,
    /// Highest number of hosts under maintenance at the same time.
    pub max_hosts_down: usize,
    /// Highest number of tasks of one step that were not ready at the same time.
    pub max_tasks_missing: usize,
    /// Longest time from a stop to the next start of the same task.
    pub longest_restart: Duration,
    /// Run time of each task; `None` if tasks run until they are stopped.
    pub run_time: Option<Duration>,
    /// Hosts whose targets are up but answer no poll.
    pub silent_hosts: BTreeSet<usize>,
    /// Policy of the advice service, which answers in the same round.
    pub advice_allows: TargetFilter,
    stopped_tasks: BTreeMap<TaskKey, (HostId, BootTime)>,
}

/// A simulated host with the runs and ends of its target.
pub struct FixtureHost {
    pub fleet: FleetHost,
    pub maintained: usize,
    incarnations: u32,
    back_at: BootTime,
    runs: Vec<(StartOrder, BootTime)>,
    ends: Vec<EndReport>,
}

impl FleetFixture {
    /// Creates a fleet of `serving` hosts in the pool and `off` standby hosts, each with `cpu`
    /// thousandths of a core.
    pub fn new(serving: usize, off: usize, cpu: u64) -> Self {
        let mut fixture = SchedulerFixture::new(1);
        let mut policy: FleetPolicy = policy_with_limit(1_000_000);
        policy.pools.push(PoolPolicy {
            name: STANDBY.into(),
            standby: true,
        });
        fixture.scheduler.set_policy(Arc::new(policy));
        let mut fleet = Self {
            fixture,
            planner: HostPlanner::default(),
            hosts: Vec::new(),
            stops: 0,
            restarts_in_place: 0,
            killed_runs: 0,
            max_hosts_down: 0,
            max_tasks_missing: 0,
            longest_restart: Duration::ZERO,
            run_time: None,
            silent_hosts: BTreeSet::new(),
            advice_allows: Box::new(|_, _| true),
            stopped_tasks: BTreeMap::new(),
        };
        for number in 0..serving + off {
            let pool = if number < serving { POOL } else { STANDBY };
            fleet.hosts.push(FixtureHost {
                fleet: FleetHost {
                    host: format!("h{number}").into(),
                    pool: pool.into(),
                    condition: HostCondition::Up,
                    labels: vec!["kind".into(), "rack".into()],
                    capacity: ResourceVector {
                        cpu,
                        memory_mb: 10_000,
                        gpu: 0,
                    },
                    data_centre: Default::default(),
                    target: HostId::default(),
                },
                maintained: 0,
                incarnations: 0,
                back_at: BootTime::ZERO,
                runs: Vec::new(),
                ends: Vec::new(),
            });
        }
        fleet
    }

    /// Adds a label to a host.
    pub fn add_label(&mut self, number: usize, label: &str) {
        self.hosts[number].fleet.labels.push(label.into());
    }

    /// Starts a target on each host outside the standby pool.
    pub fn start_targets(&mut self) {
        for number in 0..self.hosts.len() {
            self.start_target(number);
        }
    }

    /// Requests a maintenance wave over the given hosts.
    pub fn request_maintenance(
        &mut self,
        hosts: std::ops::Range<usize>,
        max_down: u32,
        deadline: Duration,
    ) {
        let wave = MaintenanceWave {
            wave: 1,
            hosts: hosts
                .map(|number| self.hosts[number].fleet.host.clone())
                .collect(),
            deadline,
            max_down,
        };
        let now = self.fixture.now.boot;
        self.planner.apply_host_list(self.host_list(), now);
        self.planner.apply_waves(&[wave], &BTreeSet::new(), now);
    }

    /// Runs rounds for the given time.
    pub fn advance(&mut self, time: Duration) {
        let end = self.fixture.now.boot + time;
        while self.fixture.now.boot < end {
            self.run_round();
        }
    }

    /// Runs rounds until the wave is done. Returns the time that took, or `limit` if the wave is
    /// not done by then.
    pub fn run_until_done(&mut self, limit: Duration) -> Duration {
        let begin = self.fixture.now.boot;
        while self.fixture.now.boot < begin + limit {
            self.run_round();
            if self.planner.changed_waves() == [(1, true)] {
                break;
            }
        }
        (self.fixture.now.boot - begin).min(limit)
    }

    fn run_round(&mut self) {
        self.fixture.advance(ROUND_INTERVAL);
        let now = self.fixture.now.boot;
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            if host.fleet.condition != HostCondition::Up && now >= host.back_at {
                host.fleet.condition = HostCondition::Up;
                self.start_target(number);
            }
        }
        self.execute_actions();
        self.poll_targets();
        self.execute_actions();
        self.record_missing_tasks();
        let now = self.fixture.now.boot;
        self.planner.apply_host_list(self.host_list(), now);
        for order in self.planner.plan(&mut self.fixture.scheduler, now) {
            self.execute_host_order(&order);
        }
        let down = |host: &&FixtureHost| host.fleet.condition == HostCondition::UnderMaintenance;
        self.max_hosts_down = self
            .max_hosts_down
            .max(self.hosts.iter().filter(down).count());
        self.execute_actions();
    }

    fn host_list(&self) -> Vec<FleetHost> {
        self.hosts.iter().map(|host| host.fleet.clone()).collect()
    }

    /// Starts a new incarnation of a host's target, unless the host is on standby.
    fn start_target(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.fleet.target = HostId::default();
        host.ends.clear();
        if host.fleet.pool == STANDBY {
            return;
        }
        host.incarnations += 1;
        let target_id = format!("{}-{}", host.fleet.host, host.incarnations);
        host.fleet.target = target_id.as_str().into();
        let entry = TargetEntry {
            pool: host.fleet.pool.clone(),
            labels: host.fleet.labels.clone(),
            ..target(&target_id, host.fleet.capacity.cpu)
        };
        self.fixture
            .scheduler
            .upsert_target(entry, self.fixture.now);
        self.fixture.run_planning();
        self.fixture.report_idle(&target_id);
    }

    /// Carries out the scheduler's orders to targets.
    fn execute_actions(&mut self) {
        let now = self.fixture.now;
        for (id, start) in std::mem::take(&mut self.fixture.starts) {
            if let Some((last_target, stopped_at)) = self.stopped_tasks.remove(&start.task) {
                self.restarts_in_place += usize::from(last_target == id);
                self.longest_restart = self.longest_restart.max(now.boot - stopped_at);
            }
            let Some(host) = host_of_target(&mut self.hosts, &id) else {
                continue;
            };
            host.runs.push((start.clone(), now.boot));
            let answer = StartAnswer::Started { clock: now.boot };
            let scheduler = &mut self.fixture.scheduler;
            scheduler.handle_start_answer(&id, &start.task, start.attempt, &answer, now);
        }
        for order in std::mem::take(&mut self.fixture.other_actions) {
            let (id, stop) = match order {
                SchedulerAction::Stop(id, stop) => (id, stop),
                SchedulerAction::RequestAdvice(request) => {
                    self.answer_advice(&request);
                    continue;
                }
                _ => continue,
            };
            self.stops += 1;
            let Some(host) = host_of_target(&mut self.hosts, &id) else {
                continue;
            };
            host.runs.retain(|(start, _)| start.task != stop.task);
            let number = host.ends.len() as u64 + 1;
            let end = end_report(number, &stop.task, stop.attempt, EndKind::Stopped);
            host.ends.push(end);
            self.stopped_tasks.insert(stop.task.clone(), (id, now.boot));
        }
    }

    fn answer_advice(&mut self, request: &AdviceRequest) {
        let targets = request.targets.iter();
        let granted = targets.filter(|target| (self.advice_allows)(&request.step, target));
        let tickets = granted.map(|target| (target.clone(), "ticket".into()));
        let (tickets, now) = (tickets.collect(), self.fixture.now);
        let scheduler = &mut self.fixture.scheduler;
        scheduler.handle_advice(&request.step, Some(tickets), now);
    }

    fn poll_targets(&mut self) {
        for number in 0..self.hosts.len() {
            let now = self.fixture.now.boot;
            self.end_tasks(number);
            let host = &self.hosts[number];
            if host.fleet.target.is_empty() || self.silent_hosts.contains(&number) {
                continue;
            }
            let report = |(start, started): &(StartOrder, BootTime)| RunReport {
                percent: if now >= *started + STARTUP { 100 } else { 0 },
                ..run_report(start)
            };
            let runs = host.runs.iter().map(report).collect();
            let (target_id, ends) = (host.fleet.target.clone(), host.ends.clone());
            self.fixture.report(&target_id, runs, ends);
        }
    }

    /// Ends the tasks of a host that have run for their run time.
    fn end_tasks(&mut self, number: usize) {
        let Some(run_time) = self.run_time else {
            return;
        };
        let now = self.fixture.now.boot;
        let host = &mut self.hosts[number];
        let runs = std::mem::take(&mut host.runs);
        for (start, started) in runs {
            if now < started + run_time {
                host.runs.push((start, started));
                continue;
            }
            let number = host.ends.len() as u64 + 1;
            let end = end_report(number, &start.task, start.attempt, EndKind::Done);
            host.ends.push(end);
        }
    }

    /// Returns the number of hosts that are in a pool.
    pub fn hosts_in(&self, pool: &str) -> usize {
        let hosts = self.hosts.iter();
        hosts.filter(|host| host.fleet.pool == pool).count()
    }

    fn record_missing_tasks(&mut self) {
        let now = self.fixture.now.boot;
        let runs = self.hosts.iter().flat_map(|host| &host.runs);
        let ready = runs.filter(|(_, started)| now >= *started + STARTUP);
        let mut present: BTreeMap<_, usize> = BTreeMap::new();
        for (start, _) in ready {
            *present
                .entry((&start.task.job, start.task.step))
                .or_default() += 1;
        }
        for (job, record) in &self.fixture.scheduler.job_table.jobs {
            for (number, step) in (0..).zip(&record.plan.steps) {
                let ready_count = present.get(&(job, number)).copied().unwrap_or_default();
                let missing = (step.count as usize).saturating_sub(ready_count);
                self.max_tasks_missing = self.max_tasks_missing.max(missing);
            }
        }
    }

    fn execute_host_order(&mut self, order: &HostOrder) {
        let now = self.fixture.now;
        let target_id = self.planner.operation_target(order.host());
        assert!(
            self.planner
                .apply_answer(order, &HostOrderAnswer::Done, now.boot)
        );
        let named = |host: &&mut FixtureHost| host.fleet.host == *order.host();
        let Some(host) = self.hosts.iter_mut().find(named) else {
            return;
        };
        self.killed_runs += host.runs.len();
        host.runs.clear();
        host.back_at = now.boot + HOST_DOWNTIME;
        host.fleet.target = HostId::default();
        match order {
            HostOrder::Move(_, pool) => {
                host.fleet.pool = pool.clone();
                host.fleet.condition = HostCondition::Moving;
            }
            HostOrder::Maintain(..) => {
                host.fleet.condition = HostCondition::UnderMaintenance;
                host.maintained += 1;
            }
        }
        if let Some(target_id) = target_id {
            self.fixture
                .scheduler
                .end_target_after_host_order(&target_id, now);
            self.fixture.scheduler.mark_target_unlisted(&target_id);
        }
        self.fixture.run_planning();
    }
}

fn host_of_target<'a>(hosts: &'a mut [FixtureHost], id: &HostId) -> Option<&'a mut FixtureHost> {
    hosts.iter_mut().find(|host| host.fleet.target == *id)
}
