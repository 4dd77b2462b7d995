use std::collections::BTreeMap;

use decide::rendezvous;
use model::{HostRole, MemberId, PoolId, TeamId};
use ports::ActiveConfig;

/// The broker of each pool of executors, out of the members that are fit to be one.
pub(crate) fn assign_brokers(
    config: &ActiveConfig,
    fit: &[MemberId],
) -> BTreeMap<PoolId, MemberId> {
    let pools = config.manifest.pools.iter();
    let executors = pools.filter(|(_, spec)| spec.role == HostRole::Executor);
    executors
        .filter_map(|(pool, _)| {
            let owner = rendezvous::duty_holder(pool, fit)?;
            Some((pool.clone(), owner.clone()))
        })
        .collect()
}

/// The share of each team.
pub(crate) fn team_weights(config: &ActiveConfig) -> BTreeMap<TeamId, f64> {
    let teams = config.manifest.teams.iter();
    teams
        .map(|(team, spec)| (team.clone(), f64::from(spec.share)))
        .collect()
}
