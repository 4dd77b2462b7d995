use tokio::sync::watch;

/// Signals the servers of a process that it is shutting down. Clones share one signal.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    sender: watch::Sender<bool>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }
}

impl ShutdownSignal {
    /// Begins the shutdown: connections close after their current response.
    pub fn begin(&self) {
        self.sender.send_replace(true);
    }

    /// True after [`ShutdownSignal::begin`] was called.
    pub fn has_begun(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the shutdown begins.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // Fails only if no sender is left, but `self` holds one.
        let _ = receiver.wait_for(|begun| *begun).await;
    }
}
