use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    load_args::LoadArgs,
    load_run::{EndKind, RequestOutcome},
    stream_plan::StreamPlan,
};

/// Upper bound of the latency histogram, in microseconds. A histogram without a bound starts
/// with a range of a few microseconds, and saturating records never make it grow.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

const SHARE_WINDOW: Duration = Duration::from_secs(10);
const SHARE_STEP: Duration = Duration::from_secs(1);

/// Results of one run of the load.
#[derive(Debug, Serialize)]
pub struct LoadReport {
    /// `direct` for executors called without the system, `through` for entry hosts.
    pub mode: &'static str,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Measured time in seconds, without the warm-up.
    pub seconds: f64,
    /// Largest difference between a stream's fraction of the slot time and its fair share, in
    /// any ten seconds; meaningful only while all streams ask for more than their share.
    pub worst_share_error: f64,
    /// One row per stream, then one for all streams.
    pub streams: Vec<StreamReport>,
}

/// Results of one stream.
#[derive(Debug, Default, Serialize)]
pub struct StreamReport {
    /// The team, or `all`.
    pub team: String,
    /// Requests sent.
    pub sent: u64,
    /// Expected responses.
    pub answered: u64,
    /// Successful responses with an unexpected body.
    pub mismatched: u64,
    /// Requests without a complete HTTP response.
    pub lost: u64,
    /// Refusals by problem and fate.
    pub refused: BTreeMap<String, u64>,
    /// Expected responses per second.
    pub answered_per_second: f64,
    /// Median latency of expected responses from the planned send time, in milliseconds.
    pub p50_ms: f64,
    /// The same, 99th percentile.
    pub p99_ms: f64,
    /// The same, maximum.
    pub max_ms: f64,
    /// The same for urgent requests only, 99th percentile.
    pub urgent_p99_ms: f64,
    /// The same for urgent requests only, maximum.
    pub urgent_max_ms: f64,
    /// Fraction of all slot time that this team received.
    pub share_got: f64,
    /// Fair share of this team by weight, if all teams ask for more than their share.
    pub share_due: f64,
}

impl LoadReport {
    /// Summarises the requests that were due after the warm-up. Shares count only the responses
    /// that arrived before the end of the load.
    pub fn new(
        mode: &'static str,
        args: &LoadArgs,
        streams: &[StreamPlan],
        outcomes: &[RequestOutcome],
    ) -> Self {
        let from = Duration::from_secs_f64(args.warm_up);
        let seconds = args.seconds - args.warm_up;
        let counted: Vec<&RequestOutcome> = outcomes
            .iter()
            .filter(|outcome| from <= outcome.planned.due)
            .collect();
        let weight: f64 = streams.iter().map(|stream| stream.share).sum();
        let slot_time = |stream: usize| slot_time(streams, outcomes, stream, from, args.length());
        let total: f64 = (0..streams.len()).map(slot_time).sum();
        let mut rows = Vec::new();
        for (index, stream) in streams.iter().enumerate() {
            let stream_outcomes = counted
                .iter()
                .copied()
                .filter(|outcome| outcome.planned.stream == index);
            let mut row = StreamReport::new(&stream.team, seconds, stream_outcomes);
            row.share_got = if 0.0 < total {
                slot_time(index) / total
            } else {
                0.0
            };
            row.share_due = stream.share / weight;
            rows.push(row);
        }
        rows.push(StreamReport::new("all", seconds, counted.iter().copied()));
        Self {
            mode,
            seed: args.seed,
            seconds,
            worst_share_error: worst_share_error(args, streams, outcomes),
            streams: rows,
        }
    }

