use std::{collections::BTreeMap, time::Duration};

use decide::{
    budget::{FleetMap, HostFacts, HostPhase, HostState, MapChange, OutCause},
    wave::{FleetLimits, HealthStatus, HostObservation, PhaseEntry, RoundInput, RoundPlan},
};
use model::{HostId, HostRole, Manifest, PoolId, PoolSpec, WindowSpec};
use rand::{Rng, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(500);
const HEALTH_AGE: Duration = Duration::from_secs(4);

/// A guard that a test disables to verify that the checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardFault {
    /// All guards are enabled.
    None,
    /// The map is written without comparing versions.
    WriteUnguarded,
    /// Lost hosts are counted as in service.
    LossesIgnored,
    /// Stale health counts as current.
    OldHealth,
    /// Hosts reboot as soon as draining begins.
    RebootUndrained,
    /// All hosts count as in one rack.
    OneDomain,
    /// A probe from before a host's current phase counts for that phase.
    HealthOfOtherPhase,
}

#[derive(Clone, Debug)]
pub struct SimulationOptions {
    pub pools: usize,
    pub hosts_per_pool: usize,
    pub budget: u32,
    pub at_once: u32,
    pub every: Duration,
    pub losses_per_hour: f64,
    pub store_outages: bool,
    /// Share of reboots after which a host does not return.
    pub never_returns: f64,
    pub fault: GuardFault,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            pools: 3,
            hosts_per_pool: 8,
            budget: 5,
            at_once: 2,
            every: Duration::from_secs(240),
            losses_per_hour: 120.0,
            store_outages: true,
            never_returns: 0.0,
            fault: GuardFault::None,
        }
    }
}

#[derive(Clone, Debug)]
struct Machine {
    facts: HostFacts,
    draining: bool,
    running: u32,
    down_since: Option<Duration>,
    down_until: Duration,
    reboots: u32,
}

#[derive(Clone, Debug, Default)]
struct PlannerState {
    map: FleetMap,
    probed: BTreeMap<HostId, ProbeRecord>,
    probes_due: Vec<HostId>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProbeRecord {
    at: Duration,
    health: HealthStatus,
    failures: u32,
    phase_entry: PhaseEntry,
}

/// A simulation of hosts, a delayed host list and two planners that are both active.
pub struct FleetSimulation {
    pub now: Duration,
    pub map: FleetMap,
    pub manifest: Manifest,
    pub limits: FleetLimits,
    pub violations: Vec<String>,
    pub planned_outages: u32,
    pub conflicts: u32,
    options: SimulationOptions,
    machines: BTreeMap<HostId, Machine>,
    planners: [PlannerState; 2],
    missing_since: BTreeMap<HostId, Duration>,
    store_down_until: Duration,
    reboots_before: BTreeMap<HostId, u32>,
    random: StdRng,
}

impl FleetSimulation {
    pub fn new(options: SimulationOptions, seed: u64) -> Self {
        let mut manifest = Manifest::default();
        let window = WindowSpec {
            start: Duration::ZERO,
            length: Duration::from_secs(24 * 3600),
            every: options.every,
            at_once: options.at_once,
        };
        manifest.windows.insert("always".to_owned(), window);
        let mut machines = BTreeMap::new();
        for index in 0..options.pools {
            let pool: PoolId = format!("p{index}").into();
            let spec = PoolSpec {
                role: HostRole::Worker,
                size: options.hosts_per_pool as u32,
                budget: options.budget,
                window: "always".to_owned(),
                ..PoolSpec::default()
            };
            manifest.pools.insert(pool, spec);
        }
        for index in 0..options.pools * options.hosts_per_pool {
            let machine = Machine::in_rack(index / 4);
            machines.insert(format!("h{index:03}").into(), machine);
        }
        Self {
            now: Duration::from_secs(1_000_000),
            map: FleetMap::default(),
            manifest,
            limits: FleetLimits::default(),
            violations: Vec::new(),
            planned_outages: 0,
            conflicts: 0,
            options,
            machines,
            planners: Default::default(),
            missing_since: BTreeMap::new(),
            store_down_until: Duration::ZERO,
            reboots_before: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.inject_faults();
            self.advance_machines();
            let order = if self.random.random() { [0, 1] } else { [1, 0] };
            for planner in order {
                // A planner that skips rounds uses an outdated map for a while.
                if self.random.random_bool(0.6) {
                    self.run_planner(planner);
                }
            }
        }
    }

    pub fn reboots(&self) -> Vec<u32> {
        self.machines.values().map(|m| m.reboots).collect()
    }

    pub fn failed_returns(&self) -> usize {
        let hosts = self.map.hosts.values();
        hosts.filter(|state| state.failed_return()).count()
    }

