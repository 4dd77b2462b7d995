use std::time::Duration;

use model::WorkspaceId;

use crate::max_min::{ShareClaim, divide_max_min};

/// Part of a pool's cores that tasks can use, since they do not pack onto hosts without gaps.
const PACKED_FRACTION: f64 = 0.9;
/// Time from the order to move a host until it runs tasks.
const HOST_LEAD_TIME: Duration = Duration::from_secs(2);
/// Time within which a workspace's backlog is to be started when shares are computed.
const BACKLOG_HORIZON_SECS: f64 = 1.0;
/// Upper limit of a predicted wait.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Cores of a pool for tasks that are not long-running.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolCores {
    /// Cores of the hosts that can run tasks now.
    pub present: f64,
    /// The same once all hosts that are on their way have arrived.
    pub soon: f64,
}

/// What one workspace needs of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceLoad {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Weight of its share.
    pub weight: f64,
    /// Rate at which it offers work, in cores.
    pub offered: f64,
    /// Unstarted work of its accepted jobs that can still count, in core-seconds.
    pub backlog: f64,
}

/// Predicts how long a job of `workspace` would wait for its start in a pool.
///
/// The pool's cores are divided among the workspaces that use it, weighted max-min fair by what
/// they offer and what they wait for. So the wait depends on the workspace's own backlog and on its
/// share of the cores, and a workspace that offers many times its share only delays itself.
pub fn predict_wait(cores: PoolCores, loads: &[WorkspaceLoad], workspace: &str) -> Duration {
    let own = loads.iter().position(|load| load.workspace == workspace);
    let Some(own) = own.filter(|&own| loads[own].backlog > 0.0) else {
        return Duration::ZERO;
    };
    let backlog = loads[own].backlog;
    let now = own_cores(cores.present, loads, own);
    let lead = HOST_LEAD_TIME.as_secs_f64();
    if now * lead >= backlog {
        return seconds(backlog / now);
    }
    let soon = own_cores(cores.soon, loads, own);
    seconds(lead + (backlog - now * lead) / soon)
}

/// Returns the cores of `total` that are due to the workspace at index `own`.
fn own_cores(total: f64, loads: &[WorkspaceLoad], own: usize) -> f64 {
    let claim = |load: &WorkspaceLoad| ShareClaim {
        demand: load.offered + load.backlog / BACKLOG_HORIZON_SECS,
        weight: load.weight,
    };
    let claims: Vec<ShareClaim> = loads.iter().map(claim).collect();
    divide_max_min(total * PACKED_FRACTION, &claims)[own]
}

fn seconds(seconds: f64) -> Duration {
    match seconds.is_finite() {
        true => Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT.as_secs_f64())),
        false => MAX_WAIT,
    }
}
