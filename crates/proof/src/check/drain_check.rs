use std::time::Duration;

use crate::{History, HistoryCheck};

/// A target in graceful shutdown gets no new work after a few seconds, and no run on it is
/// cut off.
#[derive(Clone, Copy, Debug)]
pub struct DrainCheck {
    /// Time after which no work may be sent to it.
    pub quiet_within: Duration,
}

impl HistoryCheck for DrainCheck {
    fn name(&self) -> &'static str {
        "drains"
    }

    fn findings(&self, history: &History) -> Vec<String> {
        let margin = u64::try_from(self.quiet_within.as_nanos()).unwrap_or(u64::MAX);
        let mut findings = Vec::new();
        for drain in &history.drains {
            let quiet_ns = drain.begin_ns.saturating_add(margin);
            if drain.last_attempt_ns > quiet_ns {
                let late = drain.last_attempt_ns - drain.begin_ns;
                findings.push(format!(
                    "{} was sent work {late} ns into its drain",
                    drain.host
                ));
            }
            let until_ns = if drain.end_ns == 0 {
                u64::MAX
            } else {
                drain.end_ns
            };
            for run in history.runs.iter().filter(|run| run.host == drain.host) {
                if run.run.start_ns > quiet_ns && run.run.start_ns < until_ns {
                    findings.push(format!("{} started {} late", drain.host, run.run.nonce));
                }
            }
        }
        for run in history.runs.iter().filter(|run| run.run.cut) {
            findings.push(format!("{} cut off {}", run.host, run.run.nonce));
        }
        findings
    }
}
