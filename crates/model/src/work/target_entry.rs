use std::time::Duration;

use compact_str::CompactString;

use crate::{DataCentreId, HostId, PoolId, RackId};

use super::ResourceVector;

/// Whether a target takes new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetMode {
    /// Takes new tasks.
    #[default]
    Ready,
    /// Finishes what runs and leaves.
    Draining,
}

/// What a target says of itself in the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetEntry {
    /// Its id, which names one life of a host.
    pub target: HostId,
    /// Where it listens, as `ip:port`.
    pub address: CompactString,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Its rack.
    pub rack: RackId,
    /// All its labels, the rack's among them.
    pub labels: Vec<CompactString>,
    /// Room in all.
    pub capacity: ResourceVector,
    /// Whether it takes new tasks.
    pub mode: TargetMode,
    /// When this life began, since the Unix epoch; a target may restart under its id.
    pub started_at: Duration,
}
