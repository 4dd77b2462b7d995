use compact_str::CompactString;

use crate::{DataCentreId, HostId, PoolId};

use super::{FencingToken, ResourceVector};

/// State of a host in the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostCondition {
    /// In service.
    Up,
    /// Being moved to another pool.
    Moving,
    /// Down for maintenance.
    UnderMaintenance,
    /// Down for any other reason.
    #[default]
    Down,
}

/// One host of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetHost {
    /// Name of the machine. It stays the same across moves and maintenance.
    pub host: HostId,
    /// Pool that the host belongs to.
    pub pool: PoolId,
    /// Current state.
    pub condition: HostCondition,
    /// Data centre that the host is in; empty if unknown.
    pub data_centre: DataCentreId,
    /// All labels of the host.
    pub labels: Vec<CompactString>,
    /// Total resources.
    pub capacity: ResourceVector,
    /// Target id of the host's current incarnation; empty if it has none.
    pub target: HostId,
}

/// Answer to an order to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrderAnswer {
    /// Carried out, now or earlier. Everything that ran on the host has ended.
    Done,
    /// Refused because a newer owner has sent orders to the host.
    Fenced,
    /// The host is not up, or is leaving its pool.
    Busy,
    /// The host is not part of the maintenance wave.
    NotOfWave,
    /// The host does not exist, or the pool does not accept it. Retrying does not help.
    Impossible,
    /// Refused for now, with the reason. Nothing was done.
    Refused(String),
    /// No answer, with the reason. The order may have been carried out.
    Unanswered(String),
}

/// Sender of an order to a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderSender {
    /// Name of the entry host that owns the cell.
    pub holder: CompactString,
    /// Fencing token of the ownership.
    pub token: FencingToken,
}
