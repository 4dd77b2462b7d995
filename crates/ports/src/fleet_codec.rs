use model::{
    DataCentreId,
    work::{FleetPolicy, MaintenanceWave, TargetEntry, WaveId},
};

/// Store keys and encodings of the entries that operators and targets write.
///
/// Only names and encodings differ between platforms. Watching the keys and reacting to changes
/// is done by the user of this trait.
pub trait FleetCodec {
    /// Key of the fleet policy that operators write.
    fn policy_key(&self) -> &'static str;
    /// Prefix of all keys that operators write.
    fn operator_prefix(&self) -> &'static str;
    /// Prefix of the targets' entries. The rest of such a key is the target's id.
    fn target_prefix(&self) -> &'static str;
    /// Number of the maintenance wave stored under a key; `None` for other keys.
    fn parse_wave_key(&self, key: &str) -> Option<WaveId>;
    /// Data centre that the entry under a key drains for as long as the entry exists; `None` for
    /// other keys.
    fn parse_drain_key(&self, key: &str) -> Option<DataCentreId>;
    /// Key and value with which the progress of a wave is reported to operators.
    fn wave_status(&self, wave: WaveId, completed: bool) -> (String, Vec<u8>);
    /// Decodes the fleet policy.
    ///
    /// # Errors
    /// Why the value is unreadable.
    fn read_policy(&self, value: &[u8]) -> Result<FleetPolicy, String>;
    /// Decodes a maintenance wave.
    ///
    /// # Errors
    /// Why the value is unreadable.
    fn read_wave(&self, value: &[u8]) -> Result<MaintenanceWave, String>;
    /// Decodes a target's entry.
    ///
    /// # Errors
    /// Why the value is unreadable. A target with such an entry is not used.
    fn read_target(&self, target: &str, value: &[u8]) -> Result<TargetEntry, String>;
}
