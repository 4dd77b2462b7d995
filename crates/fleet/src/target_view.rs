use std::{collections::BTreeMap, sync::Arc};

use decide::{
    budget::{FleetMap, HostPhase, HostState, OutCause},
    wave::{FleetLimits, HostObservation},
};
use model::{BootTime, HostId, PoolId};
use ports::{HostStatus, TargetHost, TargetState};

use crate::list_view::ListView;

/// Targets of every pool, computed from the pool map and the host list.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetView {
    pools: BTreeMap<PoolId, Arc<Vec<TargetHost>>>,
    phases: BTreeMap<HostId, (PoolId, HostPhase)>,
    empty: Arc<Vec<TargetHost>>,
}

impl TargetView {
    pub(crate) fn build(
        map: &FleetMap,
        list: &ListView,
        limits: &FleetLimits,
        now: BootTime,
    ) -> Self {
        let mut pools: BTreeMap<PoolId, Vec<TargetHost>> = BTreeMap::new();
        let mut phases = BTreeMap::new();
        for (host, state) in &map.hosts {
            phases.insert(host.clone(), (state.pool.clone(), state.phase));
            if state.phase == HostPhase::Retired {
                continue;
            }
            let observation = list.observation(host, now);
            let target = target_of(host, state, &observation, limits);
            pools.entry(state.pool.clone()).or_default().push(target);
        }
        let pools = pools
            .into_iter()
            .map(|(pool, targets)| (pool, Arc::new(targets)))
            .collect();
        Self {
            pools,
            phases,
            empty: Arc::default(),
        }
    }

    pub(crate) fn pool(&self, pool: &PoolId) -> Arc<Vec<TargetHost>> {
        let targets = self.pools.get(pool).unwrap_or(&self.empty);
        Arc::clone(targets)
    }

    pub(crate) fn statuses(&self) -> Vec<HostStatus> {
        self.phases
            .iter()
            .map(|(host, (pool, phase))| HostStatus {
                host: host.clone(),
                pool: pool.clone(),
                phase: phase_name(*phase).to_owned(),
                running: 0,
            })
            .collect()
    }
}

fn target_of(
    host: &HostId,
    state: &HostState,
    observation: &HostObservation,
    limits: &FleetLimits,
) -> TargetHost {
    let facts = observation.facts.as_ref().unwrap_or(&state.facts);
    TargetHost {
        host: host.clone(),
        address: facts.address.clone(),
        pool: state.pool.clone(),
        data_centre: facts.data_centre.clone(),
        rack: facts.rack.clone(),
        state: target_state(state, observation, limits),
    }
}

/// Returns whether work may be sent to a host.
///
/// A host that this entry host's list shows as leaving gets no new work, even if the planner
/// has not recorded that yet. A host that the planner recorded as lost but that is in the
/// list is still offered: the planner may be the one that is cut off, and a whole data
/// centre would go out of service for all entry hosts. A sender that can't reach the host
/// notices that when it dispatches.
fn target_state(
    state: &HostState,
    observation: &HostObservation,
    limits: &FleetLimits,
) -> TargetState {
    if observation.missing_for >= limits.list_lag {
        return TargetState::Out;
    }
    match state.phase {
        HostPhase::Serving if observation.leaving => TargetState::Draining,
        HostPhase::Serving => TargetState::Serving,
        HostPhase::Lost | HostPhase::Checking
            if state.cause == OutCause::Loss && observation.is_staying() =>
        {
            TargetState::Serving
        }
        HostPhase::Draining => TargetState::Draining,
        _ => TargetState::Out,
    }
}

fn phase_name(phase: HostPhase) -> &'static str {
    match phase {
        HostPhase::Unspecified => "unknown",
        HostPhase::Serving => "serving",
        HostPhase::Draining => "draining",
        HostPhase::Rebooting => "rebooting",
        HostPhase::Checking => "checking",
        HostPhase::Lost => "lost",
        HostPhase::Retired => "retired",
        HostPhase::Quarantined => "quarantined",
    }
}
