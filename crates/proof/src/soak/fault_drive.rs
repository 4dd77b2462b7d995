use std::time::{Duration, Instant};

use anyhow::Result;
use fake::{LinkMode, LinkState, boot_nanos};
use stand::StoreFaultConfig;

use super::{
    FaultKind, PlannedFault, SoakSchedule,
    partition_drive::PartitionDrive,
    soak_check::{DrainPeriod, HeldUp},
    soak_fleet::{
        DRAINED_DATA_CENTRE, GRACE, SoakFleet, control_link, peer_link, store_link, target_link,
    },
};

/// Bytes a second over a narrow link.
const NARROW_RATE: u64 = 24_000;
const SLOW_ANSWER: Duration = Duration::from_millis(150);
const LOST_PART: f64 = 0.3;
const LATE_PART: f64 = 0.2;

/// A fault that has begun, with whom it strikes.
struct ActiveFault {
    fault: PlannedFault,
    process: usize,
}

/// Carries out a schedule: what each thing suffers is the sum of the faults that are on.
pub(crate) struct FaultDrive {
    plan: Vec<PlannedFault>,
    begun: usize,
    active: Vec<ActiveFault>,
    stopped_at: Vec<Option<Instant>>,
    /// Processes that ended by themselves.
    pub(crate) fallen: Vec<String>,
    /// When all leases lapsed before their time.
    pub(crate) lapses: Vec<u64>,
    /// Times in which orders to a target may have been held up.
    pub(crate) held_up: Vec<HeldUp>,
    /// Times in which the data centre was drained and the store could be read.
    pub(crate) drains: Vec<DrainPeriod>,
    drained_since: Option<u64>,
    pub(crate) partitions: PartitionDrive,
}

impl FaultDrive {
    pub(crate) fn new(schedule: SoakSchedule, processes: usize) -> Self {
        Self {
            plan: schedule.faults,
            partitions: PartitionDrive::new(schedule.partitions),
            begun: 0,
            active: Vec::new(),
            stopped_at: vec![None; processes],
            fallen: Vec::new(),
            lapses: Vec::new(),
            held_up: Vec::new(),
            drains: Vec::new(),
            drained_since: None,
        }
    }

    /// Begins and ends what is due `since` the start.
    pub(crate) fn step(&mut self, fleet: &mut SoakFleet, since: Duration) -> Result<()> {
        let mut changed = false;
        if let Some(held_up) = self.partitions.end(fleet, since) {
            self.held_up.extend(held_up);
            changed = true;
        }
        if let Some(strikes) = self.partitions.begin(fleet, since) {
            self.plan.extend(strikes);
            self.plan[self.begun..].sort_by_key(|fault| fault.begin);
            changed = true;
        }
        self.partitions.remove_entries(fleet);
        while let Some(fault) = self.plan.get(self.begun).copied() {
            if fault.begin > since {
                break;
            }
            self.begun += 1;
            self.begin(fleet, fault)?;
            changed = true;
        }
        let count = self.active.len();
        let over = self
            .active
            .extract_if(.., |active| active.fault.end <= since);
        for ended in over.collect::<Vec<_>>() {
            self.end(fleet, &ended);
        }
        if changed || count != self.active.len() {
            self.apply(fleet)?;
        }
        if self.any(FaultKind::StoreSilent) {
            fleet.store.extend_all_leases();
        }
        self.tend_processes(fleet)
    }

    /// Whether every fault has come and gone and all processes run.
    pub(crate) fn is_over(&self) -> bool {
        let stopping = self.stopped_at.iter().any(Option::is_some);
        let begun = self.begun == self.plan.len() && self.partitions.is_over();
        begun && self.active.is_empty() && !stopping
    }

