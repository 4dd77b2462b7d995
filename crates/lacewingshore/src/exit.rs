use std::{path::Path, process::ExitCode};

use model::TextFault;

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
}

impl CommandError {
    /// A fault of the text in `file`.
    pub fn invalid_text(file: &Path, fault: &TextFault) -> Self {
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
        })
    }
}
