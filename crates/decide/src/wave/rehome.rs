use std::collections::BTreeMap;

use model::{HostId, HostRole, PoolId};

use super::{PoolChoice, RoundInput};
use crate::budget::{FleetMap, HostPhase, HostState, OutCause, PoolLedger};

/// Hosts that the manifest no longer allows in their pool, draining to move to another.
///
/// The pool may have been removed, or the service of an executor may have been assigned to another
/// pool. While the old pool is in the manifest its budget holds, so its hosts move one after the
/// other. A removed pool has no budget.
pub(super) fn rehome_hosts(input: &RoundInput<'_>, map: &FleetMap) -> BTreeMap<HostId, HostState> {
    let mut choice = PoolChoice::new(input.manifest, map);
    let mut ledgers: BTreeMap<&PoolId, PoolLedger> = BTreeMap::new();
    let mut moved = BTreeMap::new();
    for (host, state) in &map.hosts {
        let Some(next_pool) = next_pool(input, &choice, state) else {
            continue;
        };
        if let Some(spec) = input.manifest.pools.get(&state.pool) {
            let ledger = ledgers
                .entry(&state.pool)
                .or_insert_with(|| PoolLedger::count(map, &state.pool));
            if ledger.check_budget(spec).is_err() {
                continue;
            }
            ledger.take_out(state);
        }
        let mut next = state.with_phase(HostPhase::Draining, OutCause::Move, input.now);
        next.next_pool = next_pool;
        choice.add(&next);
        moved.insert(host.clone(), next);
    }
    moved
}

/// The pool that a host in service has to move to; `None` if it stays.
fn next_pool(input: &RoundInput<'_>, choice: &PoolChoice<'_>, state: &HostState) -> Option<PoolId> {
    if !state.in_service() {
        return None;
    }
    let gone = !input.manifest.pools.contains_key(&state.pool);
    if !gone && state.facts.role == HostRole::Worker {
        return None;
    }
    choice
        .pool_for(&state.facts)
        .filter(|pool| *pool != state.pool && input.manifest.pools.contains_key(pool))
}
