//! Which submissions are checked with the owner before their payload is sent.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use model::BootTime;

/// How long a refusal is taken as a sign that the owner refuses the queue's next submissions too.
const REFUSAL_MEMORY: Duration = Duration::from_secs(5);

/// Queues to which the owner of a cell refused a submission.
///
/// A process that serves callers sends the next submission to such a queue as a dry run first,
/// which has no payload. While an owner refuses most submissions, their payloads would take the
/// bandwidth that the answers of targets need, and it would start fewer tasks, see
/// `docs/design/13-platform.md`. The owner is asked about each job all the same, because it may have
/// accepted the job in a call whose answer was lost.
#[derive(Clone, Debug, Default)]
pub struct RefusedQueues {
    refused_at: BTreeMap<CompactString, BootTime>,
}

impl RefusedQueues {
    /// True if a submission to this queue should begin with a dry run.
    pub fn needs_dry_run(&self, queue: &str, now: BootTime) -> bool {
        let refused = self.refused_at.get(queue);
        refused.is_some_and(|&refused| is_recent(refused, now))
    }

    /// Records that the owner refused a submission or its dry run.
    pub fn record_refusal(&mut self, queue: &str, now: BootTime) {
        self.refused_at
            .retain(|_, &mut refused| is_recent(refused, now));
        self.refused_at.insert(queue.into(), now);
    }

    /// Records that the owner accepted a submission.
    pub fn record_acceptance(&mut self, queue: &str) {
        self.refused_at.remove(queue);
    }
}

fn is_recent(refused: BootTime, now: BootTime) -> bool {
    now.saturating_sub(refused) < REFUSAL_MEMORY
}
