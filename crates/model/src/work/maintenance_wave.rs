use std::time::Duration;

use crate::HostId;

/// Number of a maintenance wave, as assigned by operators.
pub type WaveId = u64;

/// A set of hosts that operators want maintained.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub wave: WaveId,
    /// Hosts of the wave, by machine name and not by target id.
    pub hosts: Vec<HostId>,
    /// Time within which all hosts are to be maintained.
    pub deadline: Duration,
    /// Maximum number of hosts that may be down for maintenance at once.
    pub max_down: u32,
}
