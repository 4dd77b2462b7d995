use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use fake::{
    DrainRecord, ExecutorFaults, HostListFaults, HostRow, LinkMode, LinkState, RunRecord,
    StoreFaults, StoreHistory, ViewCalls,
};
use tempfile::TempDir;

use super::{
    BinaryKind, EntryPlace, EntryProcess, FleetOperator, JsonClient, LiveProcess, free_port,
};
use crate::{History, HistoryLog, HostDrain, HostRun};

/// How often a condition is looked at.
const TICK: Duration = Duration::from_millis(20);
/// Longest wait for the system to come up.
const START_PATIENCE: Duration = Duration::from_secs(30);

/// What a test runs.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Entry hosts.
    pub entries: usize,
    /// Executors of the service `quotes`.
    pub executors: usize,
    /// Puts links that can be cut between entry hosts, and before the store.
    pub with_relay: bool,
    /// Further lines of every entry host's settings, by section.
    pub extra: Vec<(String, String)>,
    /// Further arguments of every executor.
    pub executor_args: Vec<String>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            entries: 3,
            executors: 3,
            with_relay: false,
            extra: Vec::new(),
            executor_args: Vec::new(),
        }
    }
}

/// One target in a process of its own.
#[derive(Debug)]
pub struct FleetTarget {
    /// Its entry in the host list.
    pub row: HostRow,
    /// The process.
    pub process: LiveProcess,
}

impl FleetTarget {
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.row.address)
    }
}

/// Entry hosts, targets and platform, each in a process of its own, on loopback.
#[derive(Debug)]
pub struct TestFleet {
    /// Entry hosts.
    pub entries: Vec<EntryProcess>,
    /// Targets.
    pub targets: Vec<FleetTarget>,
    /// Records what operators and callers see.
    pub log: HistoryLog,
    /// Drives the administration interface.
    pub operator: FleetOperator,
    store: LiveProcess,
    hosts: LiveProcess,
    relay: Option<LiveProcess>,
    client: JsonClient,
    directory: TempDir,
}

impl TestFleet {
    /// Starts everything and waits until every entry host serves.
    ///
    /// # Errors
    /// If a process does not become ready, or an entry host does not serve.
    pub fn start(plan: &FleetPlan) -> Result<Self> {
        let directory = TempDir::new()?;
        let store = start_fake("store", &["store"], directory.path())?;
        let hosts = start_fake("hosts", &["hosts"], directory.path())?;
        let relay = match plan.with_relay {
            true => Some(start_fake("relay", &["relay"], directory.path())?),
            false => None,
        };
        let log = HistoryLog::new();
        let mut fleet = Self {
            entries: Vec::new(),
            targets: Vec::new(),
            operator: FleetOperator::new(log.clone()),
            log,
            store,
            hosts,
            relay,
            client: JsonClient::default(),
            directory,
        };
        fleet.start_targets(plan)?;
        fleet.place_entries(plan)?;
        for entry in &mut fleet.entries {
            entry.start()?;
        }
        fleet.await_serving(START_PATIENCE)?;
        Ok(fleet)
    }

    /// Where the entry hosts listen.
    pub fn places(&self) -> Vec<EntryPlace> {
        self.entries
            .iter()
            .map(|entry| entry.place.clone())
            .collect()
    }

    /// Waits until every entry host that runs serves.
    ///
    /// # Errors
    /// If one does not within `patience`.
    pub fn await_serving(&self, patience: Duration) -> Result<()> {
        for entry in self.entries.iter().filter(|entry| entry.process.is_some()) {
            let serves = await_true(patience, || self.operator.is_ready(&entry.place));
            ensure!(serves, "{} does not serve", entry.place.member);
        }
        Ok(())
    }

    /// URL of the store's stand-in.
    pub fn store_url(&self) -> String {
        format!("http://{}", self.store.ready())
    }

    /// Replaces the store's faults for everyone, or for one entry host.
    ///
    /// # Errors
    /// If the stand-in does not answer.
    pub fn set_store(&self, member: Option<&str>, faults: &StoreFaults) -> Result<()> {
        let query = member.map_or(String::new(), |member| format!("?view={member}"));
        let url = format!("{}/fake/faults{query}", self.store_url());
        self.client.post(&url, faults).map(drop)
    }

    /// Calls of the store by entry host.
    ///
    /// # Errors
    /// If the stand-in does not answer.
    pub fn store_calls(&self) -> Result<ViewCalls> {
        self.client
            .get(&format!("{}/fake/counts", self.store_url()))
    }

    /// Replaces the faults of one target.
    ///
    /// # Errors
    /// If the stand-in does not answer.
    pub fn set_target(&self, index: usize, faults: &ExecutorFaults) -> Result<()> {
        let url = self.targets[index].url("/fake/faults");
        self.client.post(&url, faults).map(drop)
    }

    /// Replaces the behaviour of the host list.
    ///
    /// # Errors
    /// If the stand-in does not answer.
    pub fn set_host_list(&self, faults: &HostListFaults) -> Result<()> {
        let url = format!("http://{}/fake/faults", self.hosts.ready());
        self.client.post(&url, faults).map(drop)
    }

    /// Shows the targets in the host list as they are now.
    ///
    /// # Errors
    /// If the stand-in does not answer.
    pub fn list_targets(&self) -> Result<()> {
        let rows: Vec<&HostRow> = self.targets.iter().map(|target| &target.row).collect();
        let url = format!("http://{}/fake/hosts", self.hosts.ready());
        self.client.post(&url, &rows).map(drop)
    }

