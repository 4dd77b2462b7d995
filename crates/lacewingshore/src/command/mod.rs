//! The commands, one module each.

pub mod events;
pub mod serve;

use std::{fs, path::Path};

use anyhow::Context;

use crate::exit::CommandError;

/// Largest file of settings or a manifest that is read.
const MAX_FILE: u64 = 1024 * 1024;

/// Reads a text file whole.
fn read_text(path: &Path) -> Result<String, CommandError> {
    let size = fs::metadata(path)
        .with_context(|| format!("read {}", path.display()))?
        .len();
    if size > MAX_FILE {
        let reason = format!("{}: larger than {MAX_FILE} bytes", path.display());
        return Err(CommandError::Invalid(reason));
    }
    let bytes = fs::read(path).with_context(|| format!("read {}", path.display()))?;
    let text =
        model::text_of_bytes(&bytes).map_err(|fault| CommandError::invalid_text(path, &fault))?;
    Ok(text.to_owned())
}
