use std::{collections::BTreeMap, time::Duration};

use crate::{PoolId, ServiceId, TeamId, WorkspaceId};

/// What the operators promise and allow: pools, services, teams, windows and workspaces.
///
/// A manifest reaches the system as INI text, see `docs/MANIFEST.md`.
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
    /// Answers short requests while the caller waits.
    #[default]
    Executor,
    /// Runs jobs as tasks under leases.
    Worker,
}

impl HostRole {
    /// Name of the role, as manifests and the host list write it.
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
    /// How many hosts the pool should have.
    pub size: u32,
    /// How many hosts must be in service at every moment: the availability budget.
    pub budget: u32,
    /// Slots of each host.
    pub slots: u32,
    /// Connections that each executor allows across all entry hosts.
    pub connections: u32,
    /// True for the pool that lends its hosts to the others.
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
    /// Weight of the team when everything is full.
    pub share: u32,
    /// Most requests and tasks that the team may have running across the fleet.
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

/// One maintenance window, a span of each day in UTC.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WindowSpec {
    /// Start, as time since midnight UTC.
    pub start: Duration,
    /// Length; a whole day leaves the window always open.
    pub length: Duration,
    /// How often each host is maintained.
    pub every: Duration,
    /// Most hosts of one pool that may be out for maintenance at once.
    pub at_once: u32,
}

/// One workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceSpec {
    /// Team that the workspace belongs to.
    pub team: TeamId,
    /// Most tasks that the workspace may have running.
    pub limit: u32,
}
