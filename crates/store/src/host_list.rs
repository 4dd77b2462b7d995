use model::{DataCentreId, HostId, HostRole, RackId, ServiceId};

/// One host as the platform's list shows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostEntry {
    /// Its id.
    pub host: HostId,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// What it can do.
    pub role: HostRole,
    /// Service whose requests it answers, for an executor.
    pub service: ServiceId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Rack that it stands in.
    pub rack: RackId,
    /// Processors.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// True once the platform takes the host away.
    pub leaving: bool,
}

/// Why the host list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("host list unavailable: {0}")]
pub struct HostListError(pub String);

/// The platform's list of live and leaving hosts. It lags.
pub trait HostList: Send + Sync {
    /// The hosts now listed.
    ///
    /// # Errors
    /// If no whole list came in time; the last one read stays the best known.
    fn hosts(&self) -> Result<Vec<HostEntry>, HostListError>;
}
