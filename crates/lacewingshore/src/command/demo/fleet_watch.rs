use std::collections::{BTreeMap, BTreeSet};

use admin::view::{PoolView, StatusView};

use crate::{client::AdminClient, command::status::read_status, table::TextTable};

/// What was seen of the fleet over time.
#[derive(Debug, Default)]
pub struct FleetWatch {
    last: StatusView,
    silent: usize,
    pools: BTreeMap<String, PoolWatch>,
    maintained: BTreeSet<String>,
}

/// What was seen of one pool.
#[derive(Clone, Debug, Default)]
struct PoolWatch {
    budget: u32,
    lowest: Option<u32>,
    most_out: u32,
}

impl FleetWatch {
    /// Nothing seen yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Looks at the fleet once; an entry host that does not answer is counted.
    pub fn look(&mut self, client: &AdminClient) {
        let Ok((view, silent)) = read_status(client) else {
            self.silent = client.urls().len();
            return;
        };
        self.silent = silent.len();
        for pool in &view.pools {
            let watch = self.pools.entry(pool.pool.clone()).or_default();
            watch.note(pool);
        }
        for host in &view.hosts {
            if ["rebooting", "checking"].contains(&host.phase.as_str()) {
                self.maintained.insert(host.host.to_string());
            }
        }
        self.last = view;
    }

    /// What was seen last, on one line.
    pub fn line(&self) -> String {
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
            match self.silent {
                0 => String::new(),
                silent => format!(", {silent} entry hosts silent"),
            }
        )
    }

    /// Prints how near each pool came to its budget.
    pub fn print(&self) {
        let mut table =
            TextTable::new(&["POOL", "BUDGET", "LOWEST IN SERVICE", "MOST IN MAINTENANCE"]);
        for (name, pool) in &self.pools {
            let lowest = pool
                .lowest
                .map_or("never whole".to_owned(), |lowest| lowest.to_string());
            table.add(vec![
                name.clone(),
                pool.budget.to_string(),
                lowest,
                pool.most_out.to_string(),
            ]);
        }
        table.print();
        println!("hosts maintained: {}", self.maintained.len());
    }

    /// Pools that fell below their budget.
    pub fn broken(&self) -> Vec<String> {
        let below = self.pools.iter().filter_map(|(name, pool)| {
            let lowest = pool.lowest.filter(|lowest| *lowest < pool.budget)?;
            Some(format!(
                "pool {name} fell to {lowest} hosts, its budget is {}",
                pool.budget
            ))
        });
        below.collect()
    }
}

impl PoolWatch {
    /// A pool counts from when it first had its budget: a fleet that starts is below it.
    fn note(&mut self, pool: &PoolView) {
        self.budget = pool.budget;
        self.most_out = self.most_out.max(pool.maintained);
        if self.lowest.is_none() && pool.serving < pool.budget {
            return;
        }
        let lowest = self.lowest.unwrap_or(pool.serving);
        self.lowest = Some(lowest.min(pool.serving));
    }
}