    /// Begins a fault; what strikes once does so now.
    fn begin(&mut self, fleet: &mut SoakFleet, fault: PlannedFault) -> Result<()> {
        let owner = || fleet.store.owner().map_or(0, |owner| owner.process);
        let process = fault.process.unwrap_or_else(owner);
        let running = self.stopped_at[process].is_none();
        match fault.kind {
            FaultKind::Terminate if running => {
                if let Some(live) = fleet.processes[process].running()? {
                    live.resume()?;
                    live.terminate()?;
                }
                self.stopped_at[process] = Some(Instant::now());
            }
            FaultKind::Kill => {
                if let Some(live) = fleet.processes[process].running()? {
                    live.kill()?;
                }
                self.stopped_at[process] = Some(Instant::now());
            }
            FaultKind::HistoryGone => fleet.store.drop_history(),
            FaultKind::LeasesLapse => {
                fleet.store.expire_leases();
                self.lapses.push(boot_nanos());
            }
            FaultKind::TargetCrash => {
                fleet.targets[fault.target].crash();
                if !self.partitions.misses_store(fault.target) {
                    fleet.put_target(fault.target);
                }
            }
            // Operators can't reach a store that is away for all.
            FaultKind::DataCentreDrained if !self.is_store_away() => {
                fleet.store.drain(DRAINED_DATA_CENTRE);
                self.drained_since = Some(boot_nanos());
            }
            FaultKind::StoreRefuses | FaultKind::StoreSilent => self.end_drain_period(),
            _ => {}
        }
        self.active.push(ActiveFault { fault, process });
        Ok(())
    }

    fn end(&mut self, fleet: &SoakFleet, ended: &ActiveFault) {
        let fault = ended.fault;
        if fault.kind == FaultKind::DataCentreDrained {
            self.end_drain_period();
            fleet.store.restore(DRAINED_DATA_CENTRE);
        }
        let now = boot_nanos();
        let length = u64::try_from((fault.end - fault.begin).as_nanos()).unwrap_or_default();
        for process in 0..fleet.processes.len() {
            if cut_of(ended, fault.target, process) != LinkMode::Open {
                self.held_up.push(HeldUp {
                    target: fault.target,
                    process,
                    from_ns: now.saturating_sub(length),
                    to_ns: now,
                });
            }
        }
        if fault.kind == FaultKind::StoreSilent {
            fleet.store.extend_all_leases();
        }
    }

    /// Ends the time for which the drain is checked: it has ended, or the store is away for all, and
    /// an owner may go on with what it has read.
    fn end_drain_period(&mut self) {
        if let Some(from_ns) = self.drained_since.take() {
            let to_ns = boot_nanos();
            self.drains.push(DrainPeriod { from_ns, to_ns });
        }
    }

    fn is_store_away(&self) -> bool {
        self.any(FaultKind::StoreRefuses) || self.any(FaultKind::StoreSilent)
    }

    fn any(&self, kind: FaultKind) -> bool {
        self.active.iter().any(|active| active.fault.kind == kind)
    }

    fn strikes(&self, kind: FaultKind, process: usize) -> bool {
        self.active
            .iter()
            .any(|active| active.fault.kind == kind && active.process == process)
    }

    fn apply(&self, fleet: &mut SoakFleet) -> Result<()> {
        for process in 0..fleet.processes.len() {
            fleet.store.set_faults(process, self.store_faults(process));
            fleet.set_link(self.store_link_state(process))?;
            let cut = self.partitions.cuts_store(process);
            fleet.set_link(cut_if(control_link(process), cut))?;
            for other in (0..fleet.processes.len()).filter(|other| *other != process) {
                let cut = self.partitions.cuts_peers(process, other);
                fleet.set_link(cut_if(peer_link(other, process), cut))?;
            }
            let pauses =
                self.strikes(FaultKind::Pause, process) && self.stopped_at[process].is_none();
            if let Some(live) = fleet.processes[process].running()? {
                match pauses {
                    true => live.pause()?,
                    false => live.resume()?,
                }
            }
        }
        for target in 0..fleet.targets.len() {
            for process in 0..fleet.processes.len() {
                let cuts = self.active.iter();
                let mut cuts = cuts.map(|active| cut_of(active, target, process));
                let mode = cuts.find(|cut| *cut != LinkMode::Open).unwrap_or_default();
                let apart = self.partitions.cuts_target(target, process);
                fleet.set_link(LinkState {
                    name: target_link(target, process),
                    mode: if apart { LinkMode::Silent } else { mode },
                    ..LinkState::default()
                })?;
            }
            let late = self.any(FaultKind::StartsLate);
            fleet.targets[target].set_late_starts(if late { LATE_PART } else { 0.0 });
        }
        Ok(())
    }

