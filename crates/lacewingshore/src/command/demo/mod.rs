//! The demo: operates a running fleet under load and reports the results.
//!
//! `scripts/demo` starts the stand-ins, the entry hosts and the load, because the program
//! itself starts no process. This command changes the manifest and withdraws a key while
//! the load and a maintenance wave run, monitors the fleet, and prints a summary.

mod fleet_monitor;
mod job_batch;
mod load_result;
mod propagation_timer;

use std::{
    fs,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use model::KeyText;

use crate::{
    args::{CliArguments, DemoArguments},
    client::AdminClient,
    command::read_text,
    exit::CommandError,
};
use fleet_monitor::FleetMonitor;
use job_batch::JobBatch;
use load_result::LoadResult;
use propagation_timer::PropagationTimer;

/// Intervals of the polls of the fleet and of the status lines.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout for the load and the jobs to end after the time of the demo.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// Applies a manifest, withdraws a key and reports, while load and jobs run.
pub fn run(arguments: &CliArguments, demo: &DemoArguments) -> Result<(), CommandError> {
    let client = AdminClient::new(arguments)?;
    let manifest = read_text(&demo.manifest)?;
    let key = read_text(&demo.withdraw)?;
    let key = KeyText::parse(key.trim()).context("the file of --withdraw holds no key")?;
    let jobs = JobBatch::new(&demo.callers, &demo.service, &read_text(&demo.job_key)?);
    let timer = PropagationTimer::new(&client, &demo.callers);
    let mut demo_run = DemoRun {
        client: &client,
        monitor: FleetMonitor::new(),
        jobs,
        start: Instant::now(),
        seconds: Duration::from_secs(demo.seconds),
    };

    demo_run.run_until(1.0 / 3.0);
    demo_run.print_line("applying a changed manifest");
    let applied = timer.apply(&manifest)?;
    demo_run.print_line(&format!("in force everywhere after {applied:.0?}"));

    demo_run.run_until(2.0 / 3.0);
    demo_run.print_line(&format!("withdrawing the key {}", key.key_id));
    let withdrawn = timer.withdraw(&key)?;
    demo_run.print_line(&format!(
        "accepted, and refused by every entry host after {withdrawn:.0?}"
    ));

    demo_run.run_until(1.0);
    demo_run.wait_for_end(&demo.load)?;
    println!();
    let result = LoadResult::read(&demo.load, &demo.runs)?;
    result.print();
    demo_run.jobs.print();
    println!();
    demo_run.monitor.print();
    println!();
    println!("manifest in force everywhere after  {applied:.0?}");
    println!("withdrawn key refused after         {withdrawn:.0?}");
    let mut violations = [result.violations(), demo_run.monitor.violations()].concat();
    violations.extend(demo_run.jobs.violations());
    if violations.is_empty() {
        println!("\nevery promise was kept");
        return Ok(());
    }
    Err(anyhow::anyhow!("broken promises: {}", violations.join("; ")).into())
}

/// State of a running demo.
struct DemoRun<'a> {
    client: &'a AdminClient,
    monitor: FleetMonitor,
    jobs: JobBatch,
    start: Instant,
    seconds: Duration,
}

impl DemoRun<'_> {
    fn print_line(&self, text: &str) {
        println!("{:>5.1}s  {text}", self.start.elapsed().as_secs_f64());
    }

    /// Submits jobs and polls the fleet until `fraction` of the time has passed, and prints status
    /// lines.
    fn run_until(&mut self, fraction: f64) {
        let mut next_line = self.start.elapsed();
        while self.elapsed_fraction() < fraction {
            self.jobs.advance(self.elapsed_fraction());
            self.monitor.poll(self.client);
            if next_line <= self.start.elapsed() {
                self.print_line(&self.monitor.status_line());
                next_line += LINE_INTERVAL;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the load has written its reports and every job has ended.
    fn wait_for_end(&mut self, reports: &[PathBuf]) -> Result<(), CommandError> {
        let deadline = self.start.elapsed() + END_TIMEOUT;
        let mut is_load_done = false;
        while self.start.elapsed() < deadline {
            is_load_done = reports.iter().all(|path| is_report(path));
            self.jobs.refresh();
            if is_load_done && self.jobs.all_ended() {
                return Ok(());
            }
            self.monitor.poll(self.client);
            thread::sleep(POLL_INTERVAL);
        }
        match is_load_done {
            true => Ok(()),
            false => Err(anyhow::anyhow!("the load did not end in time").into()),
        }
    }

    fn elapsed_fraction(&self) -> f64 {
        self.start.elapsed().div_duration_f64(self.seconds)
    }
}

/// Returns whether the load tool has written its report completely.
fn is_report(path: &Path) -> bool {
    let text = fs::read(path).unwrap_or_default();
    serde_json::from_slice::<serde_json::Value>(&text).is_ok()
}
