use std::{path::Path, process::ExitCode};

use model::TextError;

/// Exit code after wrong arguments.
pub const USAGE_CODE: u8 = 2;

/// Why a command failed; each kind has its own exit code for scripts.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Anything without a code of its own: exit code 1.
    #[error(transparent)]
    Failed(#[from] anyhow::Error),
    /// A file or a change was refused as invalid: exit code 3.
    #[error("{0}")]
    Invalid(String),
    /// Another change was accepted first: exit code 4.
    #[error("{0}")]
    Conflict(String),
    /// The change is not accepted yet: exit code 5.
    #[error("{0}")]
    Pending(String),
    /// No entry host answered, or none serves: exit code 6.
    #[error("{0}")]
    Unavailable(String),
    /// The key was refused: exit code 7.
    #[error("{0}")]
    KeyRefused(String),
    /// The audit trail was tampered with: exit code 8.
    #[error("{0}")]
    Tampered(String),
}

impl CommandError {
    /// An error in the text of `file`.
    pub fn invalid_text(file: &Path, fault: &TextError) -> Self {
        Self::Invalid(format!("{}: {fault}", file.display()))
    }

    /// Prints the error with its causes to standard error.
    #[allow(clippy::print_stderr)]
    pub fn report(&self) {
        match self {
            Self::Failed(error) => eprintln!("lacewingshore: {error:#}"),
            other => eprintln!("lacewingshore: {other}"),
        }
    }

    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed(_) => 1,
            Self::Invalid(_) => 3,
            Self::Conflict(_) => 4,
            Self::Pending(_) => 5,
            Self::Unavailable(_) => 6,
            Self::KeyRefused(_) => 7,
            Self::Tampered(_) => 8,
        })
    }
}
