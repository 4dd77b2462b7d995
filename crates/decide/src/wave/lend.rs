use std::collections::BTreeMap;

use model::{HostId, HostRole, PoolId, PoolSpec};

use super::RoundView;
use crate::budget::{FleetMap, HostPhase, HostState, OutCause};

/// Workers of the spare pool that set out for pools which lack hosts.
///
/// A pool that lost a host has no slack left for the next loss, and no maintenance. A host
/// that comes back later finds its place taken and stays all the same: it is lent on when
/// another pool lacks one.
pub(super) fn lend_spares(view: &RoundView<'_>, map: &FleetMap) -> BTreeMap<HostId, HostState> {
    let mut able = count_able(map);
    let mut lenders = lenders(view, map, &able);
    let mut lent = BTreeMap::new();
    for (pool, spec) in &view.manifest.pools {
        if spec.spare || spec.role != HostRole::Worker {
            continue;
        }
        let held = able.get(pool).copied().unwrap_or_default();
        for _ in held..spec.size {
            let Some((host, state)) = take_lender(&mut lenders, map, pool) else {
                break;
            };
            let mut next = state.entering(HostPhase::Draining, OutCause::Move, view.now);
            next.next_pool = pool.clone();
            *able.entry(pool.clone()).or_default() += 1;
            lent.insert(host, next);
        }
    }
    lent
}

/// Hosts that serve a pool or will soon, counted where they are going.
fn count_able(map: &FleetMap) -> BTreeMap<PoolId, u32> {
    let mut able = BTreeMap::new();
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
        *able.entry(pool.clone()).or_default() += 1;
    }
    able
}

/// Hosts that may be lent: those in service in spare pools, and what others have beyond
/// their size.
fn lenders<'a>(
    view: &RoundView<'_>,
    map: &'a FleetMap,
    able: &BTreeMap<PoolId, u32>,
) -> Vec<(&'a HostId, &'a HostState)> {
    let mut lenders = Vec::new();
    for (pool, hosts) in map.by_pool() {
        let Some(spec) = view.manifest.pools.get(pool) else {
            continue;
        };
        let serving = hosts.into_iter().filter(|(_, state)| state.in_service());
        let serving: Vec<_> = serving.collect();
        let count = lendable(
            spec,
            able.get(pool).copied().unwrap_or_default(),
            serving.len(),
        );
        lenders.extend(serving.into_iter().take(count));
    }
    lenders
}

fn lendable(spec: &PoolSpec, able: u32, serving: usize) -> usize {
    if spec.role != HostRole::Worker {
        return 0;
    }
    let kept = if spec.spare { spec.budget } else { spec.size };
    let beyond = able.saturating_sub(kept) as usize;
    let in_service = serving.saturating_sub(spec.budget as usize);
    beyond.min(in_service)
}

/// Takes the lender whose rack has the fewest hosts of `pool`.
fn take_lender(
    lenders: &mut Vec<(&HostId, &HostState)>,
    map: &FleetMap,
    pool: &PoolId,
) -> Option<(HostId, HostState)> {
    let rack_mates = |state: &HostState| {
        let mates = map.pool_hosts(pool);
        mates
            .filter(|(_, other)| other.facts.rack == state.facts.rack)
            .count()
    };
    let (index, _) = lenders
        .iter()
        .enumerate()
        .min_by_key(|(_, (_, state))| rack_mates(state))?;
    let (host, state) = lenders.swap_remove(index);
    Some((host.clone(), state.clone()))
}
