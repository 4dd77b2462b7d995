use model::{DataCentreId, HostId, HostRole, RackId, ServiceId};

/// One host of the platform's host list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostEntry {
    /// Id of the host.
    pub host: HostId,
    /// Address at which the host listens, as `ip:port`.
    pub address: String,
    /// Whether the host is an executor or a worker.
    pub role: HostRole,
    /// Service whose requests an executor answers.
    pub service: ServiceId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Rack of the host.
    pub rack: RackId,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// True once the platform is removing the host.
    pub leaving: bool,
}

/// The host list could not be read; holds the cause.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("host list unavailable: {0}")]
pub struct HostListError(pub String);

/// The platform's list of live and leaving hosts. It may lag behind the actual state.
pub trait HostList: Send + Sync {
    /// Reads the hosts that are listed now.
    ///
    /// # Errors
    /// If no complete list arrived in time; the caller should keep using the last one.
    fn hosts(&self) -> Result<Vec<HostEntry>, HostListError>;
}
