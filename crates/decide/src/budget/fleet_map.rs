use std::{collections::BTreeMap, time::Duration};

use model::{HostId, PoolId};
use wire::fleet::{FleetChange, FleetRecord};

use super::HostState;

/// The pool and state of each host, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetMap {
    /// Number of changes that produced this map.
    pub revision: u64,
    /// The hosts. Keys are unique, so a host is in one pool.
    pub hosts: BTreeMap<HostId, HostState>,
}

/// The hosts of one pool, in order of their ids.
pub type PoolHosts<'a> = Vec<(&'a HostId, &'a HostState)>;

/// Hosts to replace in the map and hosts to remove from it, in one write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MapChange {
    /// New states; each replaces the older one.
    pub hosts: BTreeMap<HostId, HostState>,
    /// Hosts to remove from the map.
    pub removed: Vec<HostId>,
}

/// Error of a catch-up: the tail of the record begins after the revision of the map.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("pool map at revision {held} is older than the tail, the base is needed")]
pub struct MapGap {
    /// Revision of the map.
    pub held: u64,
}

impl FleetMap {
    /// Reads the value of a base key.
    pub fn from_base(base: &FleetRecord) -> Self {
        let hosts = base
            .hosts
            .iter()
            .map(|record| (record.host.as_str().into(), HostState::from_record(record)))
            .collect();
        Self {
            revision: base.revision,
            hosts,
        }
    }

    /// The value of the base key for this revision. Equal maps have equal bytes.
    pub fn to_base(&self) -> FleetRecord {
        FleetRecord {
            revision: self.revision,
            hosts: self
                .hosts
                .iter()
                .map(|(host, state)| state.to_record(host))
                .collect(),
            ..FleetRecord::default()
        }
    }

    /// Applies the changes of the head's tail that this map lacks.
    ///
    /// # Errors
    /// If changes in between are missing, so that the base has to be read.
    pub fn catch_up(&mut self, head: &FleetRecord) -> Result<(), MapGap> {
        for change in &head.tail {
            if change.revision <= self.revision {
                continue;
            }
            if change.revision != self.revision + 1 {
                return Err(MapGap {
                    held: self.revision,
                });
            }
            self.apply_record(change);
        }
        if self.revision < head.revision {
            return Err(MapGap {
                held: self.revision,
            });
        }
        Ok(())
    }

    /// The map after `change`, one revision later.
    pub fn with_change(&self, change: &MapChange) -> Self {
        let mut map = self.clone();
        map.revision += 1;
        for host in &change.removed {
            map.hosts.remove(host);
        }
        for (host, state) in &change.hosts {
            map.hosts.insert(host.clone(), state.clone());
        }
        map
    }

    /// Hosts that belong to `pool`.
    pub fn pool_hosts(&self, pool: &PoolId) -> impl Iterator<Item = (&HostId, &HostState)> {
        self.hosts
            .iter()
            .filter(move |(_, state)| state.pool == *pool)
    }

    /// All hosts, grouped by pool.
    pub fn by_pool(&self) -> BTreeMap<&PoolId, PoolHosts<'_>> {
        let mut pools: BTreeMap<&PoolId, PoolHosts<'_>> = BTreeMap::new();
        for (host, state) in &self.hosts {
            pools.entry(&state.pool).or_default().push((host, state));
        }
        pools
    }

    fn apply_record(&mut self, change: &FleetChange) {
        self.revision = change.revision;
        for host in &change.removed {
            self.hosts.remove(host.as_str());
        }
        for record in &change.hosts {
            self.hosts
                .insert(record.host.as_str().into(), HostState::from_record(record));
        }
    }
}

impl MapChange {
    /// True if it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty() && self.removed.is_empty()
    }

    /// The change as recorded in the tail of the head.
    pub fn to_record(&self, revision: u64, author: &str, now: Duration) -> FleetChange {
        FleetChange {
            revision,
            author: author.to_owned(),
            unix_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            hosts: self
                .hosts
                .iter()
                .map(|(host, state)| state.to_record(host))
                .collect(),
            removed: self.removed.iter().map(ToString::to_string).collect(),
        }
    }
}
