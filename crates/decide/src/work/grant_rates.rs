use std::collections::BTreeMap;

use compact_str::CompactString;

/// Number of grants that count before anything was observed: queues whose policy treats their steps
/// alike are the usual case.
const PRIOR: f64 = 2.0;
/// Factor by which earlier observations lose weight with each further one.
const DECAY: f64 = 0.95;

/// How often the advice service grants targets for the steps of a queue.
///
/// A policy may allow all steps of a queue the same targets or each step others. In the second case
/// a request that names only targets granted before often gets no ticket.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantRates {
    queues: BTreeMap<CompactString, QueueRates>,
}

#[derive(Clone, Copy, Debug, Default)]
struct QueueRates {
    /// Of the targets that were granted for another step of the queue before.
    repeated: GrantRate,
    /// Of all targets.
    all: GrantRate,
}

/// Decaying counts of targets.
#[derive(Clone, Copy, Debug, Default)]
struct GrantRate {
    named: f64,
    granted: f64,
}

impl GrantRates {
    /// Records whether a target was granted. `repeated` says that it was granted for another step of
    /// the queue before.
    pub(super) fn record(&mut self, queue: &CompactString, repeated: bool, granted: bool) {
        let rates = self.queues.entry(queue.clone()).or_default();
        rates.all.record(granted);
        if repeated {
            rates.repeated.record(granted);
        }
    }

    /// Returns the expected share that is granted of the targets granted for other steps before,
    /// between 0 and 1.
    pub(super) fn expected_of_repeated(&self, queue: &str) -> f64 {
        self.rates(queue).repeated.expected()
    }

    /// Returns the expected share of all targets that is granted, between 0 and 1.
    pub(super) fn expected_of_all(&self, queue: &str) -> f64 {
        self.rates(queue).all.expected()
    }

    /// Keeps only the queues for which `is_known` returns true.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.queues.retain(|queue, _| is_known(queue));
    }

    fn rates(&self, queue: &str) -> QueueRates {
        self.queues.get(queue).copied().unwrap_or_default()
    }
}

impl GrantRate {
    fn record(&mut self, granted: bool) {
        self.named = self.named * DECAY + 1.0;
        self.granted = self.granted * DECAY + f64::from(u8::from(granted));
    }

    fn expected(self) -> f64 {
        (self.granted + PRIOR) / (self.named + PRIOR)
    }
}
