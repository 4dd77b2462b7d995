use std::sync::Arc;

use model::{DataCentreId, HostId, PoolId, RackId, ServiceId};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes what runs and takes no new work.
    Draining,
    /// Out of service.
    Out,
}

/// One executor or worker that work can be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetHost {
    /// Its id.
    pub host: HostId,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Rack that it stands in.
    pub rack: RackId,
    /// Whether it takes new work.
    pub state: TargetState,
}

/// Where the other areas learn which targets a pool has.
pub trait TargetSource: Send + Sync {
    /// The targets of `pool` with their states.
    fn pool_targets(&self, pool: &PoolId) -> Arc<Vec<TargetHost>>;
    /// The executors of the pool that answers `service`; empty for an unknown service.
    fn service_targets(&self, service: &ServiceId) -> Arc<Vec<TargetHost>>;
}
