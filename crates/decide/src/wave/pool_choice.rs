use std::{cmp::Reverse, collections::BTreeMap};

use model::{HostRole, Manifest, PoolId, PoolSpec, RackId};

use crate::budget::{FleetMap, HostFacts, HostPhase, HostState};

/// Chooses pools for hosts that have none.
#[derive(Clone, Debug)]
pub struct PoolChoice<'a> {
    manifest: &'a Manifest,
    held: BTreeMap<PoolId, u32>,
    rack_mates: BTreeMap<(PoolId, RackId), u32>,
}

impl<'a> PoolChoice<'a> {
    /// Creates a choice among the pools of `manifest`, with the hosts of `map` counted.
    pub fn new(manifest: &'a Manifest, map: &FleetMap) -> Self {
        let mut choice = Self {
            manifest,
            held: BTreeMap::new(),
            rack_mates: BTreeMap::new(),
        };
        for state in map.hosts.values() {
            choice.add(state);
        }
        choice
    }

    /// Counts a host that is assigned to a pool.
    ///
    /// A moving host counts in its destination, so that its place is not filled twice.
    pub fn add(&mut self, state: &HostState) {
        if state.phase == HostPhase::Retired {
            return;
        }
        let pool = if state.next_pool.is_empty() {
            &state.pool
        } else {
            &state.next_pool
        };
        *self.held.entry(pool.clone()).or_default() += 1;
        let rack = (pool.clone(), state.facts.rack.clone());
        *self.rack_mates.entry(rack).or_default() += 1;
    }

    /// The pool that a host with these facts should belong to; `None` if no pool takes it.
    ///
    /// An executor belongs to the pool of its service. A worker goes to the pool that lacks most
    /// hosts and, among equals, to the one with the fewest hosts in its rack, so that the loss of a
    /// rack takes as little of a pool as possible.
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
                let shortfall = self.shortfall(pool, spec)?;
                let rack = (pool.clone(), facts.rack.clone());
                let mates = self.rack_mates.get(&rack).copied().unwrap_or_default();
                Some((shortfall, Reverse(mates), Reverse(pool)))
            })
            .max()
            .map(|(_, _, Reverse(pool))| pool.clone())
    }

    fn spare_pool(&self, role: HostRole) -> Option<PoolId> {
        self.manifest
            .pools
            .iter()
            .find(|(_, spec)| spec.role == role && spec.spare)
            .map(|(pool, _)| pool.clone())
    }

    fn shortfall(&self, pool: &PoolId, spec: &PoolSpec) -> Option<u32> {
        let held = self.held.get(pool).copied().unwrap_or_default();
        spec.size
            .checked_sub(held)
            .filter(|shortfall| *shortfall > 0)
    }
}
