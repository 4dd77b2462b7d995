use std::collections::BTreeMap;

use ports::{ActiveConfig, HostStatus, StatusSource, TeamStatus};

use super::AdminRouter;
use crate::{
    server::AdminReply,
    view::{PoolView, StatusView},
};

impl AdminRouter {
    pub(super) fn show_status(&self) -> AdminReply {
        let config = self.config.config.current();
        let statuses = &self.config.statuses;
        let hosts: Vec<HostStatus> = merge_hosts(statuses.iter().flat_map(|area| area.hosts()));
        let view = StatusView {
            member: self.config.members.own_id().to_string(),
            deployment: config.manifest.name.clone(),
            revision: config.revision,
            hash: format!("{:016x}", config.hash),
            serving: match self.config.gate.check() {
                Ok(()) => "yes".to_owned(),
                Err(reason) => reason.to_string(),
            },
            members: statuses.iter().flat_map(|area| area.members()).collect(),
            pools: view_pools(&config, &hosts),
            hosts,
            teams: view_teams(&config, statuses),
        };
        AdminReply::json(200, &view).with_revision(config.revision)
    }
}

/// Several areas know of one host: one knows its phase, another what runs there.
fn merge_hosts(hosts: impl Iterator<Item = HostStatus>) -> Vec<HostStatus> {
    let mut merged: BTreeMap<String, HostStatus> = BTreeMap::new();
    for host in hosts {
        let known = merged.entry(host.host.to_string()).or_default();
        known.running += host.running;
        known.host = host.host;
        if !host.pool.is_empty() {
            known.pool = host.pool;
        }
        if !host.phase.is_empty() {
            known.phase = host.phase;
        }
    }
    merged.into_values().collect()
}

fn view_pools(config: &ActiveConfig, hosts: &[HostStatus]) -> Vec<PoolView> {
    let count = |pool: &str, is_counted: &dyn Fn(&str) -> bool| {
        let counted = hosts
            .iter()
            .filter(|host| host.pool == pool && is_counted(&host.phase))
            .count();
        u32::try_from(counted).unwrap_or(u32::MAX)
    };
    let views = config.manifest.pools.iter().map(|(pool, spec)| PoolView {
        pool: pool.to_string(),
        role: spec.role.name().to_owned(),
        size: spec.size,
        budget: spec.budget,
        hosts: count(pool, &|phase| phase != "retired"),
        serving: count(pool, &|phase| phase == "serving"),
        maintained: count(pool, &|phase| {
            ["draining", "rebooting", "checking"].contains(&phase)
        }),
        spare: spec.spare,
    });
    views.collect()
}

/// Every team of the manifest, with what the areas know of it.
fn view_teams(
    config: &ActiveConfig,
    statuses: &[std::sync::Arc<dyn StatusSource>],
) -> Vec<TeamStatus> {
    let mut teams: BTreeMap<String, TeamStatus> = BTreeMap::new();
    for (team, spec) in &config.manifest.teams {
        let status = TeamStatus {
            team: team.clone(),
            share: spec.share,
            limit: spec.limit,
            ..TeamStatus::default()
        };
        teams.insert(team.to_string(), status);
    }
    for known in statuses.iter().flat_map(|area| area.teams()) {
        if let Some(team) = teams.get_mut(known.team.as_str()) {
            team.granted = team.granted.max(known.granted);
            team.running = team.running.max(known.running);
        }
    }
    teams.into_values().collect()
}
