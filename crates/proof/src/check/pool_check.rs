use std::collections::{BTreeMap, BTreeSet};

use fake::StoreWrite;
use prost::Message;
use wire::fleet::{FleetRecord, HostPhase, HostRecord, OutCause};

use crate::{BootNanos, History, HistoryCheck, decode_hex};

/// Every host belongs to exactly one pool, and no planned outage takes a pool below its
/// availability budget.
///
/// Reads the store's record of writes to the pool map, replayed with code of its own, and
/// the targets' own records of their drains. Unplanned losses may take a pool below its
/// budget; from then on no planned outage may begin there.
#[derive(Clone, Debug, Default)]
pub struct PoolCheck {
    /// Least hosts in service, by pool.
    pub budgets: BTreeMap<String, u32>,
    /// Pool of each host, for the targets' own records; hosts that move are left out.
    pub pool_of: BTreeMap<String, String>,
}

/// Hosts of one shard by id.
type ShardHosts = BTreeMap<String, HostRecord>;

impl HistoryCheck for PoolCheck {
    fn name(&self) -> &'static str {
        "pools"
    }

    fn findings(&self, history: &History) -> Vec<String> {
        let mut findings = self.replay(&history.writes);
        findings.extend(self.drained_together(history));
        findings
    }
}

impl PoolCheck {
    fn replay(&self, writes: &[StoreWrite]) -> Vec<String> {
        let mut findings = Vec::new();
        let mut values = BTreeMap::<&str, Vec<u8>>::new();
        let mut shards = BTreeMap::<&str, ShardHosts>::new();
        for write in writes
            .iter()
            .filter(|write| write.key.starts_with("fleet/"))
        {
            let Some(value) = decode_hex(&write.value) else {
                findings.push(format!("{} holds no bytes at {}", write.key, write.at_ns));
                continue;
            };
            let is_head = write.key.matches('/').count() == 1;
            if is_head && write.removed {
                findings.push(format!("{} was removed at {}", write.key, write.at_ns));
            } else if is_head {
                match shard_hosts(&value, &values, &mut findings) {
                    Some(hosts) => {
                        let before = shards.insert(&write.key, hosts).unwrap_or_default();
                        self.compare(&before, &shards, write, &mut findings);
                    }
                    None => findings.push(format!("{} unreadable at {}", write.key, write.at_ns)),
                }
            }
            values.insert(&write.key, value);
        }
        findings
    }

    fn compare(
        &self,
        before: &ShardHosts,
        shards: &BTreeMap<&str, ShardHosts>,
        write: &StoreWrite,
        findings: &mut Vec<String>,
    ) {
        let mut seen = BTreeMap::<&str, &str>::new();
        for host in shards.values().flat_map(ShardHosts::values) {
            if let Some(pool) = seen.insert(&host.host, &host.pool) {
                let text = format!("{} is in {pool} and {}", host.host, host.pool);
                findings.push(format!("{text} at {}", write.at_ns));
            }
            if host.pool.is_empty() {
                findings.push(format!("{} is in no pool at {}", host.host, write.at_ns));
            }
        }
        let Some(after) = shards.get(write.key.as_str()) else {
            return;
        };
        for pool in planned_outages(before, after) {
            let budget = self.budgets.get(&pool).copied().unwrap_or_default();
            let serving = shards
                .values()
                .flat_map(ShardHosts::values)
                .filter(|host| host.pool == pool && host.phase() == HostPhase::Serving)
                .count();
            if serving < budget as usize {
                findings.push(format!(
                    "a planned outage left {pool} with {serving} of {budget} at {}",
                    write.at_ns
                ));
            }
        }
    }

    /// From the targets' own records: never too many of a pool drain or reboot at once.
    fn drained_together(&self, history: &History) -> Vec<String> {
        let mut points = BTreeMap::<&str, Vec<(BootNanos, i64)>>::new();
        for drain in &history.drains {
            let Some(pool) = self.pool_of.get(&drain.host) else {
                continue;
            };
            let points = points.entry(pool).or_default();
            points.push((drain.begin_ns, 1));
            if drain.end_ns != 0 {
                points.push((drain.end_ns, -1));
            }
        }
        let mut findings = Vec::new();
        for (pool, mut points) in points {
            let size = self.pool_of.values().filter(|of| *of == pool).count();
            let budget = self.budgets.get(pool).copied().unwrap_or_default();
            points.sort_unstable();
            let mut out = 0;
            for (at, step) in points {
                out += step;
                let serving = i64::try_from(size).unwrap_or(i64::MAX) - out;
                if step > 0 && serving < i64::from(budget) {
                    findings.push(format!(
                        "{out} hosts of {pool} were out at {at}, {serving} of {budget} served"
                    ));
                }
            }
        }
        findings
    }
}

/// Pools that lost a serving host by plan between two states of the map.
fn planned_outages(before: &ShardHosts, after: &ShardHosts) -> BTreeSet<String> {
    let mut pools = BTreeSet::new();
    for (id, old) in before {
        if old.phase() != HostPhase::Serving {
            continue;
        }
        let Some(new) = after.get(id) else {
            pools.insert(old.pool.clone());
            continue;
        };
        let moved = new.pool != old.pool;
        let unplanned = matches!(new.cause(), OutCause::Loss | OutCause::Leaving);
        if moved || (new.phase() != HostPhase::Serving && !unplanned) {
            pools.insert(old.pool.clone());
        }
    }
    pools
}

/// The hosts that a head record and its base say.
fn shard_hosts(
    value: &[u8],
    values: &BTreeMap<&str, Vec<u8>>,
    findings: &mut Vec<String>,
) -> Option<ShardHosts> {
    let head = FleetRecord::decode(value).ok()?;
    let mut revision = head.base_revision;
    let base = if head.base_key.is_empty() {
        FleetRecord::default()
    } else {
        FleetRecord::decode(values.get(head.base_key.as_str())?.as_slice()).ok()?
    };
    let mut hosts = ShardHosts::new();
    for host in &base.hosts {
        if hosts.insert(host.host.clone(), host.clone()).is_some() {
            findings.push(format!("{} occurs twice in a base", host.host));
        }
    }
    for change in head.tail.iter().filter(|c| c.revision > head.base_revision) {
        if change.revision != revision + 1 {
            findings.push(format!("revision {} follows {revision}", change.revision));
        }
        revision = change.revision;
        for host in &change.removed {
            hosts.remove(host);
        }
        for host in &change.hosts {
            hosts.insert(host.host.clone(), host.clone());
        }
    }
    Some(hosts)
}
