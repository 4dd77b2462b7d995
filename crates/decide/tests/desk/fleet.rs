use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use decide::work::{HostOrder, HostPlanner, SchedulerAction};
use model::{
    BootTime, HostId,
    work::{
        EndKind, EndReport, FleetHost, FleetPolicy, HostCondition, HostOrderAnswer,
        MaintenanceWave, PoolPolicy, ResourceVector, RunReport, StartAnswer, StartOrder,
        TargetEntry, TaskKey,
    },
};

use super::{DeskScene, POOL, ended, running, scene::terms_with_limit, target};

/// Name of the pool of hosts that are switched off.
pub const STANDBY: &str = "standby";
/// Pause between two rounds of plans and looks.
const ROUND: Duration = Duration::from_millis(100);
/// Time that a host is away for its maintenance or a move.
const AWAY: Duration = Duration::from_millis(2000);
/// Time from the start of a task that lasts until it is at work.
const STARTUP: Duration = Duration::from_millis(500);

/// Hosts that do what they are told, beside a desk and a planner.
pub struct FleetScene {
    pub scene: DeskScene,
    pub planner: HostPlanner,
    pub hosts: Vec<SceneHost>,
    /// Stops that the desk ordered.
    pub stops: usize,
    /// Starts of tasks on the target that they had just been taken from.
    pub returns: usize,
    /// Runs that an order to a host ended.
    pub killed: usize,
    /// The most hosts that were away for maintenance at once.
    pub most_down: usize,
    /// The most tasks of one step that were not at work at once.
    pub most_missing: usize,
    /// The longest time from a stop to the next start of the same task.
    pub longest_away: Duration,
    left: BTreeMap<TaskKey, (HostId, BootTime)>,
}

/// A host and what runs on it.
pub struct SceneHost {
    pub fleet: FleetHost,
    pub maintained: usize,
    lives: u32,
    back: BootTime,
    runs: Vec<(StartOrder, BootTime)>,
    ends: Vec<EndReport>,
}

