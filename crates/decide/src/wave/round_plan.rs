use std::{collections::BTreeMap, time::Duration};

use model::{HostId, Manifest};

use super::{
    FleetLimits, HostObservation, PoolChoice, lend,
    outage_planner::{OutagePlanner, cancel_drain},
    progress, rehome,
};
use crate::budget::{FleetMap, HostState, MapChange};

/// What a planning round knows.
#[derive(Clone, Copy, Debug)]
pub struct RoundInput<'a> {
    /// Time since the Unix epoch.
    pub now: Duration,
    /// The pool map that the round's change will be written against.
    pub map: &'a FleetMap,
    /// The manifest in force.
    pub manifest: &'a Manifest,
    /// What was seen of each host.
    pub observations: &'a BTreeMap<HostId, HostObservation>,
    /// True if the host list was read lately.
    pub list_fresh: bool,
    /// Times and counts by which hosts are judged.
    pub limits: &'a FleetLimits,
}

/// The next change of the pool map.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoundPlan {
    /// What to write, with compare-and-swap against the map of the view.
    pub change: MapChange,
    /// Hosts whose health decides what may come next.
    pub probes: Vec<HostId>,
    /// True while hosts that failed to return keep all others from going out.
    pub halted: bool,
}

impl RoundPlan {
    /// Plans one round: what was lost, what came back, what joins, and last what may go out.
    ///
    /// The order matters: outages are granted on the map that holds the losses of the
    /// same round, so a loss and a permit can't both use the last spare host.
    pub fn plan(view: &RoundInput<'_>) -> Self {
        if view.manifest.pools.is_empty() {
            return Self::default();
        }
        let mut plan = Self::default();
        plan.follow_hosts(view);
        plan.join_hosts(view);
        plan.rehome_hosts(view);
        plan.grant_permits(view);
        plan
    }

    fn follow_hosts(&mut self, view: &RoundInput<'_>) {
        let unseen = HostObservation::default();
        for (host, state) in &view.map.hosts {
            let observation = view.observations.get(host).unwrap_or(&unseen);
            if observation.facts.is_none() && view.limits.retention_expired(state, view.now) {
                self.change.removed.push(host.clone());
                continue;
            }
            if !state.in_service() {
                self.probes.push(host.clone());
            }
            let next = progress::next_state(state, observation, view.limits, view.now)
                .or_else(|| cancel_drain(view, state));
            let next = with_facts(next, state, observation);
            if let Some(next) = next {
                self.change.hosts.insert(host.clone(), next);
            }
        }
    }

    fn join_hosts(&mut self, view: &RoundInput<'_>) {
        let mut choice = PoolChoice::new(view.manifest, &view.map.with_change(&self.change));
        for (host, observation) in view.observations {
            let Some(facts) = &observation.facts else {
                continue;
            };
            if observation.leaving || view.map.hosts.contains_key(host) {
                continue;
            }
            let Some(pool) = choice.pool_for(facts) else {
                continue;
            };
            let state = HostState::joining(pool, facts.clone(), view.now);
            choice.add(&state);
            self.change.hosts.insert(host.clone(), state);
        }
    }

    fn rehome_hosts(&mut self, view: &RoundInput<'_>) {
        let map = view.map.with_change(&self.change);
        self.change.hosts.extend(rehome::rehome_hosts(view, &map));
        if view.list_fresh {
            let map = view.map.with_change(&self.change);
            self.change.hosts.extend(lend::reassign_spares(view, &map));
        }
    }

    fn grant_permits(&mut self, view: &RoundInput<'_>) {
        let map = view.map.with_change(&self.change);
        let planner = OutagePlanner::new(view, &map);
        self.halted = planner.halted();
        if self.halted || !view.list_fresh {
            return;
        }
        let mut left = planner.remaining_outages();
        for (pool, spec) in &view.manifest.pools {
            let permits = planner.grant_pool(pool, spec, left);
            left = left.saturating_sub(u32::try_from(permits.granted.len()).unwrap_or(left));
            self.change.hosts.extend(permits.granted);
            self.probes.extend(permits.probes);
        }
    }
}

/// Takes over what the host list now says of a host that is otherwise unchanged.
fn with_facts(
    next: Option<HostState>,
    state: &HostState,
    observation: &HostObservation,
) -> Option<HostState> {
    let Some(facts) = &observation.facts else {
        return next;
    };
    if next.is_none() && *facts == state.facts {
        return None;
    }
    let mut next = next.unwrap_or_else(|| state.clone());
    next.facts = facts.clone();
    Some(next)
}
