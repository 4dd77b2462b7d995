use std::collections::BTreeMap;

use decide::rendezvous;
use model::{HostRole, MemberId, PoolId, TeamId};
use ports::ActiveConfig;

/// Assigns a broker to each pool of executors, out of the eligible members.
pub(crate) fn assign_brokers(
    config: &ActiveConfig,
    eligible: &[MemberId],
) -> BTreeMap<PoolId, MemberId> {
    let pools = config.manifest.pools.iter();
    let executors = pools.filter(|(_, spec)| spec.role == HostRole::Executor);
    executors
        .filter_map(|(pool, _)| {
            let broker = rendezvous::duty_holder(pool, eligible)?;
            Some((pool.clone(), broker.clone()))
        })
        .collect()
}

/// Weight of each team in the division of slots: its configured share.
pub(crate) fn team_weights(config: &ActiveConfig) -> BTreeMap<TeamId, f64> {
    let teams = config.manifest.teams.iter();
    teams
        .map(|(team, spec)| (team.clone(), f64::from(spec.share)))
        .collect()
}
