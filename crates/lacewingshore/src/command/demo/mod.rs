//! The demo: operates a running fleet through its main job and reports what became of it.
//!
//! `scripts/demo` starts the stand-ins, the entry hosts and the load, because the program
//! itself starts no process. This command changes the manifest and withdraws a key while
//! the load and a maintenance wave run, watches the fleet, and sums up.

mod fleet_watch;
mod force_timer;
mod job_batch;
mod load_result;

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
use fleet_watch::FleetWatch;
use force_timer::ForceTimer;
use job_batch::JobBatch;
use load_result::LoadResult;

/// How often the fleet is looked at, and how often a line says what was seen.
const LOOK: Duration = Duration::from_millis(250);
const LINE: Duration = Duration::from_secs(2);
/// How long load and jobs may take beyond their time to end.
const END_PATIENCE: Duration = Duration::from_secs(60);

/// Operates a running fleet through its main job.
pub fn run(arguments: &CliArguments, demo: &DemoArguments) -> Result<(), CommandError> {
    let client = AdminClient::new(arguments)?;
    let manifest = read_text(&demo.manifest)?;
    let key = read_text(&demo.withdraw)?;
    let key = KeyText::parse(key.trim()).context("the file of --withdraw holds no key")?;
    let jobs = JobBatch::new(&demo.callers, &demo.service, &read_text(&demo.job_key)?);
    let timer = ForceTimer::new(&client, &demo.callers);
    let mut show = DemoShow {
        client: &client,
        watch: FleetWatch::new(),
        jobs,
        start: Instant::now(),
        seconds: Duration::from_secs(demo.seconds),
    };

    show.run_until(1.0 / 3.0);
    show.say("applying a changed manifest");
    let applied = timer.apply(&manifest)?;
    show.say(&format!("in force everywhere after {applied:.0?}"));

    show.run_until(2.0 / 3.0);
    show.say(&format!("withdrawing the key {}", key.key_id));
    let withdrawn = timer.withdraw(&key)?;
    show.say(&format!(
        "accepted, and refused by every entry host after {withdrawn:.0?}"
    ));

    show.run_until(1.0);
    show.wait_for_end(&demo.load)?;
    println!();
    let result = LoadResult::read(&demo.load, &demo.runs)?;
    result.print();
    show.jobs.print();
    println!();
    show.watch.print();
    println!();
    println!("manifest in force everywhere after  {applied:.0?}");
    println!("withdrawn key refused after         {withdrawn:.0?}");
    let mut broken = [result.broken(), show.watch.broken()].concat();
    broken.extend(show.jobs.broken());
    if broken.is_empty() {
        println!("\nevery promise was kept");
        return Ok(());
    }
    Err(anyhow::anyhow!("broken promises: {}", broken.join("; ")).into())
}

/// What goes on while the demo runs.
struct DemoShow<'a> {
    client: &'a AdminClient,
    watch: FleetWatch,
    jobs: JobBatch,
    start: Instant,
    seconds: Duration,
}

impl DemoShow<'_> {
    fn say(&self, text: &str) {
        println!("{:>5.1}s  {text}", self.start.elapsed().as_secs_f64());
    }

    /// Submits jobs and watches the fleet until `part` of the time, with a line now and then.
    fn run_until(&mut self, part: f64) {
        let mut next_line = self.start.elapsed();
        while self.part() < part {
            self.jobs.step(self.part());
            self.watch.look(self.client);
            if next_line <= self.start.elapsed() {
                self.say(&self.watch.line());
                next_line += LINE;
            }
            thread::sleep(LOOK);
        }
    }

    /// Waits until the load has written its reports and every job has ended.
    fn wait_for_end(&mut self, reports: &[PathBuf]) -> Result<(), CommandError> {
        let deadline = self.start.elapsed() + END_PATIENCE;
        let mut is_loaded = false;
        while self.start.elapsed() < deadline {
            is_loaded = reports.iter().all(|path| is_report(path));
            self.jobs.refresh();
            if is_loaded && self.jobs.is_over() {
                return Ok(());
            }
            self.watch.look(self.client);
            thread::sleep(LOOK);
        }
        match is_loaded {
            true => Ok(()),
            false => Err(anyhow::anyhow!("the load did not end in time").into()),
        }
    }

    fn part(&self) -> f64 {
        self.start.elapsed().div_duration_f64(self.seconds)
    }
}

/// True once the load tool has written its report whole.
fn is_report(path: &Path) -> bool {
    let text = fs::read(path).unwrap_or_default();
    serde_json::from_slice::<serde_json::Value>(&text).is_ok()
}
