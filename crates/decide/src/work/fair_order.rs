use std::collections::BTreeMap;

use model::{BootTime, PoolId, WorkspaceId};

/// Time constant in seconds of the usage that counts: about the length of a burst. A workspace that
/// has used much more than its share waits for about as long as others need what they missed.
const USAGE_WINDOW_SECS: f64 = 3.0;
/// Usage below this many core-seconds is forgotten.
const MIN_USAGE: f64 = 0.01;

/// Order in which the workspaces of a pool take turns at starting work.
///
/// Fair-share scheduling by decaying usage, see [18](../../../../docs/design/18-competition.md):
/// workspaces that have recently started less work than their share go first, in whatever order is
/// best for their jobs. The others follow by how many times their share they have used. So a
/// workspace gets its share however much others ask for, and jobs of workspaces within their shares
/// are never delayed for the sake of an exact balance.
#[derive(Clone, Debug, Default)]
pub struct FairOrder {
    pools: BTreeMap<PoolId, BTreeMap<WorkspaceId, RecentUsage>>,
}

/// Work that a workspace has started, in core-seconds, with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct RecentUsage {
    work: f64,
    updated_at: BootTime,
}

impl FairOrder {
    /// Records that a workspace started work, in core-seconds.
    pub fn record_start(
        &mut self,
        pool: &PoolId,
        workspace: &WorkspaceId,
        work: f64,
        now: BootTime,
    ) {
        let usages = self.pools.entry(pool.clone()).or_default();
        let usage = usages.entry(workspace.clone()).or_default();
        usage.work = usage.at(now) + work;
        usage.updated_at = now;
        usages.retain(|_, usage| usage.at(now) >= MIN_USAGE);
    }

    /// Returns the turn of a workspace in a pool in which `share` cores are due to it. Smaller goes
    /// first; zero while it has used less than its share.
    pub fn turn(&self, pool: &PoolId, workspace: &WorkspaceId, share: f64, now: BootTime) -> u32 {
        let usages = self.pools.get(pool);
        let usage = usages.and_then(|usages| usages.get(workspace));
        let work = usage.map_or(0.0, |usage| usage.at(now));
        let due = (share * USAGE_WINDOW_SECS).max(f64::MIN_POSITIVE);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a whole number of shares, and casts saturate"
        )]
        let turn = (work / due) as u32;
        turn
    }
}

impl RecentUsage {
    fn at(&self, now: BootTime) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.work * (-elapsed / USAGE_WINDOW_SECS).exp()
    }
}
