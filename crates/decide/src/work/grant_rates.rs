use std::collections::BTreeMap;

use compact_str::CompactString;

/// Number of grants that count before anything was observed: queues whose policy treats their steps
/// alike are the usual case.
const PRIOR: f64 = 2.0;
/// Factor by which earlier observations lose weight with each further one.
const DECAY: f64 = 0.95;

/// How often a target that the advice service granted for a step is granted for other steps of the
/// same queue.
///
/// A policy may allow all steps of a queue the same targets or each step others. In the second case
/// a request that names only targets granted before often gets no ticket.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantRates {
    queues: BTreeMap<CompactString, GrantRate>,
}

/// Decaying counts of targets that were granted before.
#[derive(Clone, Copy, Debug, Default)]
struct GrantRate {
    named: f64,
    granted: f64,
}

impl GrantRates {
    /// Records whether a target was granted that was granted for another step of the queue before.
    pub(super) fn record(&mut self, queue: &CompactString, granted: bool) {
        let rate = self.queues.entry(queue.clone()).or_default();
        rate.named = rate.named * DECAY + 1.0;
        rate.granted = rate.granted * DECAY + f64::from(u8::from(granted));
    }

    /// Returns the expected share of such targets that are granted, between 0 and 1.
    pub(super) fn expected(&self, queue: &str) -> f64 {
        let rate = self.queues.get(queue).copied().unwrap_or_default();
        (rate.granted + PRIOR) / (rate.named + PRIOR)
    }

    /// Keeps only the queues for which `is_known` returns true.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.queues.retain(|queue, _| is_known(queue));
    }
}
