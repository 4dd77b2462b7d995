use std::{collections::BTreeMap, time::Duration};

use model::{HostId, PoolId, PoolSpec, RackId, WindowSpec};

use super::{FleetLimits, HealthStatus, RoundInput, WindowClock};
use crate::budget::{FleetMap, HostPhase, HostState, OutCause, PoolHosts, PoolLedger};

/// Grants outages for maintenance pool by pool, based on the map that the round will write.
pub(super) struct OutagePlanner<'a> {
    input: &'a RoundInput<'a>,
    map: &'a FleetMap,
    pools: BTreeMap<&'a PoolId, PoolHosts<'a>>,
}

/// Outages granted in one pool, and hosts to probe before more can be granted.
#[derive(Default)]
pub(super) struct PoolPermits {
    /// Hosts that are taken out of service.
    pub(super) granted: BTreeMap<HostId, HostState>,
    /// Hosts in service whose health is unknown.
    pub(super) probes: Vec<HostId>,
}

impl<'a> OutagePlanner<'a> {
    pub(super) fn new(input: &'a RoundInput<'a>, map: &'a FleetMap) -> Self {
        let pools = map.by_pool();
        Self { input, map, pools }
    }

    fn pool_hosts(&self, pool: &PoolId) -> &[(&'a HostId, &'a HostState)] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// True once enough hosts failed to return that no more may go out anywhere.
    ///
    /// A bad image or a broken rack shows as hosts that do not return from their reboot. Each pool
    /// alone would notice after one host. This check counts across the fleet, before the same fault
    /// takes one host of every pool.
    pub(super) fn is_halted(&self) -> bool {
        let failed = self.map.hosts.values().filter(|s| s.failed_return());
        failed.count() >= self.input.limits.failed_returns as usize
    }

    /// Number of hosts that may go out in this round, over all pools.
    ///
    /// A host that never returned counts as out as long as the map keeps it.
    pub(super) fn remaining_outages(&self) -> u32 {
        let (mut fleet, mut out, mut returned) = (0, 0, 0);
        let proof_since = self
            .input
            .now
            .saturating_sub(self.input.limits.return_evidence_age);
        for state in self.map.hosts.values() {
            let serving = state.in_service();
            let retired = state.phase == HostPhase::Retired;
            fleet += u32::from(!retired);
            out += u32::from(!serving && state.cause == OutCause::Maintenance);
            returned += u32::from(serving && state.returned_since(proof_since));
        }
        let allowance = self.input.limits.allowance(fleet, returned);
        allowance.saturating_sub(out)
    }

    /// Grants outages in one pool, at most `left` of them.
    pub(super) fn grant_pool(&self, pool: &PoolId, spec: &PoolSpec, left: u32) -> PoolPermits {
        let mut permits = PoolPermits::default();
        if left == 0 {
            return permits;
        }
        let Some(window) = self.open_window(spec) else {
            return permits;
        };
        let candidates = self.due_hosts(pool, window);
        let mut ledger =
            PoolLedger::of_hosts(self.pool_hosts(pool).iter().map(|(_, state)| *state));
        let allowed = |state| ledger.check_outage(spec, window.at_once, state).is_ok();
        if !candidates.iter().any(|(_, state)| allowed(state)) {
            return permits;
        }
        permits.probes = self.unconfirmed_hosts(pool);
        if !permits.probes.is_empty() {
            return permits;
        }
        for (host, state) in candidates {
            if permits.granted.len() >= left as usize {
                break;
            }
            if ledger.check_outage(spec, window.at_once, state).is_err() {
                continue;
            }
            ledger.take_out(state);
            let out = state.with_phase(HostPhase::Draining, OutCause::Maintenance, self.input.now);
            permits.granted.insert(host.clone(), out);
        }
        permits
    }

    fn open_window(&self, spec: &PoolSpec) -> Option<&'a WindowSpec> {
        let window = self.input.manifest.windows.get(&spec.window)?;
        let left = WindowClock::new(window).time_left(self.input.now)?;
        (left >= self.input.limits.expected_outage.min(window.length)).then_some(window)
    }

    /// Hosts in service that are due, those of the most overdue rack first.
    fn due_hosts(&self, pool: &PoolId, window: &WindowSpec) -> Vec<(&'a HostId, &'a HostState)> {
        let clock = WindowClock::new(window);
        let mut due: Vec<_> = self
            .pool_hosts(pool)
            .iter()
            .copied()
            .filter(|(_, state)| {
                state.in_service() && clock.is_due(state.maintained, self.input.now)
            })
            .collect();
        let mut oldest: BTreeMap<&RackId, Duration> = BTreeMap::new();
        for (_, state) in &due {
            let rack_age = oldest.entry(&state.facts.rack).or_insert(state.maintained);
            *rack_age = (*rack_age).min(state.maintained);
        }
        due.sort_by_key(|(host, state)| {
            let rack = &state.facts.rack;
            (oldest.get(rack).copied(), rack, state.maintained, *host)
        });
        due
    }

    /// Hosts in service that have not recently reported that they serve.
    ///
    /// The map learns of a loss late. A permit based on the map alone could take the last spare
    /// host while another is already down.
    fn unconfirmed_hosts(&self, pool: &PoolId) -> Vec<HostId> {
        self.pool_hosts(pool)
            .iter()
            .filter(|(host, state)| {
                let observation = self.input.observations.get(*host);
                let health = observation.map_or(HealthStatus::Unknown, |observed| {
                    observed.health_in_phase(state)
                });
                state.in_service() && !health.is_serving()
            })
            .map(|(host, _)| (*host).clone())
            .collect()
    }
}

/// The next state of a draining host whose window has closed; `None` if it does not change.
///
/// A host that was not rebooted yet returns to service. A rebooted host finishes its maintenance,
/// because stopping halfway gains nothing.
pub(super) fn cancel_drain(input: &RoundInput<'_>, state: &HostState) -> Option<HostState> {
    if state.phase != HostPhase::Draining || state.cause != OutCause::Maintenance {
        return None;
    }
    let spec = input.manifest.pools.get(&state.pool)?;
    let window = input.manifest.windows.get(&spec.window);
    let open = window.is_some_and(|window| WindowClock::new(window).time_left(input.now).is_some());
    (!open).then(|| state.with_phase(HostPhase::Checking, OutCause::Joining, input.now))
}

impl FleetLimits {
    /// True if a retired host may be removed from the map.
    pub(super) fn retention_expired(&self, state: &HostState, now: Duration) -> bool {
        state.phase == HostPhase::Retired && now >= state.since + self.retired_retention
    }
}
