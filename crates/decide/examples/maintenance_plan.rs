//! Prints rollout time against its lower bound, and the slack of the plan at target size.
//!
//! The planner's own rounds run over a model in which hosts drain and reboot in fixed
//! times; there is no network and no clock. Run it with
//! `cargo run --release -p decide --example maintenance_plan`.

use std::{collections::BTreeMap, time::Duration};

use decide::{
    budget::{FleetMap, HostFacts, HostPhase, HostState, PoolLedger},
    wave::{FleetLimits, HealthStatus, HostObservation, RoundInput, RoundPlan},
};
use model::{HostId, HostRole, Manifest, PoolId, PoolSpec, WindowSpec};

const DAY: Duration = Duration::from_secs(24 * 3600);
const STEP: Duration = Duration::from_secs(5);

/// One fleet and how its hosts behave.
struct FleetPlan {
    name: &'static str,
    sizes: Vec<u32>,
    slack: u32,
    at_once: u32,
    drain: Duration,
    reboot: Duration,
    window: Duration,
    every: Duration,
}

fn main() {
    println!("rollout: all hosts due at once, window always open, drain 30 s, reboot 180 s");
    println!("| fleet | hosts | slack | at once | lower bound s | rollout s | ratio |");
    println!("|---|---|---|---|---|---|---|");
    for slack in [1, 2, 3] {
        print_rollout(&FleetPlan::small("5 pools of 8", vec![8; 5], slack));
        print_rollout(&FleetPlan::small("10 pools of 12", vec![12; 10], slack));
    }
    for slack in [1, 2] {
        print_rollout(&FleetPlan::small("target size", target_sizes(), slack));
    }
    println!();
    println!("eight weeks at target size, drain 30 min, reboot 5 min");
    println!(
        "| window a day | reboots | oldest host days | slack days | most out at once | rounds with a write a day |"
    );
    println!("|---|---|---|---|---|---|");
    for hours in [1, 2, 4] {
        let mut plan = FleetPlan::small("target size", target_sizes(), 1);
        plan.at_once = 1;
        plan.drain = Duration::from_secs(1800);
        plan.reboot = Duration::from_secs(300);
        plan.window = Duration::from_secs(hours * 3600);
        plan.every = DAY * 56;
        print_weeks(&plan);
    }
}

/// 1,200 hosts in 313 pools, most of them of four hosts.
fn target_sizes() -> Vec<u32> {
    (0..313)
        .map(|pool| if pool < 261 { 4 } else { 3 })
        .collect()
}

impl FleetPlan {
    fn small(name: &'static str, sizes: Vec<u32>, slack: u32) -> Self {
        Self {
            name,
            sizes,
            slack,
            at_once: 2,
            drain: Duration::from_secs(30),
            reboot: Duration::from_secs(180),
            window: DAY,
            every: Duration::from_secs(1),
        }
    }

    fn spec(&self, size: u32) -> PoolSpec {
        PoolSpec {
            role: HostRole::Worker,
            size,
            budget: size - self.slack,
            window: "nightly".to_owned(),
            ..PoolSpec::default()
        }
    }

    fn manifest(&self) -> Manifest {
        let mut manifest = Manifest::default();
        for (index, size) in self.sizes.iter().enumerate() {
            let pool = format!("p{index:03}").into();
            manifest.pools.insert(pool, self.spec(*size));
        }
        let window = WindowSpec {
            start: Duration::ZERO,
            length: self.window,
            every: self.every,
            at_once: self.at_once,
        };
        manifest.windows.insert("nightly".to_owned(), window);
        manifest
    }

    /// Time that the budgets alone allow, if a pool's next hosts go out at once.
    fn lower_bound(&self) -> Duration {
        let turns = |size: &u32| {
            let out = PoolLedger::max_out(&self.spec(*size), self.at_once);
            size.div_ceil(out.max(1))
        };
        let turns = self.sizes.iter().map(turns).max().unwrap_or_default();
        (self.drain + self.reboot) * turns
    }
}

/// The hosts of a plan, replayed in steps.
struct Replay<'a> {
    plan: &'a FleetPlan,
    manifest: Manifest,
    map: FleetMap,
    limits: FleetLimits,
    now: Duration,
    writes: u32,
    most_out: usize,
}

