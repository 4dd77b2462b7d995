use model::work::{FleetPolicy, MaintenanceWave, TargetEntry, WaveId};

/// Where a platform keeps what operators and targets write, and how to read it.
///
/// Watching, and what follows from a change, is the product's; only names and encodings
/// differ from platform to platform.
pub trait FleetCodec {
    /// Key of what operators ask for.
    fn policy_key(&self) -> &'static str;
    /// Prefix of all that operators write.
    fn operator_prefix(&self) -> &'static str;
    /// Prefix of the targets' entries; the rest of a key is the target's id.
    fn target_prefix(&self) -> &'static str;
    /// Number of the maintenance wave that a key holds; `None` if it holds none.
    fn parse_wave_key(&self, key: &str) -> Option<WaveId>;
    /// Key under which a wave's progress is shown, and what to write there.
    fn wave_status(&self, wave: WaveId, completed: bool) -> (String, Vec<u8>);
    /// Reads what operators ask for.
    ///
    /// # Errors
    /// What could not be read.
    fn read_policy(&self, value: &[u8]) -> Result<FleetPolicy, String>;
    /// Reads a wave.
    ///
    /// # Errors
    /// What could not be read.
    fn read_wave(&self, value: &[u8]) -> Result<MaintenanceWave, String>;
    /// Reads a target's entry.
    ///
    /// # Errors
    /// What could not be read; such an entry names no target to use.
    fn read_target(&self, target: &str, value: &[u8]) -> Result<TargetEntry, String>;
}
