use std::collections::BTreeMap;

use prost::Message;
use wire::state::QuotaRecord;

use crate::{History, HistoryCheck, decode_hex};

/// Quota grants never exceed the limit that they split, by the store's record of writes.
///
/// After a limit was lowered the sum may lie above it, but must not grow.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantCheck;

impl HistoryCheck for GrantCheck {
    fn name(&self) -> &'static str {
        "quota-grants"
    }

    fn findings(&self, history: &History) -> Vec<String> {
        let mut findings = Vec::new();
        let mut sums = BTreeMap::<&str, u64>::new();
        for write in history
            .writes
            .iter()
            .filter(|w| w.key.starts_with("quota/"))
        {
            let Some(record) = decode_hex(&write.value)
                .and_then(|value| QuotaRecord::decode(value.as_slice()).ok())
            else {
                findings.push(format!("{} unreadable at {}", write.key, write.at_ns));
                continue;
            };
            let sum = record
                .grants
                .iter()
                .map(|grant| u64::from(grant.units))
                .sum();
            let before = sums.insert(&write.key, sum).unwrap_or_default();
            if sum > u64::from(record.limit) && sum > before {
                findings.push(format!(
                    "{} grants {sum} of {} at {}, {before} before",
                    write.key, record.limit, write.at_ns
                ));
            }
        }
        findings
    }
}
