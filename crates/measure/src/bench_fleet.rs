use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, ensure};
use proof::{
    BinaryKind, ChangeResult, EntryPlace, EntryProcess, FleetOperator, HistoryLog, JsonClient,
    LiveProcess, await_true, free_port,
};
use tempfile::TempDir;

use crate::{
    bench_size::BenchSize,
    node_meter::{NodeCost, NodeReading},
};

const EXECUTORS: usize = 4;
const PATIENCE: Duration = Duration::from_secs(60);
// Until leases are granted and the pool map is written.
const SETTLE: Duration = Duration::from_secs(15);

/// A deployment in real processes, of which the entry hosts are measured.
pub struct BenchFleet {
    entries: Vec<EntryProcess>,
    operator: FleetOperator,
    size: BenchSize,
    turn: usize,
    _fakes: Vec<LiveProcess>,
    _directory: TempDir,
}

impl BenchFleet {
    /// Starts a deployment and waits until it has settled.
    ///
    /// # Errors
    /// If a process does not start or the manifest is not accepted.
    pub fn start(size: &BenchSize) -> Result<Self> {
        let directory = TempDir::new()?;
        let store = start_fake("store", &["store"], directory.path())?;
        let hosts = start_fake("hosts", &["hosts"], directory.path())?;
        let mut fakes = Vec::new();
        for index in 0..EXECUTORS {
            let args = ["executor", "--slots", "100000", "--connections", "100000"];
            fakes.push(start_fake(&format!("x{index}"), &args, directory.path())?);
        }
        let addresses: Vec<String> = fakes.iter().map(|fake| fake.ready().to_owned()).collect();
        let list_url = format!("http://{}", hosts.ready());
        JsonClient::default().post(
            &format!("{list_url}/fake/hosts"),
            &size.host_rows(&addresses),
        )?;
        let operator = FleetOperator::new(HistoryLog::new());
        let mut entries = Vec::new();
        for index in 0..size.members {
            let place = EntryPlace {
                member: format!("e{index}"),
                data_centre: format!("dc{}", index % 4),
                caller: format!("127.0.0.1:{}", free_port()?),
                admin: format!("127.0.0.1:{}", free_port()?),
                peer: format!("127.0.0.1:{}", free_port()?),
                store_url: format!("http://{}", store.ready()),
                host_list_url: list_url.clone(),
                bootstrap_key: operator.bootstrap_key(),
                ..EntryPlace::default()
            };
            let mut entry = EntryProcess::new(place, directory.path());
            entry.start()?;
            entries.push(entry);
        }
        fakes.extend([store, hosts]);
        let mut fleet = Self {
            entries,
            operator,
            size: size.clone(),
            turn: 0,
            _fakes: fakes,
            _directory: directory,
        };
        fleet.settle()?;
        Ok(fleet)
    }

    /// Measures the mean cost of an entry host over `length`, while changes are made.
    ///
    /// # Errors
    /// If a process can't be read or a change is not accepted.
    pub fn measure(&mut self, length: Duration) -> Result<NodeCost> {
        let before = self.read()?;
        let start = Instant::now();
        let mut changes = 0.0;
        while start.elapsed() < length {
            let due = start.elapsed().as_secs_f64() * self.size.changes_per_second;
            if changes < due {
                changes += 1.0;
                self.change()?;
                continue;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let after = self.read()?;
        let costs: Vec<NodeCost> = after
            .iter()
            .zip(&before)
            .map(|(after, before)| after.since(before))
            .collect();
        Ok(NodeCost::mean(&costs))
    }

    /// Kills all entry hosts and starts them again: how long until all serve, and the mean
    /// cost of an entry host in the first `length`.
    ///
    /// # Errors
    /// If a process can't be killed, started or read.
    pub fn replace_all(&mut self, length: Duration) -> Result<(Duration, NodeCost)> {
        for entry in &mut self.entries {
            entry.kill()?;
        }
        let start = Instant::now();
        for entry in &mut self.entries {
            entry.start()?;
        }
        for entry in &self.entries {
            let ready = await_true(PATIENCE, || self.operator.is_ready(&entry.place));
            ensure!(ready, "{} does not serve", entry.place.member);
        }
        let serving = start.elapsed();
        thread::sleep(length.saturating_sub(start.elapsed()));
        let begin = NodeReading::at_start(start);
        let costs: Vec<NodeCost> = self
            .read()?
            .iter()
            .map(|after| after.since(&begin))
            .collect();
        Ok((serving, NodeCost::mean(&costs)))
    }

    fn settle(&mut self) -> Result<()> {
        for entry in &self.entries {
            let ready = await_true(PATIENCE, || self.operator.is_ready(&entry.place));
            ensure!(ready, "{} does not serve", entry.place.member);
        }
        self.change()?;
        thread::sleep(SETTLE);
        Ok(())
    }

    fn change(&mut self) -> Result<()> {
        self.turn += 1;
        let change_id = format!("bench-{}", self.turn);
        let entry = &self.entries[self.turn % self.entries.len()];
        let text = self.size.manifest(self.turn);
        let result = self
            .operator
            .apply(&entry.place, &change_id, None, &text, &[]);
        let accepted = matches!(result, ChangeResult::Accepted { .. });
        ensure!(accepted, "change {change_id}: {result:?}");
        Ok(())
    }

    fn read(&self) -> Result<Vec<NodeReading>> {
        let running = self.entries.iter().filter_map(|entry| {
            let process = entry.process.as_ref()?;
            Some(NodeReading::take(process.id(), &entry.place.admin_url()))
        });
        running.collect()
    }
}

fn start_fake(name: &str, args: &[&str], directory: &Path) -> Result<LiveProcess> {
    let log = directory.join(format!("{name}.log"));
    LiveProcess::start(name, BinaryKind::Fake, args, &log)
}
