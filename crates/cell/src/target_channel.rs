use tokio::sync::{Notify, Semaphore};

/// Orders to one target at the same time, each on a connection of its own. New connections
/// are paid for; with three, a step of twenty tasks reaches a target in 25 ms.
const MAX_CONCURRENT_ORDERS: usize = 3;

/// The way to one target.
pub(crate) struct TargetChannel {
    /// Orders that may be under way at once.
    pub(crate) orders: Semaphore,
    /// Told when a look is wanted at once.
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
