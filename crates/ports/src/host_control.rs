use model::{
    HostId, PoolId,
    work::{FleetHost, HostOrderAnswer, OrderSender, WaveId},
};

use crate::PortFuture;

/// Lists, moves and maintains the hosts of the fleet.
pub trait HostControl {
    /// All hosts.
    fn hosts(&self) -> PortFuture<Result<Vec<FleetHost>, String>>;
    /// Moves a host to a pool.
    fn move_host(
        &self,
        sender: &OrderSender,
        host: &HostId,
        pool: &PoolId,
    ) -> PortFuture<HostOrderAnswer>;
    /// Takes a host down for its maintenance.
    fn maintain(
        &self,
        sender: &OrderSender,
        host: &HostId,
        wave: WaveId,
    ) -> PortFuture<HostOrderAnswer>;
}