impl FleetScene {
    /// A fleet of so many hosts in service and so many that are switched off.
    pub fn new(serving: usize, off: usize, cpu: u64) -> Self {
        let mut scene = DeskScene::new(1);
        let mut terms: FleetPolicy = terms_with_limit(1_000_000);
        terms.pools.push(PoolPolicy {
            name: STANDBY.into(),
            standby: true,
        });
        scene.desk.set_policy(Arc::new(terms));
        let mut fleet = Self {
            scene,
            planner: HostPlanner::default(),
            hosts: Vec::new(),
            stops: 0,
            returns: 0,
            killed: 0,
            most_down: 0,
            most_missing: 0,
            longest_away: Duration::ZERO,
            left: BTreeMap::new(),
        };
        for number in 0..serving + off {
            let pool = if number < serving { POOL } else { STANDBY };
            fleet.hosts.push(SceneHost {
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
                    target: HostId::default(),
                },
                maintained: 0,
                lives: 0,
                back: BootTime::ZERO,
                runs: Vec::new(),
                ends: Vec::new(),
            });
        }
        fleet
    }

    /// Gives a host a label more.
    pub fn label(&mut self, number: usize, label: &str) {
        self.hosts[number].fleet.labels.push(label.into());
    }

    /// Brings the hosts into service.
    pub fn open(&mut self) {
        for number in 0..self.hosts.len() {
            self.enter(number);
        }
    }

    /// Asks for the maintenance of the hosts named.
    pub fn ask(&mut self, hosts: std::ops::Range<usize>, max_down: u32, deadline: Duration) {
        let wave = MaintenanceWave {
            wave: 1,
            hosts: hosts
                .map(|number| self.hosts[number].fleet.host.clone())
                .collect(),
            deadline,
            max_down,
        };
        let now = self.scene.now.boot;
        self.planner.apply_host_list(self.list(), now);
        self.planner.apply_waves(&[wave], &BTreeSet::new(), now);
    }

    /// Lets some time pass.
    pub fn pass(&mut self, time: Duration) {
        let end = self.scene.now.boot + time;
        while self.scene.now.boot < end {
            self.round();
        }
    }

    /// Lets time pass until the wave is done; how long that took, `limit` if it is not.
    pub fn until_done(&mut self, limit: Duration) -> Duration {
        let begin = self.scene.now.boot;
        while self.scene.now.boot < begin + limit {
            self.round();
            if self.planner.changed_waves() == [(1, true)] {
                break;
            }
        }
        (self.scene.now.boot - begin).min(limit)
    }

    fn round(&mut self) {
        self.scene.pass(ROUND);
        let now = self.scene.now.boot;
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            if host.fleet.condition != HostCondition::Up && now >= host.back {
                host.fleet.condition = HostCondition::Up;
                self.enter(number);
            }
        }
        self.obey();
        self.look();
        self.obey();
        self.note_missing();
        let now = self.scene.now.boot;
        self.planner.apply_host_list(self.list(), now);
        for order in self.planner.plan(&mut self.scene.desk, now) {
            self.order(&order);
        }
        let down = |host: &&SceneHost| host.fleet.condition == HostCondition::UnderMaintenance;
        self.most_down = self.most_down.max(self.hosts.iter().filter(down).count());
        self.obey();
    }

    fn list(&self) -> Vec<FleetHost> {
        self.hosts.iter().map(|host| host.fleet.clone()).collect()
    }

    /// A host begins another life as a target, if its pool has any.
    fn enter(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.fleet.target = HostId::default();
        host.ends.clear();
        if host.fleet.pool == STANDBY {
            return;
        }
        host.lives += 1;
        let life = format!("{}-{}", host.fleet.host, host.lives);
        host.fleet.target = life.as_str().into();
        let entry = TargetEntry {
            labels: host.fleet.labels.clone(),
            ..target(&life, host.fleet.capacity.cpu)
        };
        self.scene.desk.upsert_target(entry, self.scene.now);
        self.scene.run();
        self.scene.raise(&life);
    }

    /// Carries out what the desk ordered of targets.
    fn obey(&mut self) {
        let now = self.scene.now;
        for (id, start) in std::mem::take(&mut self.scene.starts) {
            if let Some((before, since)) = self.left.remove(&start.task) {
                self.returns += usize::from(before == id);
                self.longest_away = self.longest_away.max(now.boot - since);
            }
            let Some(host) = host_of(&mut self.hosts, &id) else {
                continue;
            };
            host.runs.push((start.clone(), now.boot));
            let answer = StartAnswer::Started { clock: now.boot };
            let desk = &mut self.scene.desk;
            desk.handle_start_answer(&id, &start.task, start.attempt, &answer, now);
        }
        for order in std::mem::take(&mut self.scene.others) {
            let SchedulerAction::Stop(id, stop) = order else {
                continue;
            };
            self.stops += 1;
            let Some(host) = host_of(&mut self.hosts, &id) else {
                continue;
            };
            host.runs.retain(|(start, _)| start.task != stop.task);
            let number = host.ends.len() as u64 + 1;
            let end = ended(number, &stop.task, stop.attempt, EndKind::Stopped);
            host.ends.push(end);
            self.left.insert(stop.task.clone(), (id, now.boot));
        }
    }

    fn look(&mut self) {
        for number in 0..self.hosts.len() {
            let now = self.scene.now.boot;
            let host = &self.hosts[number];
            if host.fleet.target.is_empty() {
                continue;
            }
            let sight = |(start, begun): &(StartOrder, BootTime)| RunReport {
                percent: if now >= *begun + STARTUP { 100 } else { 0 },
                ..running(start)
            };
            let runs = host.runs.iter().map(sight).collect();
            let (life, ends) = (host.fleet.target.clone(), host.ends.clone());
            self.scene.see(&life, runs, ends);
        }
    }

    fn note_missing(&mut self) {
        let now = self.scene.now.boot;
        let runs = self.hosts.iter().flat_map(|host| &host.runs);
        let at_work = runs.filter(|(_, begun)| now >= *begun + STARTUP);
        let mut present: BTreeMap<_, usize> = BTreeMap::new();
        for (start, _) in at_work {
            *present
                .entry((&start.task.job, start.task.step))
                .or_default() += 1;
        }
        for (job, record) in &self.scene.desk.job_table.jobs {
            for (number, step) in (0..).zip(&record.plan.steps) {
                let there = present.get(&(job, number)).copied().unwrap_or_default();
                let missing = (step.count as usize).saturating_sub(there);
                self.most_missing = self.most_missing.max(missing);
            }
        }
    }

    fn order(&mut self, order: &HostOrder) {
        let now = self.scene.now;
        let life = self.planner.operation_target(order.host());
        assert!(
            self.planner
                .apply_answer(order, &HostOrderAnswer::Done, now.boot)
        );
        let named = |host: &&mut SceneHost| host.fleet.host == *order.host();
        let Some(host) = self.hosts.iter_mut().find(named) else {
            return;
        };
        self.killed += host.runs.len();
        host.runs.clear();
        host.back = now.boot + AWAY;
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
        if let Some(life) = life {
            self.scene.desk.end_target_after_host_order(&life, now);
            self.scene.desk.mark_target_unlisted(&life);
        }
        self.scene.run();
    }
}

fn host_of<'a>(hosts: &'a mut [SceneHost], id: &HostId) -> Option<&'a mut SceneHost> {
    hosts.iter_mut().find(|host| host.fleet.target == *id)
}
