use std::time::Duration;

use crate::HostId;

/// Number of a maintenance wave, as operators count them.
pub type WaveId = u64;

/// Hosts that operators want maintained.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Its number.
    pub wave: WaveId,
    /// The hosts, by the names of the machines and not of their lives as targets.
    pub hosts: Vec<HostId>,
    /// Time in which all are to be done.
    pub deadline: Duration,
    /// Most hosts that may be down for it at once.
    pub max_down: u32,
}
