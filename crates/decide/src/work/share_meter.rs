use std::collections::BTreeMap;

use model::{BootTime, WorkspaceId};

/// Detects jobs that a workspace submits beyond its share.
///
/// A workspace may send many times its usual load. Its weight, in jobs a second, is its share; jobs
/// beyond it are started last, so that they delay neither the jobs of other workspaces nor the
/// workspace's own jobs within the share. The implementation is a token bucket for each workspace.
#[derive(Clone, Debug, Default)]
pub struct ShareMeter {
    buckets: BTreeMap<WorkspaceId, ShareBucket>,
}

/// Number of jobs that a workspace may submit at once within its share.
#[derive(Clone, Copy, Debug)]
struct ShareBucket {
    tokens: f64,
    refilled_at: BootTime,
}

impl ShareMeter {
    /// Records a submitted job and returns true if it is beyond the workspace's `weight` in jobs a
    /// second. A weight of zero means that the workspace has no share; no job is beyond it.
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

    /// Returns true if a job submitted now would be beyond the workspace's `weight`.
    pub fn would_be_beyond(&self, workspace: &str, weight: u32, now: BootTime) -> bool {
        let bucket = self.buckets.get(workspace);
        weight > 0 && bucket.is_some_and(|bucket| bucket.tokens_at(f64::from(weight), now) < 1.0)
    }
}

impl ShareBucket {
    fn tokens_at(&self, weight: f64, now: BootTime) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed * weight).min(weight)
    }
}
