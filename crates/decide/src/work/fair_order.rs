use std::collections::BTreeMap;

use model::{BootTime, PoolId, WorkspaceId};

use super::decaying_sum::DecayingSum;

/// Time constant in seconds of the usage that counts: about the length of a burst. A workspace that
/// has used much more than its share waits for about as long as others need what they missed.
const USAGE_WINDOW_SECS: f64 = 3.0;
/// Usage below this many core-seconds is forgotten.
const MIN_USAGE: f64 = 0.01;

/// Order in which the workspaces of a pool take turns at starting work.
///
/// Fair-share scheduling by decaying usage, see `docs/design/18-competition.md`:
/// workspaces that have recently started less work than their share go first, in whatever order is
/// best for their jobs. The others follow by how many times their share they have used. So a
/// workspace gets its share however much others ask for, and jobs of workspaces within their shares
/// are never delayed for the sake of an exact balance.
#[derive(Clone, Debug, Default)]
pub struct FairOrder {
    /// Work that each workspace has recently started in each pool, in core-seconds.
    usages: BTreeMap<PoolId, BTreeMap<WorkspaceId, DecayingSum>>,
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
        let usages = self.usages.entry(pool.clone()).or_default();
        let usage = usages.entry(workspace.clone());
        let usage = usage.or_insert_with(|| DecayingSum::new(USAGE_WINDOW_SECS));
        usage.add(work, now);
        usages.retain(|_, usage| usage.at(now) >= MIN_USAGE);
    }

    /// Returns the turn of a workspace in a pool in which `share` cores are due to it. Smaller goes
    /// first; zero while it has used less than its share.
    pub fn turn(&self, pool: &PoolId, workspace: &WorkspaceId, share: f64, now: BootTime) -> u32 {
        let usages = self.usages.get(pool);
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
