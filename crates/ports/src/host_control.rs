use model::{
    HostId, PoolId,
    work::{FleetHost, HostOrderAnswer, OrderSender, WaveId},
};

use crate::PortFuture;

/// Control interface of the fleet's hosts: lists, moves and maintains them.
pub trait HostControl {
    /// Lists all hosts.
    fn hosts(&self) -> PortFuture<Result<Vec<FleetHost>, String>>;
    /// Orders a host to be moved to a pool.
    fn move_host(
        &self,
        sender: &OrderSender,
        host: &HostId,
        pool: &PoolId,
    ) -> PortFuture<HostOrderAnswer>;
    /// Orders the maintenance of a host in a wave. The host is down meanwhile.
    fn maintain(
        &self,
        sender: &OrderSender,
        host: &HostId,
        wave: WaveId,
    ) -> PortFuture<HostOrderAnswer>;
}
