use std::collections::{BTreeMap, BTreeSet};

use admin::view::{PoolView, StatusView};

use crate::{client::AdminClient, command::status::read_status, table::TextTable};

/// Statistics of the fleet over the polls of its status.
#[derive(Debug, Default)]
pub struct FleetMonitor {
    last: StatusView,
    unresponsive: usize,
    pools: BTreeMap<String, PoolStats>,
    maintained: BTreeSet<String>,
}

/// Statistics of one pool.
#[derive(Clone, Debug, Default)]
struct PoolStats {
    budget: u32,
    min_serving: Option<u32>,
    max_maintained: u32,
}

impl FleetMonitor {
    /// Creates a monitor without any poll.
    pub fn new() -> Self {
        Self::default()
    }

    /// Polls the status of the fleet once; counts the entry hosts that do not answer.
    pub fn poll(&mut self, client: &AdminClient) {
        let Ok((view, unresponsive)) = read_status(client) else {
            self.unresponsive = client.urls().len();
            return;
        };
        self.unresponsive = unresponsive.len();
        for pool in &view.pools {
            let stats = self.pools.entry(pool.pool.clone()).or_default();
            stats.record(pool);
        }
        for host in &view.hosts {
            if ["rebooting", "checking"].contains(&host.phase.as_str()) {
                self.maintained.insert(host.host.to_string());
            }
        }
        self.last = view;
    }

    /// Summary of the last poll, on one line.
    pub fn status_line(&self) -> String {
        let count = |phases: &[&str]| {
            let hosts = self.last.hosts.iter();
            hosts
                .filter(|host| phases.contains(&host.phase.as_str()))
                .count()
        };
        let running: u32 = self.last.teams.iter().map(|team| team.running).sum();
        format!(
            "revision {}, {} hosts serve, {} drain, {} reboot or are checked, {running} run{}",
            self.last.revision,
            count(&["serving"]),
            count(&["draining"]),
            count(&["rebooting", "checking"]),
            match self.unresponsive {
                0 => String::new(),
                unresponsive => format!(", {unresponsive} entry hosts silent"),
            }
        )
    }

    /// Prints how close each pool came to its budget.
    pub fn print(&self) {
        let mut table =
            TextTable::new(&["POOL", "BUDGET", "LOWEST IN SERVICE", "MOST IN MAINTENANCE"]);
        for (name, pool) in &self.pools {
            let min_serving = pool
                .min_serving
                .map_or("never whole".to_owned(), |min_serving| {
                    min_serving.to_string()
                });
            table.add(vec![
                name.clone(),
                pool.budget.to_string(),
                min_serving,
                pool.max_maintained.to_string(),
            ]);
        }
        table.print();
        println!("hosts maintained: {}", self.maintained.len());
    }

    /// Pools that fell below their budget.
    pub fn violations(&self) -> Vec<String> {
        let below = self.pools.iter().filter_map(|(name, pool)| {
            let min_serving = pool
                .min_serving
                .filter(|min_serving| *min_serving < pool.budget)?;
            Some(format!(
                "pool {name} fell to {min_serving} hosts, its budget is {}",
                pool.budget
            ))
        });
        below.collect()
    }
}

impl PoolStats {
    /// Adds one poll. The minimum is tracked from when the pool first meets its budget, as it is
    /// below it while the fleet starts.
    fn record(&mut self, pool: &PoolView) {
        self.budget = pool.budget;
        self.max_maintained = self.max_maintained.max(pool.maintained);
        if self.min_serving.is_none() && pool.serving < pool.budget {
            return;
        }
        let min_serving = self.min_serving.unwrap_or(pool.serving);
        self.min_serving = Some(min_serving.min(pool.serving));
    }
}
