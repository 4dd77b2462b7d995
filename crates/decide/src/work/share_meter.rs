use std::collections::BTreeMap;

use model::{BootTime, WorkspaceId};

/// Tells which jobs a workspace hands in beyond its share.
///
/// The pattern it answers: one workspace sends many times its usual. What is within its weight,
/// in jobs a second, is owed to it; the rest goes last, so that nobody else is crowded out, and
/// its own owed jobs are not either.
#[derive(Clone, Debug, Default)]
pub struct ShareMeter {
    buckets: BTreeMap<WorkspaceId, ShareBucket>,
}

/// Jobs that a workspace may still hand in at once.
#[derive(Clone, Copy, Debug)]
struct ShareBucket {
    left: f64,
    filled: BootTime,
}

impl ShareMeter {
    /// Notes a job; true if it is beyond the workspace's `weight` in jobs a second. A weight of
    /// zero means no share of its own, and then nothing is beyond it.
    pub fn is_beyond(&mut self, workspace: &WorkspaceId, weight: u32, now: BootTime) -> bool {
        if weight == 0 {
            return false;
        }
        let weight = f64::from(weight);
        let bucket = self
            .buckets
            .entry(workspace.clone())
            .or_insert(ShareBucket {
                left: weight,
                filled: now,
            });
        let passed = now.saturating_sub(bucket.filled).as_secs_f64();
        bucket.filled = now;
        bucket.left = (bucket.left + passed * weight).min(weight);
        if bucket.left < 1.0 {
            return true;
        }
        bucket.left -= 1.0;
        false
    }
}