impl<'a> Replay<'a> {
    fn new(plan: &'a FleetPlan, start: Duration) -> Self {
        let mut map = FleetMap::default();
        let mut index = 0;
        for (pool, size) in plan.sizes.iter().enumerate() {
            for _ in 0..*size {
                let facts = facts_of(index);
                let pool: PoolId = format!("p{pool:03}").into();
                let mut state = HostState::joining(pool, facts, start);
                state.phase = HostPhase::Serving;
                state.cause = Default::default();
                map.hosts.insert(format!("h{index:04}").into(), state);
                index += 1;
            }
        }
        Self {
            plan,
            manifest: plan.manifest(),
            map,
            limits: FleetLimits::default(),
            now: start,
            writes: 0,
            most_out: 0,
        }
    }

    fn round(&mut self) -> bool {
        let observations: BTreeMap<HostId, HostObservation> = self
            .map
            .hosts
            .iter()
            .map(|(host, state)| (host.clone(), self.observation(state)))
            .collect();
        let plan = RoundPlan::plan(&RoundInput {
            now: self.now,
            map: &self.map,
            manifest: &self.manifest,
            observations: &observations,
            list_fresh: true,
            limits: &self.limits,
        });
        if plan.change.is_empty() {
            return false;
        }
        self.writes += 1;
        self.map = self.map.with_change(&plan.change);
        let out = self.map.hosts.values().filter(|state| !state.in_service());
        self.most_out = self.most_out.max(out.count());
        true
    }

    fn observation(&self, state: &HostState) -> HostObservation {
        let stay = self.now - state.since;
        let health = match state.phase {
            HostPhase::Draining => HealthStatus::Answering {
                draining: true,
                running: u32::from(stay < self.plan.drain),
            },
            HostPhase::Rebooting if stay < self.plan.reboot => HealthStatus::Unknown,
            _ => HealthStatus::Answering {
                draining: false,
                running: 1,
            },
        };
        HostObservation {
            facts: Some(state.facts.clone()),
            health,
            probed_in: state.phase_entry(),
            ..HostObservation::default()
        }
    }

    fn all_done(&self) -> bool {
        self.map.hosts.values().all(|state| state.maintenances > 0)
    }
}

fn facts_of(index: u32) -> HostFacts {
    HostFacts {
        role: HostRole::Worker,
        rack: format!("r{}", index / 4).into(),
        data_centre: format!("dc{}", index / 4 % 4).into(),
        ..HostFacts::default()
    }
}

fn print_rollout(plan: &FleetPlan) {
    let start = DAY * 1000;
    let mut replay = Replay::new(plan, start);
    while !replay.all_done() && replay.now < start + DAY {
        replay.now += STEP;
        replay.round();
    }
    let took = replay.now - start;
    let bound = plan.lower_bound();
    println!(
        "| {} | {} | {} | {} | {} | {} | {:.2} |",
        plan.name,
        replay.map.hosts.len(),
        plan.slack,
        plan.at_once,
        bound.as_secs(),
        took.as_secs(),
        took.as_secs_f64() / bound.as_secs_f64()
    );
}

/// Follows the plan until each host had its second turn, looking only into open windows.
fn print_weeks(plan: &FleetPlan) {
    let start = DAY * 1000;
    let mut replay = Replay::new(plan, start);
    let mut oldest = Duration::ZERO;
    let days = 112;
    for day in 0..days {
        replay.now = start + DAY * day;
        let closed = replay.now + plan.window + Duration::from_secs(3600);
        while replay.now < closed {
            let idle = replay.map.hosts.values().all(HostState::in_service);
            if idle && replay.now >= start + DAY * day + plan.window {
                break;
            }
            replay.now += Duration::from_secs(60);
            replay.round();
            let age = |state: &HostState| replay.now - state.maintained;
            let ages = replay.map.hosts.values().map(age);
            oldest = oldest.max(ages.max().unwrap_or_default());
        }
    }
    let reboots: u32 = replay.map.hosts.values().map(|s| s.maintenances).sum();
    let oldest_days = oldest.as_secs_f64() / DAY.as_secs_f64();
    println!(
        "| {} h | {} | {:.1} | {:.1} | {} | {:.0} |",
        plan.window.as_secs() / 3600,
        reboots,
        oldest_days,
        56.0 - oldest_days,
        replay.most_out,
        f64::from(replay.writes) / f64::from(days)
    );
}