    /// Cuts, mends or delays the link from one entry host to another, or to `store`.
    ///
    /// # Errors
    /// If the fleet was started without links.
    pub fn set_link(&self, from: &str, to: &str, mode: LinkMode, delay_ms: u64) -> Result<()> {
        let relay = self.relay.as_ref().context("no links")?;
        let state = LinkState {
            name: format!("{from}-{to}"),
            mode,
            delay_ms,
            ..LinkState::default()
        };
        let url = format!("http://{}/fake/mode", relay.ready());
        self.client.post(&url, &state).map(drop)
    }

    /// Cuts or mends every link of one entry host to the others and to the store.
    ///
    /// # Errors
    /// If the fleet was started without links.
    pub fn isolate(&self, member: &str, mode: LinkMode) -> Result<()> {
        self.set_link(member, "store", mode, 0)?;
        let members = self.entries.iter().map(|entry| &entry.place.member);
        for other in members.filter(|other| *other != member) {
            self.set_link(member, other, mode, 0)?;
            self.set_link(other, member, mode, 0)?;
        }
        Ok(())
    }

    /// The history so far: what callers and operators saw, with the records that targets
    /// and store kept themselves.
    ///
    /// # Errors
    /// If a stand-in does not answer.
    pub fn collect(&self) -> Result<History> {
        let mut runs = Vec::new();
        let mut drains = Vec::new();
        for target in &self.targets {
            let host = &target.row.host;
            let records: Vec<RunRecord> = self.client.get(&target.url("/fake/runs"))?;
            runs.extend(records.into_iter().map(|run| HostRun {
                host: host.clone(),
                run,
            }));
            let records: Vec<DrainRecord> = self.client.get(&target.url("/fake/drains"))?;
            drains.extend(records.into_iter().map(|drain| HostDrain {
                host: host.clone(),
                begin_ns: drain.begin_ns,
                end_ns: drain.end_ns,
                last_attempt_ns: drain.last_attempt_ns,
            }));
        }
        let url = format!("{}/fake/history", self.store_url());
        let written: StoreHistory = self.client.get(&url)?;
        ensure!(written.first == 0, "the store forgot early writes");
        self.log.fill(|history| {
            history.runs = runs;
            history.drains = drains;
            history.writes = written.writes;
        });
        Ok(self.log.history())
    }

    /// The logs of all entry hosts, for a test that fails.
    pub fn logs(&self) -> String {
        let log = |entry: &EntryProcess| {
            let text = std::fs::read_to_string(entry.log_path()).unwrap_or_default();
            let skip = text.lines().count().saturating_sub(40);
            let tail: Vec<&str> = text.lines().skip(skip).collect();
            format!("--- {}\n{}\n", entry.place.member, tail.join("\n"))
        };
        self.entries.iter().map(log).collect()
    }

    fn start_targets(&mut self, plan: &FleetPlan) -> Result<()> {
        for number in 1..=plan.executors {
            let host = format!("x{number}");
            let mut args = vec!["executor"];
            args.extend(plan.executor_args.iter().map(String::as_str));
            let process = start_fake(&host, &args, self.directory.path())?;
            let row = HostRow {
                host,
                address: process.ready().to_owned(),
                role: "executor".to_owned(),
                service: "quotes".to_owned(),
                data_centre: "north".to_owned(),
                rack: format!("r{number}"),
                cores: 16,
                memory_mb: 32_768,
                ..HostRow::default()
            };
            self.targets.push(FleetTarget { row, process });
        }
        self.list_targets()
    }

    fn place_entries(&mut self, plan: &FleetPlan) -> Result<()> {
        let mut places = Vec::new();
        for number in 1..=plan.entries {
            let address = || anyhow::Ok(format!("127.0.0.1:{}", free_port()?));
            let member = format!("e{number}");
            places.push(EntryPlace {
                data_centre: "north".to_owned(),
                caller: address()?,
                admin: address()?,
                peer: address()?,
                store_url: format!("{}/view/{member}", self.store_url()),
                host_list_url: format!("http://{}", self.hosts.ready()),
                bootstrap_key: self.operator.bootstrap_key(),
                extra: plan.extra.clone(),
                member,
                ..EntryPlace::default()
            });
        }
        let all = places.clone();
        for place in &mut places {
            for other in all.iter().filter(|other| other.member != place.member) {
                let address = self.link(&place.member, &other.member, &other.peer)?;
                place.known.push((other.member.clone(), address));
            }
            let store = self.link(&place.member, "store", self.store.ready())?;
            place.store_url = format!("http://{store}/view/{}", place.member);
        }
        let entry = |place| EntryProcess::new(place, self.directory.path());
        self.entries = places.into_iter().map(entry).collect();
        Ok(())
    }

    /// The address of a link to `address`, or `address` itself without a relay.
    fn link(&self, from: &str, to: &str, address: &str) -> Result<String> {
        let Some(relay) = &self.relay else {
            return Ok(address.to_owned());
        };
        let wanted = LinkState {
            name: format!("{from}-{to}"),
            to: address.to_owned(),
            ..LinkState::default()
        };
        let url = format!("http://{}/fake/links", relay.ready());
        let made: LinkState = serde_json::from_slice(&self.client.post(&url, &wanted)?)?;
        Ok(made.address)
    }
}

fn start_fake(name: &str, args: &[&str], directory: &Path) -> Result<LiveProcess> {
    let log = directory.join(format!("{name}.log"));
    let args: Vec<&str> = ["--until-eof"].iter().chain(args).copied().collect();
    LiveProcess::start(name, BinaryKind::Fake, &args, &log)
}

/// Waits for `condition`; false after `patience`.
pub fn await_true(patience: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + patience;
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(TICK);
    }
    true
}
