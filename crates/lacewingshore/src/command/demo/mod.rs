//! The demo: operates a running fleet through its main job and reports what became of it.
//!
//! `scripts/demo` starts the stand-ins, the entry hosts and the load, because the program
//! itself starts no process. This command changes the manifest and withdraws a key while
//! the load and a maintenance wave run, watches the fleet, and sums up.

mod fleet_watch;
mod force_timer;
mod load_result;

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use model::KeyText;

use crate::{
    args::{Arguments, DemoArguments},
    client::AdminClient,
    command::read_text,
    exit::CommandError,
};
use fleet_watch::FleetWatch;
use force_timer::ForceTimer;
use load_result::LoadResult;

/// How often the fleet is looked at, and how often a line says what was seen.
const LOOK: Duration = Duration::from_millis(250);
const LINE: Duration = Duration::from_secs(2);
/// How long the load may take beyond its time to end.
const LOAD_PATIENCE: Duration = Duration::from_secs(60);

/// Operates a running fleet through its main job.
pub fn run(arguments: &Arguments, demo: &DemoArguments) -> Result<(), CommandError> {
    let client = AdminClient::new(arguments)?;
    let manifest = read_text(&demo.manifest)?;
    let key = read_text(&demo.withdraw)?;
    let key = KeyText::parse(key.trim()).context("the file of --withdraw holds no key")?;
    let timer = ForceTimer::new(&client, &demo.callers);
    let mut watch = FleetWatch::new();
    let start = Instant::now();
    let seconds = Duration::from_secs(demo.seconds);

    run_until(&mut watch, &client, start, seconds / 3);
    println!(
        "{:>5.1}s  applying a changed manifest",
        start.elapsed().as_secs_f64()
    );
    let applied = timer.apply(&manifest)?;
    println!(
        "{:>5.1}s  in force everywhere after {applied:.0?}",
        start.elapsed().as_secs_f64()
    );

    run_until(&mut watch, &client, start, seconds * 2 / 3);
    println!(
        "{:>5.1}s  withdrawing the key {}",
        start.elapsed().as_secs_f64(),
        key.key_id
    );
    let withdrawn = timer.withdraw(&key)?;
    println!(
        "{:>5.1}s  accepted, and refused by every entry host after {withdrawn:.0?}",
        start.elapsed().as_secs_f64()
    );

    run_until(&mut watch, &client, start, seconds);
    wait_for_load(demo, &mut watch, &client, start)?;
    println!();
    let result = LoadResult::read(&demo.load, &demo.runs)?;
    result.print();
    println!();
    watch.print();
    println!();
    println!("manifest in force everywhere after  {applied:.0?}");
    println!("withdrawn key refused after         {withdrawn:.0?}");
    let broken = [result.broken(), watch.broken()].concat();
    if broken.is_empty() {
        println!("\nevery promise was kept");
        return Ok(());
    }
    Err(anyhow::anyhow!("broken promises: {}", broken.join("; ")).into())
}

/// Watches the fleet until `until` after `start`, with a line now and then.
fn run_until(watch: &mut FleetWatch, client: &AdminClient, start: Instant, until: Duration) {
    let mut next_line = start.elapsed();
    while start.elapsed() < until {
        watch.look(client);
        if next_line <= start.elapsed() {
            println!("{:>5.1}s  {}", start.elapsed().as_secs_f64(), watch.line());
            next_line += LINE;
        }
        thread::sleep(LOOK);
    }
}

fn wait_for_load(
    demo: &DemoArguments,
    watch: &mut FleetWatch,
    client: &AdminClient,
    start: Instant,
) -> Result<(), CommandError> {
    let deadline = start.elapsed() + LOAD_PATIENCE;
    while start.elapsed() < deadline {
        let is_whole = |path: &std::path::PathBuf| {
            fs::read(path)
                .is_ok_and(|text| serde_json::from_slice::<serde_json::Value>(&text).is_ok())
        };
        if demo.load.iter().all(is_whole) {
            return Ok(());
        }
        watch.look(client);
        thread::sleep(LOOK);
    }
    Err(anyhow::anyhow!("the load did not end in time").into())
}
