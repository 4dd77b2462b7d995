//! Runs the processes of a cell under seeded faults and checks the promises, seed after seed.

use std::{
    collections::BTreeMap, path::PathBuf, process::ExitCode, str::FromStr, thread, time::Duration,
};

use anyhow::{Context, Result, anyhow};
use argh::FromArgs;
use parking_lot::Mutex;
use proof::{SoakPlan, SoakReport, SoakSchedule, run_soak};

/// A fault soak of real processes.
#[derive(Debug, FromArgs)]
struct SoakArgs {
    /// seeds, as FIRST..LAST, both included
    #[argh(option)]
    seeds: String,
    /// what strikes: mixed (default), or partitions and faults that outlast what the product waits
    /// for, under long tasks
    #[argh(option, default = "ScheduleKind::Mixed")]
    schedule: ScheduleKind,
    /// seeds that run at the same time (default 1)
    #[argh(option, default = "1")]
    jobs: usize,
    /// minutes that callers work under faults for each seed (default 0.5)
    #[argh(option, default = "0.5")]
    minutes: f64,
    /// processes of the cell (default 5)
    #[argh(option, default = "5")]
    processes: usize,
    /// targets (default 12)
    #[argh(option, default = "12")]
    targets: usize,
    /// callers (default 6)
    #[argh(option, default = "6")]
    callers: usize,
    /// where the logs of failed seeds are kept (default target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
}

/// What all seeds have shown together.
#[derive(Debug, Default)]
struct SoakTotal {
    seeds: usize,
    partitions: usize,
    twice: usize,
    failed: Vec<u64>,
    faults: BTreeMap<String, usize>,
    checked: BTreeMap<&'static str, usize>,
    broken: BTreeMap<&'static str, usize>,
    jobs: usize,
    accepted: usize,
    cancelled: usize,
    runs: usize,
    owners: usize,
}

impl SoakTotal {
    fn add(&mut self, seed: u64, report: &SoakReport) {
        self.seeds += 1;
        self.partitions += report.partitions;
        self.twice += report.tally.twice.len();
        self.jobs += report.jobs;
        self.accepted += report.accepted;
        self.cancelled += report.cancelled;
        self.runs += report.runs;
        self.owners += report.owners;
        for (kind, count) in &report.faults {
            *self.faults.entry(format!("{kind:?}")).or_default() += count;
        }
        for (check, count) in &report.tally.checked {
            *self.checked.entry(check).or_default() += count;
        }
        for violation in &report.tally.broken {
            *self.broken.entry(violation.check).or_default() += 1;
        }
        if !report.tally.broken.is_empty() {
            self.failed.push(seed);
        }
    }

    fn print(&self) {
        println!("\n{} seeds, failed: {:?}", self.seeds, self.failed);
        println!(
            "jobs {} accepted {} cancelled {} runs {} owners {} partitions {} tasks twice {}",
            self.jobs,
            self.accepted,
            self.cancelled,
            self.runs,
            self.owners,
            self.partitions,
            self.twice
        );
        println!("{:24}{:>10}", "fault", "times");
        for (kind, count) in &self.faults {
            println!("{kind:24}{count:>10}");
        }
        println!("{:24}{:>10}{:>10}", "promise", "checked", "broken");
        for (check, count) in &self.checked {
            let broken = self.broken.get(check).copied().unwrap_or_default();
            println!("{check:24}{count:>10}{broken:>10}");
        }
    }
}

/// Which faults strike.
#[derive(Clone, Copy, Debug)]
enum ScheduleKind {
    Mixed,
    Partitions,
}

impl FromStr for ScheduleKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "mixed" => Ok(Self::Mixed),
            "partitions" => Ok(Self::Partitions),
            other => Err(format!("no schedule {other}: mixed, partitions")),
        }
    }
}

impl SoakArgs {
    fn plan(&self, seed: u64) -> SoakPlan {
        let span = Duration::from_secs_f64(self.minutes * 60.0);
        let schedule = match self.schedule {
            ScheduleKind::Mixed => SoakSchedule::mixed,
            ScheduleKind::Partitions => SoakSchedule::partitions,
        };
        SoakPlan {
            seed,
            span,
            processes: self.processes,
            targets: self.targets,
            callers: self.callers,
            folder: self.logs.join(format!("seed-{seed}")),
            schedule: schedule(seed, span, self.processes, self.targets),
        }
    }

    fn run(&self, seed: u64, total: &Mutex<SoakTotal>) -> Result<()> {
        let plan = self.plan(seed);
        let folder = &plan.folder;
        if folder.exists() {
            std::fs::remove_dir_all(folder)?;
        }
        let report = run_soak(&plan)?;
        let mut total = total.lock();
        println!(
            "seed {seed}: {} partitions, {} faults, {} jobs, {} accepted, {} runs, {} owners, \
             log {} bytes, {} broken",
            report.partitions,
            report.faults.values().sum::<usize>(),
            report.jobs,
            report.accepted,
            report.runs,
            report.owners,
            report.log_peak,
            report.tally.broken.len(),
        );
        total.add(seed, &report);
        if report.tally.broken.is_empty() {
            std::fs::remove_dir_all(folder)?;
            return Ok(());
        }
        for violation in report.tally.broken.iter().take(10) {
            println!("  {violation}");
        }
        println!(
            "  logs of its processes, and trace.txt of {} tasks that ran twice: {}",
            report.tally.twice.len(),
            folder.display()
        );
        Ok(())
    }
}

fn main() -> Result<ExitCode> {
    let args: SoakArgs = argh::from_env();
    let (first, last) = args.seeds.split_once("..").context("seeds: FIRST..LAST")?;
    let (first, last): (u64, u64) = (first.parse()?, last.parse()?);
    let total = Mutex::new(SoakTotal::default());
    let seeds = Mutex::new(first..=last);
    let work = || -> Result<()> {
        loop {
            let Some(seed) = seeds.lock().next() else {
                return Ok(());
            };
            args.run(seed, &total)?;
        }
    };
    thread::scope(|scope| -> Result<()> {
        let threads: Vec<_> = (0..args.jobs.max(1)).map(|_| scope.spawn(work)).collect();
        for thread in threads {
            thread.join().map_err(|_| anyhow!("a seed panicked"))??;
        }
        Ok(())
    })?;
    let mut total = total.into_inner();
    total.failed.sort_unstable();
    total.print();
    Ok(match total.failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
