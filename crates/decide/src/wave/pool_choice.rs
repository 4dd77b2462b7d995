use std::cmp::Reverse;

use model::{HostRole, Manifest, PoolId, PoolSpec};

use crate::budget::{FleetMap, HostFacts, HostPhase};

/// Chooses the pool of a host that has none.
#[derive(Clone, Copy, Debug)]
pub struct PoolChoice<'a> {
    manifest: &'a Manifest,
    map: &'a FleetMap,
}

impl<'a> PoolChoice<'a> {
    /// A choice among the pools of `manifest`, filled as `map` says.
    pub fn new(manifest: &'a Manifest, map: &'a FleetMap) -> Self {
        Self { manifest, map }
    }

    /// The pool that a host with these facts should belong to; `None` if no pool takes it.
    ///
    /// An executor belongs to the pool of its service. A worker goes where most hosts
    /// are missing, and among equals where its rack has the fewest, so that one rack
    /// takes as little of a pool with it as can be.
    pub fn pool_for(&self, facts: &HostFacts) -> Option<PoolId> {
        if facts.role == HostRole::Executor {
            let service = self.manifest.services.get(&facts.service)?;
            return Some(service.pool.clone());
        }
        self.neediest_pool(facts)
            .or_else(|| self.spare_pool(facts.role))
    }

    fn neediest_pool(&self, facts: &HostFacts) -> Option<PoolId> {
        self.manifest
            .pools
            .iter()
            .filter(|(_, spec)| spec.role == facts.role && !spec.spare)
            .filter_map(|(pool, spec)| {
                let lacking = self.lacking(pool, spec)?;
                Some((lacking, Reverse(self.rack_mates(pool, facts)), pool))
            })
            .max_by(|a, b| (a.0, a.1, b.2).cmp(&(b.0, b.1, a.2)))
            .map(|(_, _, pool)| pool.clone())
    }

    fn spare_pool(&self, role: HostRole) -> Option<PoolId> {
        self.manifest
            .pools
            .iter()
            .find(|(_, spec)| spec.role == role && spec.spare)
            .map(|(pool, _)| pool.clone())
    }

    fn lacking(&self, pool: &PoolId, spec: &PoolSpec) -> Option<u32> {
        let held = self
            .map
            .pool_hosts(pool)
            .filter(|(_, state)| state.phase != HostPhase::Retired)
            .count();
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        spec.size.checked_sub(held).filter(|lacking| *lacking > 0)
    }

    fn rack_mates(&self, pool: &PoolId, facts: &HostFacts) -> usize {
        self.map
            .pool_hosts(pool)
            .filter(|(_, state)| state.facts.rack == facts.rack)
            .count()
    }
}
