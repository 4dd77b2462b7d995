use std::{collections::BTreeMap, time::Duration};

use crate::{ChangeResult, ForceOp, History, HistoryCheck};

/// An accepted configuration is in force everywhere within `force_within` and never
/// reverts: no entry host shows an older revision after a newer one, over restarts too, no
/// two show the same revision with different hashes, and none that serves lacks a revision
/// that was accepted longer ago.
#[derive(Clone, Copy, Debug)]
pub struct ForceCheck {
    /// Longest time between acceptance and force everywhere.
    pub force_within: Duration,
}

impl HistoryCheck for ForceCheck {
    fn name(&self) -> &'static str {
        "configuration"
    }

    fn findings(&self, history: &History) -> Vec<String> {
        let mut findings = reverted(&history.forces);
        findings.extend(forked(&history.forces));
        findings.extend(self.behind(history));
        findings
    }
}

impl ForceCheck {
    fn behind(&self, history: &History) -> Vec<String> {
        let margin = u64::try_from(self.force_within.as_nanos()).unwrap_or(u64::MAX);
        let mut findings = Vec::new();
        for change in &history.changes {
            let ChangeResult::Accepted { revision, .. } = change.outcome else {
                continue;
            };
            let due_ns = change.span.response_ns.saturating_add(margin);
            let lacking = history
                .forces
                .iter()
                .filter(|op| op.serving && op.span.invoke_ns > due_ns && op.revision < revision);
            findings.extend(lacking.map(|op| {
                format!(
                    "{} served with revision {} at {}, but {revision} was accepted at {}",
                    op.member, op.revision, op.span.invoke_ns, change.span.response_ns
                )
            }));
        }
        findings
    }
}

/// Only observations that do not overlap are ordered.
fn reverted(forces: &[ForceOp]) -> Vec<String> {
    let mut by_member = BTreeMap::<&str, Vec<&ForceOp>>::new();
    for op in forces {
        by_member.entry(&op.member).or_default().push(op);
    }
    let mut findings = Vec::new();
    for (member, mut ops) in by_member {
        ops.sort_by_key(|op| op.span.invoke_ns);
        for (index, later) in ops.iter().enumerate() {
            let earlier = ops[..index]
                .iter()
                .filter(|op| op.span.response_ns < later.span.invoke_ns)
                .max_by_key(|op| op.revision);
            if let Some(earlier) = earlier
                && earlier.revision > later.revision
            {
                findings.push(format!(
                    "{member} went back from revision {} to {} at {}",
                    earlier.revision, later.revision, later.span.invoke_ns
                ));
            }
        }
    }
    findings
}

fn forked(forces: &[ForceOp]) -> Vec<String> {
    let mut hashes = BTreeMap::<u64, &ForceOp>::new();
    let mut findings = Vec::new();
    for op in forces {
        let first = hashes.entry(op.revision).or_insert(op);
        if first.hash != op.hash {
            findings.push(format!(
                "revision {} has hash {} on {} and {} on {}",
                op.revision, first.hash, first.member, op.hash, op.member
            ));
        }
    }
    findings
}
