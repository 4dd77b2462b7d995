//! Runs the processes of a cell under seeded faults and checks the promises, seed after seed.

use std::{collections::BTreeMap, path::PathBuf, process::ExitCode, time::Duration};

use anyhow::{Context, Result};
use argh::FromArgs;
use proof::{SoakPlan, SoakReport, run_soak};

/// A fault soak of real processes.
#[derive(Debug, FromArgs)]
struct SoakArgs {
    /// seeds, as FIRST..LAST, both included
    #[argh(option)]
    seeds: String,
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
            "jobs {} accepted {} cancelled {} runs {} owners {}",
            self.jobs, self.accepted, self.cancelled, self.runs, self.owners
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

fn main() -> Result<ExitCode> {
    let args: SoakArgs = argh::from_env();
    let (first, last) = args.seeds.split_once("..").context("seeds: FIRST..LAST")?;
    let (first, last): (u64, u64) = (first.parse()?, last.parse()?);
    let mut total = SoakTotal::default();
    for seed in first..=last {
        let folder = args.logs.join(format!("seed-{seed}"));
        let plan = SoakPlan {
            seed,
            span: Duration::from_secs_f64(args.minutes * 60.0),
            processes: args.processes,
            targets: args.targets,
            callers: args.callers,
            folder: folder.clone(),
            faults: None,
        };
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        let report = run_soak(&plan)?;
        println!(
            "seed {seed}: {} faults, {} jobs, {} accepted, {} runs, {} owners, log {} bytes, {} broken",
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
            std::fs::remove_dir_all(&folder)?;
            continue;
        }
        for violation in report.tally.broken.iter().take(10) {
            println!("  {violation}");
        }
        println!("  logs of its processes: {}", folder.display());
    }
    total.print();
    Ok(match total.failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
