//! Open-loop load tool: sends requests at seeded arrival times and reports what came back.
//!
//! Start with [`LoadArgs`] for what can be asked. Arrivals do not wait for answers, and a
//! latency counts from when the request was due, so that a stalled system can't hide its
//! delays. Answers are checked byte by byte against what the stand-in executor must say.

mod load_args;
mod load_report;
mod load_run;
mod stream_plan;

use std::fs;

use anyhow::{Context, Result};
use load_args::LoadArgs;
use load_report::LoadReport;

fn main() -> Result<()> {
    let args: LoadArgs = argh::from_env();
    let streams = args.streams()?;
    let mut reports = Vec::new();
    if !args.baseline.is_empty() {
        let outcomes = load_run::run(&args, &streams, &args.baseline, true)?;
        reports.push(LoadReport::new("direct", &args, &streams, &outcomes));
    }
    let outcomes = load_run::run(&args, &streams, &args.url, false)?;
    reports.push(LoadReport::new("through", &args, &streams, &outcomes));
    for report in &reports {
        print!("{}", report.table());
    }
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&reports)?;
        fs::write(file, text).with_context(|| format!("write {file}"))?;
    }
    Ok(())
}