    /// Formats the report as an aligned table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<8} {:<12} {:>7} {:>8} {:>6} {:>5} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7} {:>7}\n",
            self.mode,
            "team",
            "sent",
            "answered",
            "wrong",
            "lost",
            "refused",
            "per_s",
            "p50_ms",
            "p99_ms",
            "urgent99",
            "got",
            "due"
        );
        for row in &self.streams {
            let refused: u64 = row.refused.values().sum();
            let _ = writeln!(
                text,
                "{:<8} {:<12} {:>7} {:>8} {:>6} {:>5} {:>8} {:>8.1} {:>8.2} {:>8.2} {:>9.2} {:>6.2}% {:>6.2}%",
                "",
                row.team,
                row.sent,
                row.answered,
                row.mismatched,
                row.lost,
                refused,
                row.answered_per_second,
                row.p50_ms,
                row.p99_ms,
                row.urgent_p99_ms,
                row.share_got * 100.0,
                row.share_due * 100.0
            );
            for (problem, count) in &row.refused {
                let _ = writeln!(text, "{:<21} refused {problem}: {count}", "");
            }
        }
        let _ = writeln!(
            text,
            "{:<21} worst share error in any {} s: {:.2}%",
            "",
            SHARE_WINDOW.as_secs(),
            self.worst_share_error * 100.0
        );
        text
    }
}

fn worst_share_error(args: &LoadArgs, streams: &[StreamPlan], outcomes: &[RequestOutcome]) -> f64 {
    let weight: f64 = streams.iter().map(|stream| stream.share).sum();
    let mut worst = 0.0_f64;
    let mut from = Duration::from_secs_f64(args.warm_up);
    while from + SHARE_WINDOW <= args.length() {
        let until = from + SHARE_WINDOW;
        let got: Vec<f64> = (0..streams.len())
            .map(|stream| slot_time(streams, outcomes, stream, from, until))
            .collect();
        let total: f64 = got.iter().sum();
        for (stream, got) in streams.iter().zip(&got) {
            let part = if 0.0 < total { got / total } else { 0.0 };
            worst = worst.max((part - stream.share / weight).abs());
        }
        from += SHARE_STEP;
    }
    worst
}

// Slot time of a stream's expected responses that ended between `from` and `until`.
fn slot_time(
    streams: &[StreamPlan],
    outcomes: &[RequestOutcome],
    stream: usize,
    from: Duration,
    until: Duration,
) -> f64 {
    let counts = |outcome: &&RequestOutcome| {
        outcome.planned.stream == stream
            && outcome.end == EndKind::Answered
            && from <= outcome.ended
            && outcome.ended <= until
    };
    let count = outcomes.iter().filter(counts).count();
    count as f64 * streams[stream].service.as_secs_f64()
}

impl StreamReport {
    fn new<'a>(
        team: &str,
        seconds: f64,
        outcomes: impl Iterator<Item = &'a RequestOutcome>,
    ) -> Self {
        let mut report = Self {
            team: team.to_owned(),
            ..Self::default()
        };
        let mut all = LatencyHistogram::default();
        let mut urgent = LatencyHistogram::default();
        for outcome in outcomes {
            report.sent += 1;
            match &outcome.end {
                EndKind::Answered => {
                    report.answered += 1;
                    all.add(outcome);
                    if outcome.planned.urgent {
                        urgent.add(outcome);
                    }
                }
                EndKind::Mismatched => report.mismatched += 1,
                EndKind::Lost => report.lost += 1,
                EndKind::Refused { problem, fate } => {
                    *report
                        .refused
                        .entry(format!("{problem} {fate}"))
                        .or_default() += 1;
                }
            }
        }
        report.answered_per_second = report.answered as f64 / seconds.max(f64::EPSILON);
        report.p50_ms = all.quantile_ms(0.5);
        report.p99_ms = all.quantile_ms(0.99);
        report.max_ms = all.quantile_ms(1.0);
        report.urgent_p99_ms = urgent.quantile_ms(0.99);
        report.urgent_max_ms = urgent.quantile_ms(1.0);
        report
    }
}

#[derive(Default)]
struct LatencyHistogram {
    histogram: Option<Histogram<u64>>,
}

impl LatencyHistogram {
    fn add(&mut self, outcome: &RequestOutcome) {
        let latency = outcome.ended.saturating_sub(outcome.planned.due);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if self.histogram.is_none() {
            self.histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).ok();
        }
        if let Some(histogram) = &mut self.histogram {
            // A latency above the bound is not recorded.
            let _ = histogram.record(micros);
        }
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        let Some(histogram) = &self.histogram else {
            return 0.0;
        };
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    }
}
