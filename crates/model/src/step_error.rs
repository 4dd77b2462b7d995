use std::fmt;

/// An error that says in which step it arose and which peer was being talked to.
#[derive(Debug, thiserror::Error)]
pub struct StepError {
    /// What was being done, as a short verb phrase such as `read key`.
    pub step: &'static str,
    /// Whom it was done with: a member, a host, a URL; empty for none.
    pub peer: String,
    /// Why it failed.
    #[source]
    pub cause: Box<dyn std::error::Error + Send + Sync>,
}

impl StepError {
    /// Wraps `cause` with the step and the peer at which it arose.
    pub fn new(
        step: &'static str,
        peer: impl Into<String>,
        cause: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        Self {
            step,
            peer: peer.into(),
            cause: cause.into(),
        }
    }
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.peer.is_empty() {
            return write!(f, "{}: {}", self.step, self.cause);
        }
        write!(f, "{} with {}: {}", self.step, self.peer, self.cause)
    }
}