    /// What the store does to a process.
    fn store_faults(&self, process: usize) -> StoreFaultConfig {
        let struck = |kind| self.strikes(kind, process);
        let part = |kind, part| if struck(kind) { part } else { 0.0 };
        let slow = self.any(FaultKind::StoreSlow);
        StoreFaultConfig {
            refuse_calls: self.any(FaultKind::StoreRefuses) || struck(FaultKind::ProcessRefused),
            ignore_calls: self.any(FaultKind::StoreSilent),
            reply_loss: part(FaultKind::AnswersLost, LOST_PART),
            late_changes: part(FaultKind::ChangesLate, LATE_PART),
            extra_delay: if slow { SLOW_ANSWER } else { Duration::ZERO },
        }
    }

    /// How the link between the store and a process treats what it carries.
    fn store_link_state(&self, process: usize) -> LinkState {
        let struck = |kind| self.strikes(kind, process);
        let modes = [
            (FaultKind::StoreLinkReset, LinkMode::Closed),
            (FaultKind::StoreLinkSilent, LinkMode::Silent),
            (FaultKind::StoreLinkUnanswered, LinkMode::Unanswered),
        ];
        let mode = modes.into_iter().find(|(kind, _)| struck(*kind));
        let narrow = struck(FaultKind::StoreLinkNarrow);
        LinkState {
            name: store_link(process),
            mode: match mode {
                _ if self.partitions.cuts_store(process) => LinkMode::Silent,
                Some((_, mode)) => mode,
                None => LinkMode::Open,
            },
            bytes_per_s: if narrow { NARROW_RATE } else { 0 },
            ..LinkState::default()
        }
    }

    /// Starts again what was stopped long enough, and kills what doesn't end in time.
    fn tend_processes(&mut self, fleet: &mut SoakFleet) -> Result<()> {
        for index in 0..fleet.processes.len() {
            let down = [FaultKind::Terminate, FaultKind::Kill]
                .into_iter()
                .any(|kind| self.strikes(kind, index));
            let process = &mut fleet.processes[index];
            let live = process.running()?;
            let Some(stopped_at) = self.stopped_at[index] else {
                if live.is_none() {
                    self.fallen.push(format!("process {index} ended by itself"));
                    process.start()?;
                }
                continue;
            };
            if let Some(live) = live {
                if stopped_at.elapsed() > GRACE {
                    live.kill()?;
                }
                continue;
            }
            if !down {
                process.start()?;
                self.stopped_at[index] = None;
            }
        }
        Ok(())
    }
}

/// A link that is silent or open.
fn cut_if(name: String, cut: bool) -> LinkState {
    LinkState {
        name,
        mode: if cut {
            LinkMode::Silent
        } else {
            LinkMode::Open
        },
        ..LinkState::default()
    }
}

/// What a fault does to the link between a target and a process.
fn cut_of(active: &ActiveFault, target: usize, process: usize) -> LinkMode {
    let fault = &active.fault;
    if fault.target != target {
        return LinkMode::Open;
    }
    match fault.kind {
        FaultKind::TargetSilent => LinkMode::Silent,
        FaultKind::TargetUnanswered => LinkMode::Unanswered,
        FaultKind::TargetApart if active.process != process => LinkMode::Silent,
        _ => LinkMode::Open,
    }
}
