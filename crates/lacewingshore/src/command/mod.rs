//! The commands, one module each.

pub mod audit;
pub mod cell;
pub mod demo;
pub mod events;
pub mod key;
pub mod manifest;
pub mod serve;
pub mod status;

use std::{
    fs,
    path::Path,
    time::{Duration, UNIX_EPOCH},
};

use anyhow::Context;
use serde::Serialize;

use crate::exit::CommandError;

/// Largest settings or manifest file that is read, in bytes.
const MAX_FILE: u64 = 1024 * 1024;

/// Reads a whole UTF-8 text file.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    let size = fs::metadata(path)
        .with_context(|| format!("read {}", path.display()))?
        .len();
    if size > MAX_FILE {
        let reason = format!("{}: larger than {MAX_FILE} bytes", path.display());
        return Err(CommandError::Invalid(reason));
    }
    let bytes = fs::read(path).with_context(|| format!("read {}", path.display()))?;
    let text =
        model::decode_utf8(&bytes).map_err(|fault| CommandError::invalid_text(path, &fault))?;
    Ok(text.to_owned())
}

/// Returns a random change id, which makes retries of the change idempotent.
fn mint_change_id() -> String {
    format!("c{:016x}", rand::random::<u64>())
}

fn print_json<T: Serialize>(value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value).context("write JSON")?;
    println!("{text}");
    Ok(())
}

fn format_time(unix_ms: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms));
    match time.filter(|_| unix_ms < MAX_FORMATTED_MS) {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => "far future".to_owned(),
    }
}

/// End of the year 9999, the last one that RFC 3339 can express.
const MAX_FORMATTED_MS: u64 = 253_402_300_799_000;
