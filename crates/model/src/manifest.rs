use std::{collections::BTreeMap, time::Duration};

use crate::{PoolId, ServiceId, TeamId, WorkspaceId};

/// Desired state declared by operators: pools, services, teams, windows and workspaces.
///
/// Operators submit it as INI text, see `docs/MANIFEST.md`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Manifest {
    /// Name of the deployment.
    pub name: String,
    /// Pools by id.
    pub pools: BTreeMap<PoolId, PoolSpec>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Teams by id.
    pub teams: BTreeMap<TeamId, TeamSpec>,
    /// Maintenance windows by name.
    pub windows: BTreeMap<String, WindowSpec>,
    /// Workspaces by id.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
}

/// What the hosts of a pool do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostRole {
    /// Executes short requests synchronously.
    #[default]
    Executor,
    /// Runs jobs as tasks under leases.
    Worker,
}

impl HostRole {
    /// Name of the role in manifests and in the host list.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Executor => "executor",
            Self::Worker => "worker",
        }
    }
}

/// One pool of hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// What the hosts of the pool do.
    pub role: HostRole,
    /// Desired number of hosts.
    pub size: u32,
    /// Availability budget: the number of hosts that must be in service at all times.
    pub budget: u32,
    /// Slots of each host: requests or tasks that it runs concurrently.
    pub slots: u32,
    /// Maximum number of connections to each executor, over all entry hosts.
    pub connections: u32,
    /// Whether the pool provides replacement hosts for the other pools of its role.
    pub spare: bool,
    /// Name of the maintenance window; empty for none.
    pub window: String,
}

impl Default for PoolSpec {
    fn default() -> Self {
        Self {
            role: HostRole::Executor,
            size: 8,
            budget: 6,
            slots: 8,
            connections: 64,
            spare: false,
            window: String::new(),
        }
    }
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// Pool whose executors answer the service's requests.
    pub pool: PoolId,
    /// Pool whose workers run the service's jobs; empty for none.
    pub worker_pool: PoolId,
}

/// One team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// Weight of the team when pools are full.
    pub share: u32,
    /// Maximum number of requests and tasks that the team may run at once in the whole fleet.
    pub limit: u32,
}

impl Default for TeamSpec {
    fn default() -> Self {
        Self {
            share: 1,
            limit: 16,
        }
    }
}

/// One daily maintenance window, in UTC.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WindowSpec {
    /// Start, as time since midnight UTC.
    pub start: Duration,
    /// Length; a window of 24 hours is always open.
    pub length: Duration,
    /// Interval between two maintenances of one host.
    pub every: Duration,
    /// Maximum number of hosts of one pool that may be in maintenance at once.
    pub at_once: u32,
}

/// One workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceSpec {
    /// Team that the workspace belongs to.
    pub team: TeamId,
    /// Maximum number of tasks that the workspace may run at once.
    pub limit: u32,
}
