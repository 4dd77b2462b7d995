use std::time::Duration;

use compact_str::CompactString;

use crate::{PoolId, Revision, WorkspaceId};

use super::ResourceVector;

/// Everything that operators ask for at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetPolicy {
    /// Grows with each change.
    pub revision: Revision,
    /// Queues that callers hand jobs in to.
    pub queues: Vec<QueuePolicy>,
    /// Pools of hosts.
    pub pools: Vec<PoolPolicy>,
    /// Workspaces, with their keys and limits.
    pub workspaces: Vec<WorkspacePolicy>,
    /// Largest body of a caller's request, in bytes.
    pub max_body: usize,
}

/// One queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueuePolicy {
    /// Its name.
    pub name: CompactString,
    /// Host name that callers address.
    pub host: CompactString,
    /// What the path begins with.
    pub prefix: CompactString,
    /// Pool whose targets run its tasks.
    pub pool: PoolId,
    /// Queues with smaller numbers come first.
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// The objective is this many times the longest chain of work, and
    pub slack_factor: f64,
    /// this much time more.
    pub slack_time: Duration,
    /// Whether callers need no key.
    pub public: bool,
    /// Whose advice says which targets may run a step; `None` if all may.
    pub advice: Option<AdvicePolicy>,
}

/// How a queue's advice service answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdvicePolicy {
    /// Fixed part of an answer's time.
    pub fixed: Duration,
    /// Part for each target that is asked about.
    pub per_target: Duration,
    /// How long a ticket counts.
    pub valid: Duration,
}

/// One pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolPolicy {
    /// Its name.
    pub name: PoolId,
    /// Whether its hosts are switched off.
    pub standby: bool,
}

/// One workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkspacePolicy {
    /// Its name.
    pub name: WorkspaceId,
    /// Keys that its callers present.
    pub keys: Vec<CompactString>,
    /// Its share when all is full.
    pub weight: u32,
    /// Most that it may have running; zero parts mean no limit.
    pub limit: ResourceVector,
}

impl FleetPolicy {
    /// The queue that answers `host` and `path`: the one with the longest prefix.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&QueuePolicy> {
        let matching = self
            .queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(queue.prefix.as_str()));
        matching.max_by_key(|queue| queue.prefix.len())
    }

    /// The queue of a name.
    pub fn queue(&self, name: &str) -> Option<&QueuePolicy> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// The pool of a name.
    pub fn pool(&self, name: &str) -> Option<&PoolPolicy> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// The workspace of a name.
    pub fn workspace(&self, name: &str) -> Option<&WorkspacePolicy> {
        self.workspaces.iter().find(|space| space.name == name)
    }

    /// The workspace that a key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<&WorkspacePolicy> {
        let holds = |space: &&WorkspacePolicy| space.keys.iter().any(|own| own == key);
        self.workspaces.iter().find(holds)
    }
}
