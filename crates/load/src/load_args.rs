use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use argh::FromArgs;

use crate::stream_plan::StreamPlan;

/// Send open-loop load to entry hosts and report latency, refusals and shares.
///
/// A stream is written as team=T,key=K,rate=R with optional parts service_ms=5,
/// urgent=0.1 (fraction), idempotent=1 (fraction), body=100 (bytes), answer=100 (bytes),
/// peak=5 (times the mean rate, once every period_s=4 seconds; a twentieth of the mean
/// between peaks) and share=1 (weight of the team, for the report).
#[derive(Debug, FromArgs)]
pub struct LoadArgs {
    /// base URL of an entry host; may be repeated, requests rotate over them
    #[argh(option)]
    pub url: Vec<String>,
    /// base URL of an executor to measure directly first, for comparison; may be repeated
    #[argh(option)]
    pub baseline: Vec<String>,
    /// service to call
    #[argh(option)]
    pub service: String,
    /// one team's load; may be repeated
    #[argh(option)]
    stream: Vec<String>,
    /// length of the load in seconds (default 10)
    #[argh(option, default = "10.0")]
    pub seconds: f64,
    /// seconds at the start that the report leaves out (default 0)
    #[argh(option, default = "0.0")]
    pub warm_up: f64,
    /// deadline of each request in milliseconds (default 10000)
    #[argh(option, default = "10_000")]
    pub deadline_ms: u64,
    /// maximum requests of one stream in flight (default 256); further ones are queued here
    #[argh(option, default = "256")]
    pub threads: usize,
    /// seed of the arrivals (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// file for the report as JSON
    #[argh(option)]
    pub json: Option<String>,
}

impl LoadArgs {
    /// Parses and validates the streams.
    ///
    /// # Errors
    /// If `--url` or `--stream` is missing, or a part of a stream is invalid.
    pub fn streams(&self) -> Result<Vec<StreamPlan>> {
        ensure!(!self.url.is_empty(), "--url is missing");
        ensure!(!self.stream.is_empty(), "--stream is missing");
        self.stream.iter().map(|text| parse_stream(text)).collect()
    }

    /// Duration of the load.
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

fn parse_stream(text: &str) -> Result<StreamPlan> {
    let mut plan = StreamPlan::default();
    for part in text.split(',') {
        let Some((name, value)) = part.split_once('=') else {
            bail!("--stream {text}: {part} is not name=value");
        };
        set_part(&mut plan, name, value).with_context(|| format!("--stream {text}: {part}"))?;
    }
    ensure!(0.0 < plan.rate, "--stream {text}: rate must be above 0");
    Ok(plan)
}

fn set_part(plan: &mut StreamPlan, name: &str, value: &str) -> Result<()> {
    match name {
        "team" => plan.team = value.to_owned(),
        "key" => plan.key = value.to_owned(),
        "rate" => plan.rate = value.parse()?,
        "service_ms" => plan.service = Duration::from_secs_f64(value.parse::<f64>()? / 1000.0),
        "urgent" => plan.urgent = value.parse()?,
        "idempotent" => plan.idempotent = value.parse()?,
        "body" => plan.body_bytes = value.parse()?,
        "answer" => plan.answer_bytes = value.parse()?,
        "peak" => plan.peak = value.parse()?,
        "period_s" => plan.period = Duration::from_secs_f64(value.parse()?),
        "share" => plan.share = value.parse()?,
        _ => bail!("no such part"),
    }
    Ok(())
}
