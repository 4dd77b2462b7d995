use std::fmt::Write as _;

use fake::HostRow;
use serde::Serialize;

const HOSTS_IN_RACK: usize = 4;
const DATA_CENTRES: usize = 4;

/// How large a deployment is run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchSize {
    /// Name of the row.
    pub name: String,
    /// Entry hosts.
    pub members: usize,
    /// Pools, half of executors and half of workers.
    pub pools: usize,
    /// Hosts in the list, spread over the pools.
    pub hosts: usize,
    /// Teams.
    pub teams: usize,
    /// Changes of configuration a second.
    pub changes_per_second: f64,
}

impl BenchSize {
    /// A deployment of `members` entry hosts with nothing else to do.
    pub fn new(name: &str, members: usize) -> Self {
        Self {
            name: name.to_owned(),
            members,
            pools: 10,
            hosts: 40,
            teams: 6,
            changes_per_second: 0.0,
        }
    }

    /// Sets pools and hosts.
    #[must_use]
    pub fn with_fleet(mut self, pools: usize, hosts: usize) -> Self {
        self.pools = pools;
        self.hosts = hosts;
        self
    }

    /// Sets teams.
    #[must_use]
    pub fn with_teams(mut self, teams: usize) -> Self {
        self.teams = teams;
        self
    }

    /// Sets changes a second.
    #[must_use]
    pub fn with_changes(mut self, per_second: f64) -> Self {
        self.changes_per_second = per_second;
        self
    }

    /// Services, one for each pool of executors.
    pub fn services(&self) -> usize {
        self.pools.div_ceil(2)
    }

    /// The manifest; `turn` changes the limit of one team.
    pub fn manifest(&self, turn: usize) -> String {
        let size = (self.hosts / self.pools.max(1)).max(2);
        let budget = size / 2;
        let mut text = "[deployment]\nname = bench\n".to_owned();
        for pool in 0..self.pools {
            let role = if pool % 2 == 0 { "executor" } else { "worker" };
            let _ = write!(
                text,
                "[pool.p{pool}]\nrole = {role}\nsize = {size}\nbudget = {budget}\n"
            );
            if pool % 2 == 0 {
                let _ = write!(text, "[service.s{}]\npool = p{pool}\n", pool / 2);
            }
        }
        for team in 0..self.teams {
            let limit = if team == 0 { 100 + turn % 2 } else { 100 };
            let _ = write!(text, "[team.t{team}]\nshare = 1\nlimit = {limit}\n");
        }
        text
    }

    /// The host list; every host answers at one of `addresses`.
    pub fn host_rows(&self, addresses: &[String]) -> Vec<HostRow> {
        let services = self.services();
        let row = |index: usize| {
            let executor = index.is_multiple_of(2);
            let rack = index / HOSTS_IN_RACK;
            HostRow {
                host: format!("h{index:04}"),
                address: addresses[index % addresses.len()].clone(),
                role: if executor { "executor" } else { "worker" }.to_owned(),
                service: if executor {
                    format!("s{}", index / 2 % services)
                } else {
                    String::new()
                },
                data_centre: format!("dc{}", rack % DATA_CENTRES),
                rack: format!("r{rack}"),
                cores: 16,
                memory_mb: 32_768,
                ..HostRow::default()
            }
        };
        (0..self.hosts).map(row).collect()
    }
}
