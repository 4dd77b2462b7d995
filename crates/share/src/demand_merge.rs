use std::collections::BTreeMap;

use model::PoolId;
use ports::{PoolDemand, TeamDemand};

/// Replaces the pending report on a pool by a newer one.
///
/// Used time is summed until the share loop reads the report; all other fields are replaced.
pub(crate) fn merge_report(reports: &mut BTreeMap<PoolId, PoolDemand>, mut demand: PoolDemand) {
    if let Some(last) = reports.remove(&demand.pool) {
        for team in last.teams {
            if team.used_ms == 0 {
                continue;
            }
            match demand.teams.iter_mut().find(|next| next.team == team.team) {
                Some(next) => next.used_ms += team.used_ms,
                None => demand.teams.push(TeamDemand {
                    team: team.team,
                    used_ms: team.used_ms,
                    ..TeamDemand::default()
                }),
            }
        }
    }
    reports.insert(demand.pool.clone(), demand);
}
