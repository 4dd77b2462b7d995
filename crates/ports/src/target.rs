use std::sync::Arc;

use model::{DataCentreId, HostId, PoolId, RackId, ServiceId};

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts new work.
    #[default]
    Serving,
    /// Finishes running work and accepts no new work.
    Draining,
    /// Out of service.
    Out,
}

/// An executor or worker that work can be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetHost {
    /// Id of the target.
    pub host: HostId,
    /// Address that the target listens on, as `ip:port`.
    pub address: String,
    /// Pool of the target.
    pub pool: PoolId,
    /// Data centre of the target.
    pub data_centre: DataCentreId,
    /// Rack of the target.
    pub rack: RackId,
    /// Whether the target accepts new work.
    pub state: TargetState,
}

/// Gives access to the targets of each pool.
pub trait TargetSource: Send + Sync {
    /// The targets of `pool` with their states.
    fn pool_targets(&self, pool: &PoolId) -> Arc<Vec<TargetHost>>;
    /// The executors of the pool that serves `service`; empty for an unknown service.
    fn service_targets(&self, service: &ServiceId) -> Arc<Vec<TargetHost>>;
}
