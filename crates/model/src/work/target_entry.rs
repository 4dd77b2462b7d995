use std::time::Duration;

use compact_str::CompactString;

use crate::{DataCentreId, HostId, PoolId, RackId};

use super::ResourceVector;

/// Whether a target accepts new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetMode {
    /// Accepts new tasks.
    #[default]
    Ready,
    /// Finishes its running tasks and then leaves the pool.
    Draining,
}

/// Entry of a target in the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of the target, which identifies one incarnation of a host.
    pub target: HostId,
    /// Address that it listens on, as `ip:port`.
    pub address: CompactString,
    /// Pool of the target.
    pub pool: PoolId,
    /// Data centre of the target.
    pub data_centre: DataCentreId,
    /// Rack of the target.
    pub rack: RackId,
    /// All labels, including that of the rack.
    pub labels: Vec<CompactString>,
    /// Total resources.
    pub capacity: ResourceVector,
    /// Whether it accepts new tasks.
    pub mode: TargetMode,
    /// Start of this incarnation since the Unix epoch; a target may restart under the same id.
    pub started_at: Duration,
}
