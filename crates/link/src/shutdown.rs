use tokio::sync::watch;

/// Tells the servers of a process that it is shutting down.
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
    /// From now on connections end with the answer that they carry.
    pub fn begin(&self) {
        self.sender.send_replace(true);
    }

    /// True once [`ShutdownSignal::begin`] was called.
    pub fn begun(&self) -> bool {
        *self.sender.borrow()
    }

    /// Returns once the shutdown has begun.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // An error says that no sender is left, and this value holds one.
        let _ = receiver.wait_for(|begun| *begun).await;
    }
}
