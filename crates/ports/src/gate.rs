/// Why this entry host takes no new work now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotServing {
    /// The serving lease lapsed: neither the store nor a majority of members was heard.
    #[error("serving lease lapsed")]
    LeaseLapsed,
    /// A newer configuration is known to be accepted and has not arrived yet.
    #[error("configuration behind")]
    ConfigBehind,
    /// The host shuts down gracefully.
    #[error("shutting down")]
    Leaving,
    /// The host has not joined the member list yet.
    #[error("starting")]
    Starting,
}

/// Says whether this entry host may start new work; see `docs/design` on the serving lease.
pub trait ServingGate: Send + Sync {
    /// Checked at admission and again right before bytes go out to a target.
    ///
    /// # Errors
    /// Why no new work may start.
    fn check(&self) -> Result<(), NotServing>;
    /// Begins a graceful shutdown: from now on `check` fails and the member list says so.
    fn leave(&self);
}
