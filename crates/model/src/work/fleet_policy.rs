use std::time::Duration;

use compact_str::CompactString;

use crate::{PoolId, Revision, WorkspaceId};

use super::ResourceVector;

/// Policy that operators have set for the fleet, at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetPolicy {
    /// Revision of the policy. It grows with each change.
    pub revision: Revision,
    /// Queues that callers submit jobs to.
    pub queues: Vec<QueuePolicy>,
    /// Pools of hosts.
    pub pools: Vec<PoolPolicy>,
    /// Workspaces, with their API keys and limits.
    pub workspaces: Vec<WorkspacePolicy>,
    /// Largest body of a caller's request, in bytes.
    pub max_body: usize,
}

/// Policy of one queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueuePolicy {
    /// Its name.
    pub name: CompactString,
    /// Host name that callers address.
    pub host: CompactString,
    /// Prefix of the request path.
    pub prefix: CompactString,
    /// Pool whose targets run the queue's tasks.
    pub pool: PoolId,
    /// Priority of the queue; smaller numbers go first.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the objective: a job's objective is its critical path times this factor plus
    /// `slack_time`.
    pub slack_factor: f64,
    /// Constant part of the objective.
    pub slack_time: Duration,
    /// Whether callers may submit without an API key.
    pub public: bool,
    /// Advice service that restricts the targets of a step; `None` if all targets are allowed.
    pub advice: Option<AdvicePolicy>,
}

/// Upper limit of the times of an advice service.
const MAX_ADVICE_TIME: Duration = Duration::from_secs(3600);

/// Response times and validity of a queue's advice service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdvicePolicy {
    /// Fixed part of the response time.
    pub fixed: Duration,
    /// Additional response time per target in the request.
    pub per_target: Duration,
    /// How long a ticket is valid.
    pub valid: Duration,
}

impl AdvicePolicy {
    /// Returns how long the service works on a request that names this many targets; an hour at most,
    /// so that sums and multiples of it stay in range.
    pub fn call_time(&self, targets: usize) -> Duration {
        let targets = u32::try_from(targets).unwrap_or(u32::MAX);
        let naming = self.per_target.saturating_mul(targets);
        self.fixed.saturating_add(naming).min(MAX_ADVICE_TIME)
    }

    /// Returns how long a ticket is valid; an hour at most.
    pub fn ticket_validity(&self) -> Duration {
        self.valid.min(MAX_ADVICE_TIME)
    }
}

/// Policy of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolPolicy {
    /// Its name.
    pub name: PoolId,
    /// Whether hosts in this pool are switched off.
    pub standby: bool,
}

/// Policy of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkspacePolicy {
    /// Its name.
    pub name: WorkspaceId,
    /// API keys of its callers.
    pub keys: Vec<CompactString>,
    /// Weight of its share when demand exceeds the capacity.
    pub weight: u32,
    /// Limit of the resources that its tasks may use at once; a component of zero means no limit.
    pub limit: ResourceVector,
}

impl FleetPolicy {
    /// Returns the queue that serves `host` and `path`: the one with the longest matching prefix.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&QueuePolicy> {
        let matching = self
            .queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(queue.prefix.as_str()));
        matching.max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &str) -> Option<&QueuePolicy> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&PoolPolicy> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &str) -> Option<&WorkspacePolicy> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == name)
    }

    /// Returns the workspace that an API key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<&WorkspacePolicy> {
        let has_key =
            |workspace: &&WorkspacePolicy| workspace.keys.iter().any(|own_key| own_key == key);
        self.workspaces.iter().find(has_key)
    }
}
