use std::{
    collections::{BTreeMap, HashMap},
    path::PathBuf,
    thread,
    time::Duration,
};

use anyhow::Context;
use decide::share::{ShareClaim, fair_split};
use serde::Deserialize;

use crate::{command::read_text, exit::CommandError, table::TextTable};

/// Largest list of runs that is read, in bytes.
const MAX_RUNS: u64 = 256 * 1024 * 1024;

/// Results of the load, as recorded by callers and targets.
#[derive(Debug, Default)]
pub struct LoadResult {
    streams: Vec<StreamResult>,
    /// Number of runs that the targets record.
    runs: usize,
    /// Number of non-idempotent requests that ran more than once.
    repeated_requests: usize,
}

/// The fields of a load tool report that are shown.
#[derive(Debug, Default, Deserialize)]
struct LoadReport {
    mode: String,
    streams: Vec<StreamResult>,
}

/// Results of one team's requests.
#[derive(Debug, Default, Deserialize)]
struct StreamResult {
    team: String,
    sent: u64,
    answered: u64,
    mismatched: u64,
    lost: u64,
    refused: BTreeMap<String, u64>,
    p50_ms: f64,
    p99_ms: f64,
    urgent_p99_ms: f64,
    share_got: f64,
    share_due: f64,
}

/// One run that a stand-in executor records.
#[derive(Debug, Deserialize)]
struct RunRecord {
    request: String,
    idempotent: bool,
}

impl LoadResult {
    /// Reads the reports of the load tool, and the runs that the stand-ins at `runs` list.
    pub fn read(reports: &[PathBuf], runs: &str) -> Result<Self, CommandError> {
        let mut result = Self::default();
        for path in reports {
            let text = read_text(path)?;
            let modes: Vec<LoadReport> =
                serde_json::from_str(&text).with_context(|| format!("read {}", path.display()))?;
            let through = modes.into_iter().filter(|report| report.mode == "through");
            let streams = through.flat_map(|report| report.streams);
            result
                .streams
                .extend(streams.filter(|stream| stream.team != "all"));
        }
        result.count_runs(runs)?;
        Ok(result)
    }

    /// Prints a row for each team, and the refusals by reason.
    pub fn print(&self) {
        let mut table = TextTable::new(&[
            "TEAM", "SENT", "FINISHED", "REFUSED", "LOST", "WRONG", "P50 MS", "P99 MS", "URGENT99",
            "SHARE", "DUE",
        ]);
        for (stream, due) in self.streams.iter().zip(self.due_shares()) {
            let refused: u64 = stream.refused.values().sum();
            table.add(vec![
                stream.team.clone(),
                stream.sent.to_string(),
                stream.answered.to_string(),
                refused.to_string(),
                stream.lost.to_string(),
                stream.mismatched.to_string(),
                format!("{:.1}", stream.p50_ms),
                format!("{:.1}", stream.p99_ms),
                format!("{:.1}", stream.urgent_p99_ms),
                format!("{:.1}%", stream.share_got * 100.0),
                format!("{:.1}%", due * 100.0),
            ]);
        }
        table.print();
        let mut reasons: BTreeMap<&str, u64> = BTreeMap::new();
        for (reason, count) in self.streams.iter().flat_map(|stream| &stream.refused) {
            *reasons.entry(reason).or_default() += count;
        }
        for (reason, count) in reasons {
            println!("refused as {reason}: {count}");
        }
        println!(
            "runs on the targets: {}, run twice: {}",
            self.runs, self.repeated_requests
        );
    }

    /// Failures that must not occur: lost or wrong answers, and requests that ran twice.
    pub fn violations(&self) -> Vec<String> {
        let lost: u64 = self.streams.iter().map(|stream| stream.lost).sum();
        let wrong: u64 = self.streams.iter().map(|stream| stream.mismatched).sum();
        let counts = [
            (lost, "requests got no answer"),
            (wrong, "answers were not whole or not the caller's own"),
            (self.repeated_requests as u64, "requests ran twice"),
        ];
        let violations = counts.iter().filter(|(count, _)| *count > 0);
        violations
            .map(|(count, text)| format!("{count} {text}"))
            .collect()
    }

    /// Each team's fair fraction of all finished requests by weight, at most what the team
    /// requested.
    fn due_shares(&self) -> Vec<f64> {
        let finished: u64 = self.streams.iter().map(|stream| stream.answered).sum();
        let claims: Vec<ShareClaim> = self
            .streams
            .iter()
            .map(|stream| ShareClaim {
                demand: stream.sent as f64,
                weight: stream.share_due,
            })
            .collect();
        let parts = fair_split(finished as f64, &claims);
        let whole = finished.max(1) as f64;
        parts.into_iter().map(|part| part / whole).collect()
    }

    fn count_runs(&mut self, targets: &str) -> Result<(), CommandError> {
        let mut counts: HashMap<String, usize> = HashMap::new();
        for url in targets
            .split(',')
            .map(str::trim)
            .filter(|url| !url.is_empty())
        {
            let text = read_runs(url)?;
            let runs: Vec<RunRecord> =
                serde_json::from_str(&text).with_context(|| format!("read the runs of {url}"))?;
            self.runs += runs.len();
            for run in runs.into_iter().filter(|run| !run.idempotent) {
                *counts.entry(run.request).or_default() += 1;
            }
        }
        self.repeated_requests = counts.values().filter(|count| **count > 1).count();
        Ok(())
    }
}

/// Reads the runs of one stand-in; retries, as it may be rebooting in the maintenance wave.
fn read_runs(url: &str) -> Result<String, CommandError> {
    const TRIES: usize = 40;
    let read = || {
        ureq::get(format!("{url}/fake/runs"))
            .call()
            .and_then(|mut answer| {
                let body = answer.body_mut().with_config();
                body.limit(MAX_RUNS).read_to_string()
            })
    };
    let mut answer = read();
    for _ in 0..TRIES {
        if answer.is_ok() {
            break;
        }
        thread::sleep(Duration::from_millis(250));
        answer = read();
    }
    Ok(answer.with_context(|| format!("read the runs of {url}"))?)
}
