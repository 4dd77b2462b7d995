use std::collections::BTreeMap;

use model::RunFate;

use crate::{BootNanos, History, HistoryCheck, RequestOp, RequestOutcome};

/// A refusal that says the work was not run is true.
///
/// A caller may retry after such a refusal, so that a run is explained by any attempt with
/// the same mark that began before the run started and was not refused that way.
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
        findings
    }
}

fn explains(op: &RequestOp, start_ns: BootNanos) -> bool {
    let not_run = matches!(
        op.outcome,
        RequestOutcome::Refused {
            fate: RunFate::NotRun,
            ..
        } | RequestOutcome::NotConnected
    );
    !not_run && op.span.invoke_ns <= start_ns
}
