use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{BootNanos, ChangeEffect, ChangeResult, History, HistoryCheck};

/// No team has more running than its upper limit, by the targets' own records.
///
/// At each start the team's runs that overlap it are counted against the largest limit that
/// may have been in force: a limit counts from when it was asked for until `force_within`
/// after the acceptance of the one that replaced it. Work that already ran when a limit was
/// lowered may end.
#[derive(Clone, Copy, Debug)]
pub struct LimitCheck {
    /// Longest time between acceptance and force everywhere.
    pub force_within: Duration,
}

/// A limit and when it may have been in force.
#[derive(Clone, Copy, Debug)]
struct LimitSpan {
    limit: u32,
    from_ns: BootNanos,
    until_ns: BootNanos,
}

impl HistoryCheck for LimitCheck {
    fn name(&self) -> &'static str {
        "team-limits"
    }

    fn findings(&self, history: &History) -> Vec<String> {
        let spans = self.limit_spans(history);
        let teams: BTreeSet<&str> = history.runs.iter().map(|run| &*run.run.team).collect();
        teams
            .into_iter()
            .filter_map(|team| {
                let spans = spans.get(team).map_or(&[][..], Vec::as_slice);
                first_excess(history, team, spans)
            })
            .collect()
    }
}

impl LimitCheck {
    fn limit_spans<'a>(&self, history: &'a History) -> BTreeMap<&'a str, Vec<LimitSpan>> {
        let margin = u64::try_from(self.force_within.as_nanos()).unwrap_or(u64::MAX);
        let mut changes: Vec<_> = history.changes.iter().collect();
        changes.sort_by_key(|change| change.span.invoke_ns);
        let mut spans = BTreeMap::<&str, Vec<LimitSpan>>::new();
        for change in changes {
            let ChangeEffect::Manifest { limits } = &change.effect else {
                continue;
            };
            let accepted = match change.outcome {
                ChangeResult::Accepted { .. } => Some(change.span.response_ns),
                ChangeResult::Unclear => None,
                ChangeResult::Conflict { .. } | ChangeResult::NotRecorded => continue,
            };
            for (team, limit) in limits {
                let spans = spans.entry(team).or_default();
                if let Some(accepted) = accepted {
                    for span in spans.iter_mut() {
                        span.until_ns = span.until_ns.min(accepted.saturating_add(margin));
                    }
                }
                spans.push(LimitSpan {
                    limit: *limit,
                    from_ns: change.span.invoke_ns,
                    until_ns: BootNanos::MAX,
                });
            }
        }
        spans
    }
}

/// Sweeps over the starts and ends of a team's runs.
fn first_excess(history: &History, team: &str, spans: &[LimitSpan]) -> Option<String> {
    let mut points = Vec::<(BootNanos, bool)>::new();
    for run in history.runs.iter().filter(|run| run.run.team == team) {
        points.push((run.run.start_ns, true));
        if run.run.end_ns != 0 {
            points.push((run.run.end_ns, false));
        }
    }
    // At equal times ends go first: they do not overlap.
    points.sort_unstable();
    let mut running = 0_u32;
    for (at, is_start) in points {
        if !is_start {
            running -= 1;
            continue;
        }
        running += 1;
        let limit = spans
            .iter()
            .filter(|span| span.from_ns <= at && at <= span.until_ns)
            .map(|span| span.limit)
            .max()
            .unwrap_or_default();
        if running > limit {
            return Some(format!(
                "{team} had {running} running at {at}, limit {limit}"
            ));
        }
    }
    None
}
