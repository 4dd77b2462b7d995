use model::work::{
    OrderResponse, PollRequest, PollResponse, StartOrder, StartResponse, StopOrder, TargetAddress,
    ThrottleOrder,
};

use crate::PortFuture;

/// Gives orders to targets.
pub trait TargetPort {
    /// Starts a task.
    fn start(&self, target: &TargetAddress, order: StartOrder) -> PortFuture<StartResponse>;
    /// Stops a run.
    fn stop(&self, target: &TargetAddress, order: StopOrder) -> PortFuture<OrderResponse>;
    /// Sets a run's share of time.
    fn pace(&self, target: &TargetAddress, order: ThrottleOrder) -> PortFuture<OrderResponse>;
    /// Renews and asks.
    fn look(&self, target: &TargetAddress, order: PollRequest) -> PortFuture<PollResponse>;
}
