use std::fmt;

/// An error with the step that failed and the peer of that step.
#[derive(Debug, thiserror::Error)]
pub struct StepError {
    /// The step that failed, as a short verb phrase such as `read key`.
    pub step: &'static str,
    /// The other side of the step: a member, a host or a URL; empty for none.
    pub peer: String,
    /// The underlying error.
    #[source]
    pub cause: Box<dyn std::error::Error + Send + Sync>,
}

impl StepError {
    /// Wraps `cause` with the step that failed and its peer.
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
