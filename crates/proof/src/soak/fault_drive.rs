use std::time::{Duration, Instant};

use anyhow::Result;
use fake::{LinkMode, LinkState, boot_nanos};
use stand::StoreFaultSwitch;

use super::{
    FaultKind, PlannedFault,
    soak_fleet::{GRACE, SoakFleet, store_link, target_link},
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
    /// Times in which orders to a target may have been held up.
    pub(crate) held_up: Vec<(usize, u64, u64)>,
}

impl FaultDrive {
    pub(crate) fn new(plan: Vec<PlannedFault>, processes: usize) -> Self {
        Self {
            plan,
            begun: 0,
            active: Vec::new(),
            stopped_at: vec![None; processes],
            fallen: Vec::new(),
            held_up: Vec::new(),
        }
    }

    /// Begins and ends what is due `since` the start.
    pub(crate) fn step(&mut self, fleet: &mut SoakFleet, since: Duration) -> Result<()> {
        let mut changed = false;
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
            fleet.store.extend_leases();
        }
        self.tend_processes(fleet)
    }

    /// Whether every fault has come and gone and all processes run.
    pub(crate) fn is_over(&self) -> bool {
        let stopping = self.stopped_at.iter().any(Option::is_some);
        self.begun == self.plan.len() && self.active.is_empty() && !stopping
    }

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
            FaultKind::HistoryGone => fleet.store.forget_history(),
            FaultKind::LeasesLapse => fleet.store.lapse_leases(),
            FaultKind::TargetCrash => {
                fleet.targets[fault.target].crash();
                fleet.put_target(fault.target);
            }
            _ => {}
        }
        self.active.push(ActiveFault { fault, process });
        Ok(())
    }

    fn end(&mut self, fleet: &SoakFleet, ended: &ActiveFault) {
        let fault = ended.fault;
        let holds = matches!(
            fault.kind,
            FaultKind::TargetSilent | FaultKind::TargetUnanswered
        );
        if holds {
            let now = boot_nanos();
            let length = u64::try_from((fault.end - fault.begin).as_nanos()).unwrap_or_default();
            self.held_up
                .push((fault.target, now.saturating_sub(length), now));
        }
        if fault.kind == FaultKind::StoreSilent {
            fleet.store.extend_leases();
        }
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
            let struck = |kind| self.strikes(kind, process);
            let part = |kind, part| if struck(kind) { part } else { 0.0 };
            let switch = StoreFaultSwitch {
                refuses: self.any(FaultKind::StoreRefuses) || struck(FaultKind::ProcessRefused),
                silent: self.any(FaultKind::StoreSilent),
                loses: part(FaultKind::AnswersLost, LOST_PART),
                late: part(FaultKind::ChangesLate, LATE_PART),
                slow: match self.any(FaultKind::StoreSlow) {
                    true => SLOW_ANSWER,
                    false => Duration::ZERO,
                },
            };
            fleet.store.set_faults(process, switch);
            let mode = match () {
                () if struck(FaultKind::StoreLinkReset) => LinkMode::Closed,
                () if struck(FaultKind::StoreLinkSilent) => LinkMode::Silent,
                () if struck(FaultKind::StoreLinkUnanswered) => LinkMode::Unanswered,
                () => LinkMode::Open,
            };
            fleet.set_link(&LinkState {
                name: store_link(process),
                mode,
                bytes_per_s: match struck(FaultKind::StoreLinkNarrow) {
                    true => NARROW_RATE,
                    false => 0,
                },
                ..LinkState::default()
            })?;
            if let Some(live) = fleet.processes[process].running()? {
                match struck(FaultKind::Pause) && self.stopped_at[process].is_none() {
                    true => live.pause()?,
                    false => live.resume()?,
                }
            }
        }
        for (target, stand) in fleet.targets.iter().enumerate() {
            let struck = |kind| {
                let mut active = self.active.iter().map(|active| active.fault);
                active.any(|fault| fault.kind == kind && fault.target == target)
            };
            let mode = match () {
                () if struck(FaultKind::TargetSilent) => LinkMode::Silent,
                () if struck(FaultKind::TargetUnanswered) => LinkMode::Unanswered,
                () => LinkMode::Open,
            };
            fleet.set_link(&LinkState {
                name: target_link(target),
                mode,
                ..LinkState::default()
            })?;
            stand.set_late(match self.any(FaultKind::StartsLate) {
                true => LATE_PART,
                false => 0.0,
            });
        }
        Ok(())
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
