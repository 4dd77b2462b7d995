use model::work::{
    OrderAnswer, PollAnswer, PollOrder, StartAnswer, StartOrder, StopOrder, TargetAddress,
    ThrottleOrder,
};

use crate::PortFuture;

/// Gives orders to targets.
pub trait TargetPort {
    /// Starts a task.
    fn start(&self, target: &TargetAddress, order: StartOrder) -> PortFuture<StartAnswer>;
    /// Stops a run.
    fn stop(&self, target: &TargetAddress, order: StopOrder) -> PortFuture<OrderAnswer>;
    /// Sets a run's share of time.
    fn throttle(&self, target: &TargetAddress, order: ThrottleOrder) -> PortFuture<OrderAnswer>;
    /// Renews and asks.
    fn poll(&self, target: &TargetAddress, order: PollOrder) -> PortFuture<PollAnswer>;
}
