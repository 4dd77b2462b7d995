use std::collections::BTreeMap;

use model::{HostId, HostRole, PoolId};

use super::{PoolChoice, RoundInput};
use crate::budget::{FleetMap, HostPhase, HostState, OutCause, PoolLedger};

/// Hosts that the manifest no longer leaves in their pool, as they set out for another.
///
/// The pool may have been removed, or the service that an executor answers may have been
/// given another pool. While the old pool is in the manifest its budget holds, so its
/// hosts go one after the other; once it is gone nobody counts on it.
pub(super) fn rehome_hosts(view: &RoundInput<'_>, map: &FleetMap) -> BTreeMap<HostId, HostState> {
    let mut choice = PoolChoice::new(view.manifest, map);
    let mut ledgers: BTreeMap<&PoolId, PoolLedger> = BTreeMap::new();
    let mut moved = BTreeMap::new();
    for (host, state) in &map.hosts {
        let Some(next_pool) = next_pool(view, &choice, state) else {
            continue;
        };
        if let Some(spec) = view.manifest.pools.get(&state.pool) {
            let ledger = ledgers
                .entry(&state.pool)
                .or_insert_with(|| PoolLedger::count(map, &state.pool));
            if ledger.check_budget(spec).is_err() {
                continue;
            }
            ledger.take_out(state);
        }
        let mut next = state.entering(HostPhase::Draining, OutCause::Move, view.now);
        next.next_pool = next_pool;
        choice.add(&next);
        moved.insert(host.clone(), next);
    }
    moved
}

/// The pool that a host in service has to go to; `None` if it stays.
fn next_pool(view: &RoundInput<'_>, choice: &PoolChoice<'_>, state: &HostState) -> Option<PoolId> {
    if !state.in_service() {
        return None;
    }
    let gone = !view.manifest.pools.contains_key(&state.pool);
    if !gone && state.facts.role == HostRole::Worker {
        return None;
    }
    choice
        .pool_for(&state.facts)
        .filter(|pool| *pool != state.pool && view.manifest.pools.contains_key(pool))
}
