/// Why this entry host accepts no new work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotServing {
    /// The serving lease lapsed: neither the store nor a majority of members responded in time.
    #[error("serving lease lapsed")]
    LeaseLapsed,
    /// A newer configuration was accepted but has not reached this host yet.
    #[error("configuration behind")]
    ConfigBehind,
    /// The host is shutting down gracefully.
    #[error("shutting down")]
    Leaving,
    /// The host has not joined the member list yet.
    #[error("starting")]
    Starting,
}

/// Decides whether this entry host may start new work; see `docs/design` on the serving lease.
pub trait ServingGate: Send + Sync {
    /// Checks whether new work may start.
    ///
    /// Called at admission and again right before a request is sent to a target.
    ///
    /// # Errors
    /// Why no new work may start.
    fn check(&self) -> Result<(), NotServing>;
    /// Starts a graceful shutdown. From then on `check` fails and the member list shows this host
    /// as leaving.
    fn leave(&self);
}
