use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::{Context, Result};
use fake::{LinkState, RelayFake};
use stand::{CallerClient, SimulatedControl, SimulatedStore, SimulatedTarget};

use super::page_view::unpack_page;
use crate::{BinaryKind, JsonClient, LiveProcess, free_port};

/// Keys of the product's own in the store, whose writers the stand-in notes.
const OWNER_KEY: &str = "cell/owner";
const LOG_PREFIX: &str = "cell/log/";
/// Longest time for a shutdown, after which the platform kills a process.
pub(crate) const GRACE: Duration = Duration::from_secs(6);
/// Data centre that operators drain.
pub(crate) const DRAINED_DATA_CENTRE: &str = SimulatedTarget::DATA_CENTRES[1];
/// Runs that fit a target.
const SLOTS: usize = 8;

/// One process of the cell, over all its lives.
pub(crate) struct CellProcess {
    pub(crate) caller: String,
    live: Option<LiveProcess>,
    name: String,
    settings: PathBuf,
    log: PathBuf,
}

impl CellProcess {
    pub(crate) fn start(&mut self) -> Result<()> {
        let settings = self.settings.to_string_lossy();
        let args = ["cell", "--settings", &settings];
        let kind = BinaryKind::Lacewingshore;
        self.live = Some(LiveProcess::spawn(&self.name, kind, &args, &self.log)?);
        Ok(())
    }

    /// Its process, if it has not ended.
    pub(crate) fn running(&mut self) -> Result<Option<&mut LiveProcess>> {
        let ended = match &mut self.live {
            Some(live) => live.has_ended()?,
            None => false,
        };
        if ended {
            self.live = None;
        }
        Ok(self.live.as_mut())
    }
}

/// Real processes of a cell among stand-ins of the platform, with a link from each process to the
/// store, the control of hosts, each target and each other process.
pub(crate) struct SoakFleet {
    pub(crate) store: SimulatedStore,
    pub(crate) targets: Vec<SimulatedTarget>,
    pub(crate) processes: Vec<CellProcess>,
    /// Where each process reaches each target.
    target_addresses: Vec<Vec<String>>,
    links: BTreeMap<String, LinkState>,
    relay: RelayFake,
    client: JsonClient,
    control: SimulatedControl,
    /// Whether the processes share by work and weights while capacity is short.
    sharing: bool,
}

impl SoakFleet {
    pub(crate) fn start(
        seed: u64,
        processes: usize,
        targets: usize,
        folder: &Path,
    ) -> Result<Self> {
        let store = SimulatedStore::start(processes, seed, OWNER_KEY, LOG_PREFIX)?;
        let targets: Result<Vec<_>> = (0..targets)
            .map(|target| SimulatedTarget::start(target, SLOTS, seed + target as u64))
            .collect();
        let targets = targets?;
        let rows = targets
            .iter()
            .map(|target| target.host_row(CallerClient::pool()));
        let control = SimulatedControl::start(rows.collect())?;
        let mut fleet = Self {
            store,
            targets,
            processes: Vec::new(),
            target_addresses: Vec::new(),
            links: BTreeMap::new(),
            relay: RelayFake::start("127.0.0.1:0")?,
            client: JsonClient::default(),
            control,
            // Both ways of deciding have to keep the promises.
            sharing: seed % 2 == 1,
        };
        fleet.store.put_config(&CallerClient::platform_config());
        for target in 0..fleet.targets.len() {
            let to = fleet.targets[target].address();
            let link = |process| fleet.add_link(&target_link(target, process), &to);
            let addresses: Result<Vec<_>> = (0..processes).map(link).collect();
            fleet.target_addresses.push(addresses?);
            fleet.put_target(target);
        }
        fleet.store.set_unpacker(unpack_page);
        fleet.show_own_target_links(processes);
        for process in 0..processes {
            let store = fleet.add_link(&store_link(process), &fleet.store.address(process))?;
            let control = fleet.control.address();
            let control = fleet.add_link(&control_link(process), &control)?;
            let cell = fleet.place(process, processes, &store, &control, folder)?;
            fleet.processes.push(cell);
        }
        for cell in &mut fleet.processes {
            cell.start()?;
        }
        Ok(fleet)
    }

    /// A process reaches a target over its own link, also if it takes the address from the log of
    /// another one.
    fn show_own_target_links(&self, processes: usize) {
        for links in &self.target_addresses {
            for (process, other) in pairs(processes) {
                self.store
                    .set_address_view(process, &links[other], &links[process]);
            }
        }
    }

    /// Writes a target's entry anew, as it does when it begins a life.
    pub(crate) fn put_target(&self, target: usize) {
        let simulated = &self.targets[target];
        let addresses = self.target_addresses[target].iter();
        let entries = addresses.map(|address| simulated.store_entry(address, CallerClient::pool()));
        self.store
            .put_target(simulated.id(), &entries.collect::<Vec<_>>());
    }

    pub(crate) fn set_link(&mut self, state: LinkState) -> Result<()> {
        if self.links.get(&state.name) == Some(&state) {
            return Ok(());
        }
        let url = format!("{}/fake/mode", self.relay.server().url());
        self.client.post(&url, &state)?;
        self.links.insert(state.name.clone(), state);
        Ok(())
    }

    fn add_link(&self, name: &str, to: &str) -> Result<String> {
        let state = LinkState {
            name: name.to_owned(),
            to: to.to_owned(),
            ..LinkState::default()
        };
        let url = format!("{}/fake/links", self.relay.server().url());
        let made: LinkState = serde_json::from_slice(&self.client.post(&url, &state)?)?;
        Ok(made.address)
    }

    /// Chooses the ports of a process, and makes the links over which the others reach it.
    fn place(
        &self,
        process: usize,
        processes: usize,
        store: &str,
        control: &str,
        folder: &Path,
    ) -> Result<CellProcess> {
        let ports: Result<Vec<u16>> = (0..4).map(|_| free_port()).collect();
        let ports = ports?;
        let name = format!("cell-{process}");
        let peer = format!("127.0.0.1:{}", ports[2]);
        for other in (0..processes).filter(|other| *other != process) {
            let link = self.add_link(&peer_link(process, other), &peer)?;
            self.store.set_address_view(other, &peer, &link);
        }
        let sharing = self.sharing;
        let text = format!(
            "[entry]\nmember = {name}\ndata_centre = north\naddress = 127.0.0.1:{}\n\
             ready_address = 127.0.0.1:{}\npeer_address = {peer}\n\
             metrics_address = 127.0.0.1:{}\n[platform]\nstore_address = {store}\n\
             control_address = {control}\n[sharing]\nwork_admission = {sharing}\n\
             fair_order = {sharing}\nfair_division = {sharing}\n[log]\nlevel = debug\n",
            ports[0], ports[1], ports[3]
        );
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text).context("write the settings")?;
        Ok(CellProcess {
            caller: format!("127.0.0.1:{}", ports[0]),
            live: None,
            log: folder.join(format!("{name}.log")),
            name,
            settings,
        })
    }
}

fn pairs(processes: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..processes).flat_map(move |one| {
        let others = (0..processes).filter(move |other| *other != one);
        others.map(move |other| (one, other))
    })
}

pub(crate) fn control_link(process: usize) -> String {
    format!("control-{process}")
}

/// The link over which `other` reaches `process`.
pub(crate) fn peer_link(process: usize, other: usize) -> String {
    format!("peer-{process}-{other}")
}

pub(crate) fn store_link(process: usize) -> String {
    format!("store-{process}")
}

pub(crate) fn target_link(target: usize, process: usize) -> String {
    format!("target-{target}-{process}")
}
