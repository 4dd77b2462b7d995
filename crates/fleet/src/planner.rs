use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crossbeam_channel::Sender;
use decide::{
    budget::MapChange,
    wave::{HostObservation, RoundInput, RoundPlan},
};
use model::{BootTime, HostId};

use crate::{
    duty_owner::owns_duty,
    fleet_audit::audit_changes,
    fleet_shared::FleetShared,
    map_store::{CommitOutcome, MapSnapshot, MapStore},
    probe_pool::{ProbeTable, ProbeTask},
};

/// Name of the planning duty, by which its owner is chosen.
const DUTY: &str = "fleet-planner";

/// Plans outages and returns of hosts while this entry host owns the planning duty.
pub(crate) struct Planner {
    shared: Arc<FleetShared>,
    map_store: MapStore,
    probe_table: Arc<ProbeTable>,
    probes: Sender<ProbeTask>,
    owned_since: Option<BootTime>,
    must_read: bool,
    /// Map up to which changes are recorded in the audit trail.
    audited: Option<MapSnapshot>,
}

impl Planner {
    pub(crate) fn new(
        shared: Arc<FleetShared>,
        map_store: MapStore,
        probe_table: Arc<ProbeTable>,
        probes: Sender<ProbeTask>,
    ) -> Self {
        Self {
            shared,
            map_store,
            probe_table,
            probes,
            owned_since: None,
            must_read: true,
            audited: None,
        }
    }

    /// Runs planning rounds until the service stops.
    pub(crate) fn run(mut self) {
        while self.shared.pause(self.shared.timing.round_interval) {
            if self.is_active_planner() {
                self.plan_round();
            }
        }
    }

    /// True once this host has owned the duty for the takeover time.
    ///
    /// During that time, calls of the former planner to hosts can finish.
    fn is_active_planner(&mut self) -> bool {
        if !owns_duty(self.shared.members.as_ref(), DUTY) {
            self.owned_since = None;
            return false;
        }
        let now = self.shared.clock.boot_now();
        let Some(since) = self.owned_since else {
            log::info!(target: "E0606", "planner-began member={}", self.shared.members.own_id());
            self.owned_since = Some(now);
            self.must_read = true;
            self.audited = None;
            self.probe_table.clear();
            return false;
        };
        now.saturating_sub(since) >= self.shared.timing.takeover
    }

    fn plan_round(&mut self) {
        if self.must_read && !self.read_map() {
            self.probe_hosts(Vec::new());
            return;
        }
        let observations = self.observations();
        let plan = self.make_plan(&observations);
        if plan.halted {
            log::warn!(target: "E0607", "maintenance-halted hosts failed to return");
        }
        metrics::gauge!("lws_fleet_halted").set(f64::from(u8::from(plan.halted)));
        if !plan.change.is_empty() {
            self.commit(&plan.change);
        }
        self.probe_hosts(plan.probes);
    }

    fn make_plan(&self, observations: &BTreeMap<HostId, HostObservation>) -> RoundPlan {
        let config = self.shared.config.current();
        let map = self.shared.snapshot.lock().map.clone();
        RoundPlan::plan(&RoundInput {
            now: self.shared.clock.unix_now(),
            map: &map,
            manifest: &config.manifest,
            observations,
            list_fresh: self.shared.is_list_fresh(),
            limits: &self.shared.limits,
        })
    }

    fn observations(&self) -> BTreeMap<HostId, HostObservation> {
        let now = self.shared.clock.boot_now();
        let mut observations = self.shared.observations();
        for (host, observation) in &mut observations {
            let health_age = self.shared.timing.health_age;
            (observation.health, observation.probed_in) =
                self.probe_table.health(host, now, health_age);
        }
        observations
    }

    /// Reads the map, which must precede any write; returns false if the read fails.
    fn read_map(&mut self) -> bool {
        let known = self.shared.snapshot.lock().clone();
        match self.map_store.read(&known) {
            Ok(snapshot) => {
                self.apply_snapshot(snapshot);
                self.must_read = false;
                true
            }
            Err(e) => {
                log::warn!(target: "E0608", "pool-map-unread cause={e}");
                false
            }
        }
    }

    fn commit(&mut self, change: &MapChange) {
        let known = self.shared.snapshot.lock().clone();
        let author = self.shared.members.own_id();
        let now = self.shared.clock.unix_now();
        match self.map_store.commit(&known, change, &author, now) {
            Ok(CommitOutcome::Done(snapshot)) => {
                metrics::counter!("lws_fleet_map_writes").increment(1);
                log::info!(
                    target: "E0609",
                    "pool-map-changed revision={} hosts={}",
                    snapshot.map.revision,
                    change.hosts.len() + change.removed.len()
                );
                self.apply_snapshot(snapshot);
            }
            Ok(CommitOutcome::Conflict | CommitOutcome::Unknown) => self.must_read = true,
            Err(e) => {
                self.must_read = true;
                log::warn!(target: "E0610", "pool-map-unwritten cause={e}");
            }
        }
    }

    fn apply_snapshot(&mut self, snapshot: MapSnapshot) {
        if let Some(audited) = &self.audited {
            audit_changes(&self.shared, audited, &snapshot);
        }
        self.audited = Some(snapshot.clone());
        self.shared.adopt_snapshot(snapshot);
    }

    /// Queues probes of the hosts that are not in service and of the hosts in `wanted`.
    fn probe_hosts(&self, wanted: Vec<HostId>) {
        let held = self.shared.snapshot.lock().map.clone();
        let known: BTreeSet<HostId> = held.hosts.keys().cloned().collect();
        self.probe_table.retain(&known);
        let wanted: BTreeSet<HostId> = wanted.into_iter().collect();
        let tasks = held
            .hosts
            .into_iter()
            .filter(|(host, state)| !state.in_service() || wanted.contains(host))
            .map(|(host, state)| ProbeTask { host, state })
            .collect();
        let now = self.shared.clock.boot_now();
        self.probe_table.queue_due(tasks, &self.probes, now);
    }
}
