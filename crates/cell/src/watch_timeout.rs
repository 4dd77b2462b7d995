use std::{cell::Cell, time::Duration};

use tokio::sync::Notify;

/// How long the watches of a prefix wait for changes.
///
/// An answer confirms that there were no other changes before its watch was sent. A process that
/// needs this often, such as the owner of the cell, waits for a shorter time than the others.
pub(crate) struct WatchTimeout {
    current: Cell<Duration>,
    shortened: Notify,
}

impl WatchTimeout {
    pub(crate) fn new(timeout: Duration) -> Self {
        Self {
            current: Cell::new(timeout),
            shortened: Notify::new(),
        }
    }

    /// The timeout of a watch that is sent now.
    pub(crate) fn current(&self) -> Duration {
        self.current.get()
    }

    /// Sets the timeout of further watches. The one in progress is sent again if it waits for
    /// longer.
    pub(crate) fn set(&self, timeout: Duration) {
        if self.current.replace(timeout) > timeout {
            self.shortened.notify_one();
        }
    }

    /// Waits until the timeout becomes shorter than that of the watch in progress.
    pub(crate) async fn shortened(&self) {
        self.shortened.notified().await;
    }
}