    fn inject_faults(&mut self) {
        let per_step = self.options.losses_per_hour * STEP.as_secs_f64() / 3600.0;
        if self.random.random_bool(per_step.min(1.0)) {
            let index = self.random.random_range(0..self.machines.len());
            let length = Duration::from_secs(self.random.random_range(2..300));
            let now = self.now;
            let machine = self.machines.values_mut().nth(index).expect("in range");
            machine.fail(now, now + length);
        }
        if self.options.store_outages && self.random.random_bool(0.002) {
            let length = Duration::from_secs(self.random.random_range(5..60));
            self.store_down_until = self.now + length;
        }
    }

    fn advance_machines(&mut self) {
        for (host, machine) in &mut self.machines {
            machine.advance(self.now, &mut self.random);
            // The list omits a host that has been down for 10 s or longer.
            let listed = machine
                .down_since
                .is_none_or(|since| self.now < since + Duration::from_secs(10));
            if listed {
                self.missing_since.remove(host);
            } else {
                self.missing_since.entry(host.clone()).or_insert(self.now);
            }
        }
    }

    fn run_planner(&mut self, index: usize) {
        let store_up = self.now >= self.store_down_until;
        let mut planner = std::mem::take(&mut self.planners[index]);
        self.probe_hosts(&mut planner);
        let observations = self.observations(&planner);
        let view_map = self.view_map(&planner.map);
        let manifest = self.view_manifest();
        let plan = RoundPlan::plan(&RoundInput {
            now: self.now,
            map: &view_map,
            manifest: &manifest,
            observations: &observations,
            list_fresh: true,
            limits: &self.limits,
        });
        planner.probes_due = plan.probes;
        if store_up {
            if !plan.change.is_empty() {
                self.commit(&planner.map, &plan.change);
            }
            // Most rounds end with the current map; some writes are seen later.
            if self.random.random_bool(0.7) {
                planner.map = self.map.clone();
            }
        }
        self.planners[index] = planner;
    }

    fn view_map(&self, map: &FleetMap) -> FleetMap {
        let mut map = map.clone();
        for state in map.hosts.values_mut() {
            if self.options.fault == GuardFault::LossesIgnored
                && state.phase == HostPhase::Lost
                && state.cause == OutCause::Loss
            {
                state.phase = HostPhase::Serving;
            }
            if self.options.fault == GuardFault::OneDomain {
                state.facts.rack = "one".into();
            }
        }
        map
    }

    fn view_manifest(&self) -> Manifest {
        self.manifest.clone()
    }

    fn observations(&self, planner: &PlannerState) -> BTreeMap<HostId, HostObservation> {
        let age = match self.options.fault {
            GuardFault::OldHealth => Duration::from_secs(3600),
            _ => HEALTH_AGE,
        };
        let observation = |host: &HostId, machine: &Machine| {
            let missing = self.missing_since.get(host);
            let mut health = planner.health(host, self.now, age);
            if self.options.fault == GuardFault::LossesIgnored {
                health = match health {
                    HealthStatus::Failing | HealthStatus::Unknown => HealthStatus::Answering {
                        draining: false,
                        running: 0,
                    },
                    other => other,
                };
            }
            if self.options.fault == GuardFault::RebootUndrained {
                health = match health {
                    HealthStatus::Answering { draining, .. } => HealthStatus::Answering {
                        draining,
                        running: 0,
                    },
                    other => other,
                };
            }
            let mut facts = machine.facts.clone();
            if self.options.fault == GuardFault::OneDomain {
                facts.rack = "one".into();
            }
            HostObservation {
                facts: missing.is_none().then_some(facts),
                leaving: false,
                missing_for: missing.map_or(Duration::ZERO, |since| self.now - *since),
                health,
                probed_in: planner.probed_in(host, self.options.fault),
            }
        };
        let machines = self.machines.iter();
        machines
            .map(|(host, machine)| (host.clone(), observation(host, machine)))
            .collect()
    }

    /// Probes the hosts that the last plan requested and advances them in their phase.
    fn probe_hosts(&mut self, planner: &mut PlannerState) {
        for host in std::mem::take(&mut planner.probes_due) {
            let Some(machine) = self.machines.get_mut(&host) else {
                continue;
            };
            let Some(state) = planner.map.hosts.get(&host) else {
                continue;
            };
            let probe = planner.probed.entry(host.clone()).or_default();
            if probe.phase_entry != state.phase_entry() {
                *probe = ProbeRecord::default();
            }
            probe.phase_entry = state.phase_entry();
            probe.at = self.now;
            if machine.down_since.is_some() {
                probe.health = HealthStatus::Unknown;
                probe.failures += 1;
                continue;
            }
            probe.failures = 0;
            probe.health = HealthStatus::Answering {
                draining: machine.draining,
                running: machine.running,
            };
            match state.phase {
                HostPhase::Draining => machine.draining = true,
                HostPhase::Checking => machine.draining = false,
                HostPhase::Rebooting if machine.draining => {
                    if machine.running > 0 {
                        self.violations
                            .push(format!("{host} rebooted while it was running tasks"));
                    }
                    let returns = !self.random.random_bool(self.options.never_returns);
                    let length = if returns { 30 } else { 1_000_000 };
                    machine.reboot(self.now, self.now + Duration::from_secs(length));
                }
                _ => {}
            }
        }
    }

