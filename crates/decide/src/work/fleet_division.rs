use std::collections::BTreeMap;

use model::{PoolId, WorkspaceId};

use crate::max_min::{ShareClaim, divide_max_min};

/// What a pool needs of the fleet, in cores.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolNeed {
    /// The pool.
    pub pool: PoolId,
    /// Cores that the pool keeps in any case: for long-running tasks, for anti-affinity and for the
    /// first tasks of a burst.
    pub reserved: f64,
    /// Cores beyond these that each workspace can use for work that still counts.
    pub claims: BTreeMap<WorkspaceId, f64>,
    /// Cores beyond these for work that is too late to count.
    pub deferrable: f64,
}

/// Divides the cores of the fleet among pools that together want more than there is.
///
/// What is left after the reserved cores goes first to work that can still count: weighted max-min
/// fair to the workspaces, and each workspace's part in equal parts to the pools that it needs. So
/// neither a workspace nor a pool gains by asking for more than its part. Only what remains goes to
/// work that is too late to count.
pub fn divide_fleet(
    total: f64,
    needs: &[PoolNeed],
    weight: impl Fn(&WorkspaceId) -> f64,
) -> BTreeMap<PoolId, f64> {
    let reserved: f64 = needs.iter().map(|need| need.reserved).sum();
    let left = (total - reserved).max(0.0);
    let mut parts = parts_of_workspaces(left, needs, weight);
    let left = left - parts.iter().sum::<f64>();
    let deferrable = needs
        .iter()
        .map(|need| equal_claim(need.deferrable))
        .collect::<Vec<_>>();
    let deferred = divide_max_min(left, &deferrable);
    for (part, (need, deferred)) in parts.iter_mut().zip(needs.iter().zip(deferred)) {
        *part += need.reserved + deferred;
    }
    let pools = needs.iter().map(|need| need.pool.clone());
    pools.zip(parts).collect()
}

/// Divides `total` among workspaces, and returns what each pool gets of all of them.
fn parts_of_workspaces(
    total: f64,
    needs: &[PoolNeed],
    weight: impl Fn(&WorkspaceId) -> f64,
) -> Vec<f64> {
    let mut demands: BTreeMap<&WorkspaceId, f64> = BTreeMap::new();
    for (workspace, cores) in needs.iter().flat_map(|need| &need.claims) {
        *demands.entry(workspace).or_default() += cores;
    }
    let claims: Vec<ShareClaim> = demands
        .iter()
        .map(|(workspace, &demand)| ShareClaim {
            demand,
            weight: weight(workspace),
        })
        .collect();
    let amounts = divide_max_min(total, &claims);
    let mut parts = vec![0.0; needs.len()];
    for (workspace, amount) in demands.keys().zip(amounts) {
        let in_pool = |need: &PoolNeed| need.claims.get(*workspace).copied().unwrap_or_default();
        let claims: Vec<ShareClaim> = needs
            .iter()
            .map(|need| equal_claim(in_pool(need)))
            .collect();
        for (part, cores) in parts.iter_mut().zip(divide_max_min(amount, &claims)) {
            *part += cores;
        }
    }
    parts
}

fn equal_claim(demand: f64) -> ShareClaim {
    ShareClaim {
        demand,
        weight: 1.0,
    }
}
