use tokio::sync::{Notify, Semaphore};

/// Maximum number of concurrent orders to one target, each on its own connection. New connections
/// have a cost; with three, a step of twenty tasks reaches a target in 25 ms.
const MAX_CONCURRENT_ORDERS: usize = 3;

/// Limits the orders to one target and triggers its polls.
pub(crate) struct TargetChannel {
    /// Permits for concurrent orders.
    pub(crate) orders: Semaphore,
    /// Notified when the target should be polled at once.
    pub(crate) poll_now: Notify,
}

impl Default for TargetChannel {
    fn default() -> Self {
        Self {
            orders: Semaphore::new(MAX_CONCURRENT_ORDERS),
            poll_now: Notify::new(),
        }
    }
}
