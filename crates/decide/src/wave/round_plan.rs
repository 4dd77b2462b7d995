use std::{collections::BTreeMap, time::Duration};

use model::{HostId, Manifest};

use super::{
    FleetLimits, HostObservation, PoolChoice, lend,
    outage_planner::{OutagePlanner, cancel_drain},
    progress, rehome,
};
use crate::budget::{FleetMap, HostState, MapChange};

/// Input of a planning round.
#[derive(Clone, Copy, Debug)]
pub struct RoundInput<'a> {
    /// Time since the Unix epoch.
    pub now: Duration,
    /// The pool map that the round's change will be written against.
    pub map: &'a FleetMap,
    /// The active manifest.
    pub manifest: &'a Manifest,
    /// Observations by host.
    pub observations: &'a BTreeMap<HostId, HostObservation>,
    /// True if the host list was read recently.
    pub list_fresh: bool,
    /// Time limits and host counts of maintenance.
    pub limits: &'a FleetLimits,
}

/// The next change of the pool map.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoundPlan {
    /// The change to write, with compare-and-swap against the map of the input.
    pub change: MapChange,
    /// Hosts to probe, whose health decides the next changes.
    pub probes: Vec<HostId>,
    /// True while maintenance is halted because hosts failed to return.
    pub halted: bool,
}

impl RoundPlan {
    /// Plans one round: losses, returns, new hosts, moves, and last the outages for maintenance.
    ///
    /// The order matters: outages are granted on the map that includes the losses of the same
    /// round, so a loss and a permit can't both use the last spare host.
    pub fn plan(input: &RoundInput<'_>) -> Self {
        if input.manifest.pools.is_empty() {
            return Self::default();
        }
        let mut plan = Self::default();
        plan.update_hosts(input);
        plan.join_hosts(input);
        plan.rehome_hosts(input);
        plan.grant_permits(input);
        plan
    }

    fn update_hosts(&mut self, input: &RoundInput<'_>) {
        let unseen = HostObservation::default();
        for (host, state) in &input.map.hosts {
            let observation = input.observations.get(host).unwrap_or(&unseen);
            if observation.facts.is_none() && input.limits.retention_expired(state, input.now) {
                self.change.removed.push(host.clone());
                continue;
            }
            if !state.in_service() {
                self.probes.push(host.clone());
            }
            let next = progress::next_state(state, observation, input.limits, input.now)
                .or_else(|| cancel_drain(input, state));
            let next = with_facts(next, state, observation);
            if let Some(next) = next {
                self.change.hosts.insert(host.clone(), next);
            }
        }
    }

    fn join_hosts(&mut self, input: &RoundInput<'_>) {
        let mut choice = PoolChoice::new(input.manifest, &input.map.with_change(&self.change));
        for (host, observation) in input.observations {
            let Some(facts) = &observation.facts else {
                continue;
            };
            if observation.leaving || input.map.hosts.contains_key(host) {
                continue;
            }
            let Some(pool) = choice.pool_for(facts) else {
                continue;
            };
            let state = HostState::joining(pool, facts.clone(), input.now);
            choice.add(&state);
            self.change.hosts.insert(host.clone(), state);
        }
    }

    fn rehome_hosts(&mut self, input: &RoundInput<'_>) {
        let map = input.map.with_change(&self.change);
        self.change.hosts.extend(rehome::rehome_hosts(input, &map));
        if input.list_fresh {
            let map = input.map.with_change(&self.change);
            self.change.hosts.extend(lend::reassign_spares(input, &map));
        }
    }

    fn grant_permits(&mut self, input: &RoundInput<'_>) {
        let map = input.map.with_change(&self.change);
        let planner = OutagePlanner::new(input, &map);
        self.halted = planner.is_halted();
        if self.halted || !input.list_fresh {
            return;
        }
        let mut left = planner.remaining_outages();
        for (pool, spec) in &input.manifest.pools {
            let permits = planner.grant_pool(pool, spec, left);
            left = left.saturating_sub(u32::try_from(permits.granted.len()).unwrap_or(left));
            self.change.hosts.extend(permits.granted);
            self.probes.extend(permits.probes);
        }
    }
}

/// Copies the facts of the host list into the state of an otherwise unchanged host.
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
