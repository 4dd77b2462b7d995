use compact_str::CompactString;

use crate::{HostId, PoolId};

use super::{FencingToken, ResourceVector};

/// What a host of the fleet is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostCondition {
    /// In service.
    Up,
    /// On its way to another pool.
    Moving,
    /// Down for maintenance.
    UnderMaintenance,
    /// Down for another reason.
    #[default]
    Down,
}

/// One host of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetHost {
    /// The machine's name, which stays through moves and maintenance.
    pub host: HostId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// What it does.
    pub condition: HostCondition,
    /// All its labels.
    pub labels: Vec<CompactString>,
    /// Room in all.
    pub capacity: ResourceVector,
    /// Its present life as a target; empty for none.
    pub target: HostId,
}

/// What became of an order to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrderAnswer {
    /// Done, or done before: everything on the host has ended.
    Done,
    /// A newer owner has given orders to the host.
    Fenced,
    /// The host is not up, or is leaving.
    Busy,
    /// The host does not belong to the wave.
    NotOfWave,
    /// No such host, or the pool takes other hosts.
    Impossible,
    /// Nothing was done for now.
    Refused(String),
    /// It may have been done.
    Unanswered(String),
}

/// Who gives an order to a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderSender {
    /// Name of the entry host that owns the cell.
    pub holder: CompactString,
    /// Token of its ownership.
    pub token: FencingToken,
}
