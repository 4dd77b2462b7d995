use model::work::{
    OrderAnswer, PollAnswer, PollOrder, StartAnswer, StartOrder, StopOrder, TargetAddress,
    ThrottleOrder,
};

use crate::PortFuture;

/// Sends orders to targets.
pub trait TargetPort {
    /// Starts a task.
    fn start(&self, target: &TargetAddress, order: StartOrder) -> PortFuture<StartAnswer>;
    /// Stops a running task.
    fn stop(&self, target: &TargetAddress, order: StopOrder) -> PortFuture<OrderAnswer>;
    /// Limits a running task to a percentage of its processor time.
    fn throttle(&self, target: &TargetAddress, order: ThrottleOrder) -> PortFuture<OrderAnswer>;
    /// Polls a target: renews its time grant, acknowledges ended runs and reads its report.
    fn poll(&self, target: &TargetAddress, order: PollOrder) -> PortFuture<PollAnswer>;
}
