//! Which build of the program this is.

/// Version of the release.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Commit that was built, with `-dirty` if files had been changed; `unknown` outside a repository.
pub const COMMIT: &str = env!("LACEWINGSHORE_COMMIT");
/// Platform that it was built for.
pub const TARGET: &str = env!("LACEWINGSHORE_TARGET");
