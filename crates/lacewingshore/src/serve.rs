//! The wiring of one entry host.

use model::ServeSettings;

/// Runs an entry host until it is told to stop.
pub fn run(_settings: ServeSettings) -> anyhow::Result<()> {
    anyhow::bail!("serving is not wired yet")
}
