use std::collections::BTreeMap;

use crate::{History, HistoryCheck, HostRun};

/// A non-idempotent request runs at most once: no two runs carry the same mark, whatever
/// retries the system and the caller made.
#[derive(Clone, Copy, Debug, Default)]
pub struct OnceCheck;

impl HistoryCheck for OnceCheck {
    fn name(&self) -> &'static str {
        "at-most-once"
    }

    fn findings(&self, history: &History) -> Vec<String> {
        let mut runs = BTreeMap::<&str, Vec<String>>::new();
        for HostRun { host, run } in &history.runs {
            if !run.idempotent {
                let place = format!("{host} at {} as {}", run.start_ns, run.request);
                runs.entry(&run.nonce).or_default().push(place);
            }
        }
        runs.iter()
            .filter(|(_, places)| places.len() > 1)
            .map(|(nonce, places)| format!("{nonce} ran on {}", places.join(", ")))
            .collect()
    }
}
