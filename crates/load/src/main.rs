//! Open-loop load generator: sends requests at seeded arrival times and reports the results.
//!
//! [`LoadArgs`] lists the options. Arrivals do not wait for responses, and latency is
//! measured from the time a request was due, so that a stalled system can't hide its delays.
//! Responses are compared byte by byte with the expected response of the fake executor.

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
