//! The spare pool fills pools that lost hosts, and a shrinking fleet keeps its pools at their
//! budgets.

use std::{collections::BTreeMap, time::Duration};

use decide::{
    budget::{FleetMap, HostFacts, HostPhase, HostState, OutCause},
    wave::{FleetLimits, HealthStatus, HostObservation, RoundInput, RoundPlan},
};
use model::{HostId, HostRole, Manifest, PoolId, PoolSpec};

struct Fleet {
    manifest: Manifest,
    map: FleetMap,
    now: Duration,
    dead: Vec<HostId>,
}

impl Fleet {
    /// Two pools of eight and a spare pool of four.
    fn new() -> Self {
        let mut manifest = Manifest::default();
        let mut map = FleetMap::default();
        let now = Duration::from_secs(1_000_000);
        for (pool, size, budget, spare) in [
            ("coding", 8, 7, false),
            ("weights", 8, 7, false),
            ("spare", 4, 0, true),
        ] {
            let spec = PoolSpec {
                role: HostRole::Worker,
                size,
                budget,
                spare,
                ..PoolSpec::default()
            };
            manifest.pools.insert(pool.into(), spec);
            for index in 0..size {
                let facts = HostFacts {
                    role: HostRole::Worker,
                    rack: format!("{pool}-r{}", index / 4).into(),
                    ..HostFacts::default()
                };
                let mut state = HostState::joining(pool.into(), facts, now);
                state.phase = HostPhase::Serving;
                state.cause = OutCause::Unspecified;
                map.hosts.insert(format!("{pool}-{index}").into(), state);
            }
        }
        Self {
            manifest,
            map,
            now,
            dead: Vec::new(),
        }
    }

    fn run(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.now += Duration::from_secs(1);
            let observations = self.observations();
            let plan = RoundPlan::plan(&RoundInput {
                now: self.now,
                map: &self.map,
                manifest: &self.manifest,
                observations: &observations,
                list_fresh: true,
                limits: &FleetLimits::default(),
            });
            self.map = self.map.with_change(&plan.change);
        }
    }

    fn observations(&self) -> BTreeMap<HostId, HostObservation> {
        let observation = |host: &HostId, state: &HostState| HostObservation {
            facts: (!self.dead.contains(host)).then(|| state.facts.clone()),
            missing_for: Duration::from_secs(if self.dead.contains(host) { 60 } else { 0 }),
            health: HealthStatus::Answering {
                draining: state.phase == HostPhase::Draining,
                running: 0,
            },
            probed_in: state.phase_entry(),
            ..HostObservation::default()
        };
        let hosts = self.map.hosts.iter();
        hosts
            .map(|(host, state)| (host.clone(), observation(host, state)))
            .collect()
    }

    fn serving(&self, pool: &str) -> usize {
        let pool: PoolId = pool.into();
        let hosts = self.map.pool_hosts(&pool);
        hosts.filter(|(_, state)| state.in_service()).count()
    }
}

#[test]
fn reassign_spares_replaces_lost_host() {
    // A worker dies. Its pool is then at its budget, and the next loss would violate it. The spare
    // pool must replace the worker within seconds.
    let mut fleet = Fleet::new();
    fleet.dead.push("coding-3".into());
    fleet.run(10);
    assert_eq!(fleet.serving("coding"), 8);
    assert_eq!(fleet.serving("spare"), 3);
}

#[test]
fn reassign_spares_moves_returned_host_on() {
    let mut fleet = Fleet::new();
    fleet.dead.push("coding-3".into());
    fleet.run(10);
    fleet.dead.clear();
    fleet.run(10);
    assert_eq!(fleet.serving("coding"), 9, "it stays until it is needed");
    let spare: PoolId = "spare".into();
    let spares = fleet.map.pool_hosts(&spare).map(|(host, _)| host.clone());
    fleet.dead = spares.collect();
    fleet.dead.push("weights-0".into());
    fleet.run(10);
    assert_eq!(fleet.serving("weights"), 8);
}

#[test]
fn reassign_spares_keeps_budgets_of_shrinking_fleet() {
    // A fifth of the workers retires for good. The spare pool gives all its hosts, pools keep their
    // budgets, and no pool gives hosts below its own size.
    let mut fleet = Fleet::new();
    let lost = ["coding-0", "coding-1", "weights-0", "weights-1"];
    fleet.dead = lost.map(HostId::from).to_vec();
    fleet.run(20);
    assert_eq!(fleet.serving("coding"), 8);
    assert_eq!(fleet.serving("weights"), 8);
    assert_eq!(fleet.serving("spare"), 0);
    fleet.dead.push("coding-2".into());
    fleet.run(20);
    assert_eq!(
        fleet.serving("coding"),
        7,
        "at its budget, nothing left to lend"
    );
    assert_eq!(fleet.serving("weights"), 8);
}
