use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, anyhow};
use stand::{LookReply, SimulatedTarget};

use super::{
    FaultKind, SoakHistory, SoakSchedule, SoakTally,
    caller_jobs::{JobBook, JobCaller, is_completed, is_owed},
    check_soak,
    fault_drive::FaultDrive,
    soak_fleet::SoakFleet,
    soak_trace::trace_task,
};

const STEP: Duration = Duration::from_millis(20);
/// After the last fault everything that was accepted is done within this time and that of the
/// longest task.
const FINISH_LIMIT: Duration = Duration::from_secs(25);
/// Pause between two rounds of looks at what is not done yet.
const LOOK_PAUSE: Duration = Duration::from_millis(300);

/// One run of the cell under the faults of a seed.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed of the schedule and of the callers.
    pub seed: u64,
    /// How long callers work under faults.
    pub span: Duration,
    /// Processes of the cell.
    pub processes: usize,
    /// Targets.
    pub targets: usize,
    /// Callers.
    pub callers: usize,
    /// Where settings and logs of the processes are kept.
    pub folder: PathBuf,
    /// What strikes from outside.
    pub schedule: SoakSchedule,
}

/// What a run has shown.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Faults of each kind.
    pub faults: BTreeMap<FaultKind, usize>,
    /// Partitions.
    pub partitions: usize,
    /// Jobs that were handed in.
    pub jobs: usize,
    /// Jobs of which callers were told that they are stored.
    pub accepted: usize,
    /// Jobs of which the cancelling was acknowledged.
    pub cancelled: usize,
    /// Runs on all targets.
    pub runs: usize,
    /// Owners one after the other.
    pub owners: usize,
    /// Most bytes that the log had.
    pub log_peak: usize,
    /// Promises that were checked and broken.
    pub tally: SoakTally,
}

/// Runs one seed, and checks what was seen.
///
/// # Errors
/// If a process or a stand-in can't be started or signalled.
pub fn run_soak(plan: &SoakPlan) -> Result<SoakReport> {
    std::fs::create_dir_all(&plan.folder)?;
    let mut fleet = SoakFleet::start(plan.seed, plan.processes, plan.targets, &plan.folder)?;
    let schedule = plan.schedule.clone();
    let mut faults: BTreeMap<FaultKind, usize> = BTreeMap::new();
    let strikes = schedule.partitions.iter().flat_map(|cut| &cut.strikes);
    for fault in schedule.faults.iter().chain(strikes) {
        *faults.entry(fault.kind).or_default() += 1;
    }
    let long_task_ms = schedule.long_task_ms;
    let longest = Duration::from_millis(long_task_ms.map_or(0, |(_, most)| most));
    let mut drive = FaultDrive::new(schedule, plan.processes);
    let book = JobBook::default();
    let addresses: Vec<String> = fleet
        .processes
        .iter()
        .map(|process| process.caller.clone())
        .collect();
    let caller = |index: usize| {
        let seed = plan.seed.wrapping_mul(1000) + index as u64;
        JobCaller::new(seed, addresses.clone(), book.clone(), long_task_ms)
    };
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..plan.callers)
        .map(|index| {
            let (caller, stop) = (caller(index), stop.clone());
            thread::spawn(move || caller.work(&stop))
        })
        .collect();
    let started = Instant::now();
    while started.elapsed() < plan.span || !drive.is_over() {
        drive.step(&mut fleet, started.elapsed())?;
        thread::sleep(STEP);
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| anyhow!("a caller panicked"))?;
    }
    finish(&mut caller(plan.callers), &book, FINISH_LIMIT + longest);
    drive.step(&mut fleet, started.elapsed())?;
    let history = history_of(&fleet, drive, &book);
    let tally = check_soak(&history);
    let traces = tally.twice.iter().map(|task| trace_task(&history, task));
    std::fs::write(plan.folder.join("trace.txt"), traces.collect::<String>())?;
    let broken = tally
        .broken
        .iter()
        .map(|violation| format!("{violation}\n"));
    std::fs::write(plan.folder.join("broken.txt"), broken.collect::<String>())?;
    Ok(SoakReport {
        faults,
        partitions: history.partitions.len(),
        jobs: history.jobs.len(),
        accepted: count(&history, |job| job.accepted_ns.is_some()),
        cancelled: count(&history, |job| job.cancelled_ns.is_some()),
        runs: history.runs.len(),
        owners: history.owners.len(),
        log_peak: history.log_peak,
        tally,
    })
}

/// Looks at what is owed until all of it is completed, or time is up.
fn finish(caller: &mut JobCaller, book: &JobBook, limit: Duration) {
    let started = Instant::now();
    while started.elapsed() < limit {
        let open: Vec<usize> = {
            let book = book.lock();
            let jobs = book.iter().enumerate();
            let open = jobs.filter(|(_, job)| is_owed(job) && !is_completed(job));
            open.map(|(index, _)| index).collect()
        };
        if open.is_empty() {
            return;
        }
        for index in open {
            if caller.look(index) == LookReply::Unknown {
                break;
            }
        }
        thread::sleep(LOOK_PAUSE);
    }
}

fn history_of(fleet: &SoakFleet, drive: FaultDrive, book: &JobBook) -> SoakHistory {
    SoakHistory {
        jobs: book.lock().clone(),
        runs: fleet
            .targets
            .iter()
            .flat_map(SimulatedTarget::runs)
            .collect(),
        orders: fleet
            .targets
            .iter()
            .flat_map(SimulatedTarget::start_orders)
            .collect(),
        owners: fleet.store.owners(),
        strays: fleet.store.stray_writes(),
        log_writes: fleet.store.log_writes(),
        log_peak: fleet.store.log_peak(),
        lapses: drive.lapses,
        held_up: drive.held_up,
        drains: drive.drains,
        fallen: drive.fallen,
        renewals: fleet
            .targets
            .iter()
            .flat_map(SimulatedTarget::renewals)
            .collect(),
        partitions: drive.partitions.over,
    }
}

fn count(history: &SoakHistory, which: impl Fn(&super::CallerJob) -> bool) -> usize {
    history.jobs.iter().filter(|job| which(job)).count()
}
