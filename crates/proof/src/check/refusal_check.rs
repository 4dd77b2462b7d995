use std::collections::BTreeMap;

use model::RunFate;

use crate::{BootNanos, History, HistoryCheck, RequestOp, RequestOutcome};

/// A refusal that says the work was not run is true.
///
/// It is read in two ways. By attempt: a caller may retry after such a refusal, so that a
/// run is explained by any attempt with the same mark that began before the run started and
/// was not refused that way. By request id: a non-idempotent request that a caller names by
/// an id must not be called "not run" once a target has run that id in an earlier attempt,
/// since the caller would then order anew.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalCheck;

impl HistoryCheck for RefusalCheck {
    fn name(&self) -> &'static str {
        "true-refusals"
    }

    fn findings(&self, history: &History) -> Vec<String> {
        let mut attempts = BTreeMap::<&str, Vec<&RequestOp>>::new();
        for op in &history.requests {
            attempts.entry(&op.nonce).or_default().push(op);
        }
        let mut findings = Vec::new();
        for run in &history.runs {
            let Some(attempts) = attempts.get(run.run.nonce.as_str()) else {
                continue;
            };
            if !attempts.iter().any(|op| explains(op, run.run.start_ns)) {
                findings.push(format!(
                    "{} ran on {} at {}, but every attempt until then was refused as not run",
                    run.run.nonce, run.host, run.run.start_ns
                ));
            }
        }
        findings.extend(denied_runs(history));
        findings
    }
}

/// Refusals as not run of an id that had run already.
fn denied_runs(history: &History) -> Vec<String> {
    let mut starts = BTreeMap::<&str, BootNanos>::new();
    for run in &history.runs {
        let first = starts.entry(&run.run.request).or_insert(BootNanos::MAX);
        *first = run.run.start_ns.min(*first);
    }
    let denied = history.requests.iter().filter(|op| {
        let ran = starts.get(op.request.as_str());
        !op.idempotent && says_not_run(op) && ran.is_some_and(|at| *at < op.span.response_ns)
    });
    denied
        .map(|op| {
            format!(
                "{} was called not run by {}, but it ran",
                op.request, op.entry
            )
        })
        .collect()
}

fn says_not_run(op: &RequestOp) -> bool {
    let RequestOutcome::Refused { fate, .. } = &op.outcome else {
        return false;
    };
    *fate == RunFate::NotRun
}

fn explains(op: &RequestOp, start_ns: BootNanos) -> bool {
    let not_run = says_not_run(op) || op.outcome == RequestOutcome::NotConnected;
    !not_run && op.span.invoke_ns <= start_ns
}
