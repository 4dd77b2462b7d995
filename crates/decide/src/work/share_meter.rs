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
    tokens: f64,
    refilled_at: BootTime,
}

impl ShareMeter {
    /// Notes a job; true if it is beyond the workspace's `weight` in jobs a second. A weight of
    /// zero means no share of its own, and then nothing is beyond it.
    pub fn record_job(&mut self, workspace: &WorkspaceId, weight: u32, now: BootTime) -> bool {
        if weight == 0 {
            return false;
        }
        let weight = f64::from(weight);
        let bucket = self
            .buckets
            .entry(workspace.clone())
            .or_insert(ShareBucket {
                tokens: weight,
                refilled_at: now,
            });
        bucket.tokens = bucket.tokens_at(weight, now);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return true;
        }
        bucket.tokens -= 1.0;
        false
    }

    /// True if a job that a workspace hands in now would be beyond its `weight`.
    pub fn would_be_beyond(&self, workspace: &str, weight: u32, now: BootTime) -> bool {
        let bucket = self.buckets.get(workspace);
        weight > 0 && bucket.is_some_and(|bucket| bucket.tokens_at(f64::from(weight), now) < 1.0)
    }
}

impl ShareBucket {
    fn tokens_at(&self, weight: f64, now: BootTime) -> f64 {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens + passed * weight).min(weight)
    }
}