    fn commit(&mut self, base: &FleetMap, change: &MapChange) {
        let guarded = self.options.fault != GuardFault::WriteUnguarded;
        if guarded && base.revision != self.map.revision {
            self.conflicts += 1;
            return;
        }
        let change = self.restore_racks(change);
        let before = std::mem::take(&mut self.map);
        let mut after = before.with_change(&change);
        let mut reread = before.clone();
        let head = wire::fleet::FleetRecord {
            revision: after.revision,
            tail: vec![change.to_record(after.revision, "e1", self.now)],
            ..Default::default()
        };
        reread.catch_up(&head).expect("the next revision");
        if reread != after {
            self.violations
                .push("a map differs after a round trip through the store".to_owned());
        }
        std::mem::swap(&mut self.map, &mut after);
        for (host, state) in &change.hosts {
            let was_serving = before.hosts.get(host).is_some_and(HostState::in_service);
            if was_serving && matches!(state.cause, OutCause::Maintenance | OutCause::Move) {
                self.planned_outages += 1;
                self.check_outage(host, &state.pool);
                let reboots = self.machines[host].reboots;
                self.reboots_before.insert(host.clone(), reboots);
            }
            if state.maintained == self.now && before.hosts.contains_key(host) {
                let reboots = self.machines[host].reboots;
                if self.reboots_before.get(host) == Some(&reboots) {
                    let text = format!("{host} counts as maintained without a reboot");
                    self.violations.push(text);
                }
            }
        }
    }

    fn restore_racks(&self, change: &MapChange) -> MapChange {
        let mut change = change.clone();
        for (host, state) in &mut change.hosts {
            state.facts = self.machines[host].facts.clone();
        }
        change
    }

    /// Checks a pool directly after a planned outage of one of its hosts began.
    fn check_outage(&mut self, host: &HostId, pool: &PoolId) {
        let mut serving = 0;
        let mut planned_racks = Vec::new();
        for (other, state) in self.map.pool_hosts(pool) {
            let machine = &self.machines[other];
            // A host that has been down for longer than its last health is valid must be known as
            // down.
            let down = machine
                .down_since
                .is_some_and(|since| self.now > since + HEALTH_AGE + STEP);
            serving += u32::from(state.in_service() && !down);
            if !state.in_service() && state.cause == OutCause::Maintenance {
                planned_racks.push(state.facts.rack.clone());
            }
        }
        let budget = self.manifest.pools[pool].budget;
        if serving < budget {
            self.violations.push(format!(
                "{host} left {pool} with {serving} serving hosts of {budget} required"
            ));
        }
        planned_racks.sort();
        planned_racks.dedup();
        if planned_racks.len() > 1 {
            self.violations
                .push(format!("{pool} has planned outages in two racks"));
        }
    }
}

impl PlannerState {
    fn health(&self, host: &HostId, now: Duration, age: Duration) -> HealthStatus {
        match self.probed.get(host) {
            Some(probe) if probe.failures >= 3 => HealthStatus::Failing,
            Some(probe) if now - probe.at <= age => probe.health,
            _ => HealthStatus::Unknown,
        }
    }

    /// The phase entry in which a host was probed. If the guard is disabled, that of the map.
    fn probed_in(&self, host: &HostId, fault: GuardFault) -> PhaseEntry {
        let state = self.map.hosts.get(host);
        let current_entry = state.map(HostState::phase_entry).unwrap_or_default();
        match fault {
            GuardFault::HealthOfOtherPhase => return current_entry,
            GuardFault::LossesIgnored if current_entry.0 == HostPhase::Lost => {
                return (HostPhase::Serving, current_entry.1);
            }
            GuardFault::LossesIgnored => return current_entry,
            _ => {}
        }
        let probe = self.probed.get(host);
        probe.map(|probe| probe.phase_entry).unwrap_or_default()
    }
}

impl Machine {
    fn in_rack(rack: usize) -> Self {
        Self {
            facts: HostFacts {
                role: HostRole::Worker,
                rack: format!("r{rack}").into(),
                data_centre: format!("dc{}", rack % 2).into(),
                ..HostFacts::default()
            },
            draining: false,
            running: 0,
            down_since: None,
            down_until: Duration::ZERO,
            reboots: 0,
        }
    }

    fn fail(&mut self, now: Duration, until: Duration) {
        self.down_since = self.down_since.or(Some(now));
        self.down_until = self.down_until.max(until);
        self.running = 0;
        self.draining = false;
    }

    fn reboot(&mut self, now: Duration, until: Duration) {
        self.reboots += 1;
        self.fail(now, until);
    }

    fn advance(&mut self, now: Duration, random: &mut StdRng) {
        if self.down_since.is_some() {
            if now >= self.down_until {
                self.down_since = None;
            }
            return;
        }
        if self.draining {
            self.running = self
                .running
                .saturating_sub(u32::from(random.random_bool(0.4)));
        } else {
            self.running = random.random_range(1..4);
        }
    }
}
