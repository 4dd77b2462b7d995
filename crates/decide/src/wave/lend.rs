use std::collections::BTreeMap;

use model::{HostId, HostRole, PoolId, PoolSpec};

use super::RoundInput;
use crate::budget::{FleetMap, HostPhase, HostState, OutCause};

/// Plans moves of workers of the spare pool, and of surplus workers, to pools that lack hosts.
///
/// A pool that lost a host has no slack for the next loss and gets no maintenance. A lost host that
/// returns finds its place filled. It stays, and is reassigned when another pool lacks a host.
pub(super) fn reassign_spares(
    input: &RoundInput<'_>,
    map: &FleetMap,
) -> BTreeMap<HostId, HostState> {
    let mut available = count_available(map);
    let mut donors = donors(input, map, &available);
    let mut reassigned = BTreeMap::new();
    for (pool, spec) in &input.manifest.pools {
        if spec.spare || spec.role != HostRole::Worker {
            continue;
        }
        let held = available.get(pool).copied().unwrap_or_default();
        for _ in held..spec.size {
            let Some((host, state)) = take_donor(&mut donors, map, pool) else {
                break;
            };
            let mut next = state.with_phase(HostPhase::Draining, OutCause::Move, input.now);
            next.next_pool = pool.clone();
            *available.entry(pool.clone()).or_default() += 1;
            reassigned.insert(host, next);
        }
    }
    reassigned
}

/// Hosts that serve a pool or soon will; a moving host counts in its destination.
fn count_available(map: &FleetMap) -> BTreeMap<PoolId, u32> {
    let mut available = BTreeMap::new();
    for state in map.hosts.values() {
        let gone = matches!(
            state.phase,
            HostPhase::Lost | HostPhase::Retired | HostPhase::Quarantined
        );
        if gone || state.cause == OutCause::Leaving {
            continue;
        }
        let pool = if state.next_pool.is_empty() {
            &state.pool
        } else {
            &state.next_pool
        };
        *available.entry(pool.clone()).or_default() += 1;
    }
    available
}

/// Hosts that may be reassigned: those in service in spare pools, and those that other pools have
/// beyond their size.
fn donors<'a>(
    input: &RoundInput<'_>,
    map: &'a FleetMap,
    available: &BTreeMap<PoolId, u32>,
) -> Vec<(&'a HostId, &'a HostState)> {
    let mut donors = Vec::new();
    for (pool, hosts) in map.by_pool() {
        let Some(spec) = input.manifest.pools.get(pool) else {
            continue;
        };
        let serving = hosts.into_iter().filter(|(_, state)| state.in_service());
        let serving: Vec<_> = serving.collect();
        let count = donor_count(
            spec,
            available.get(pool).copied().unwrap_or_default(),
            serving.len(),
        );
        donors.extend(serving.into_iter().take(count));
    }
    donors
}

fn donor_count(spec: &PoolSpec, available: u32, serving: usize) -> usize {
    if spec.role != HostRole::Worker {
        return 0;
    }
    let kept = if spec.spare { spec.budget } else { spec.size };
    let beyond = available.saturating_sub(kept) as usize;
    let in_service = serving.saturating_sub(spec.budget as usize);
    beyond.min(in_service)
}

/// Takes the donor whose rack has the fewest hosts of `pool`.
fn take_donor(
    donors: &mut Vec<(&HostId, &HostState)>,
    map: &FleetMap,
    pool: &PoolId,
) -> Option<(HostId, HostState)> {
    let rack_mates = |state: &HostState| {
        let mates = map.pool_hosts(pool);
        mates
            .filter(|(_, other)| other.facts.rack == state.facts.rack)
            .count()
    };
    let (index, _) = donors
        .iter()
        .enumerate()
        .min_by_key(|(_, (_, state))| rack_mates(state))?;
    let (host, state) = donors.swap_remove(index);
    Some((host.clone(), state.clone()))
}
