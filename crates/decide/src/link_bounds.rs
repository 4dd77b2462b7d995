//! Limits on an owner's writes, backlog and lease that follow from the bandwidth of its link.
//!
//! `docs/design/13-platform.md` describes what an owner reads and writes.

use std::time::Duration;

/// How long one write may keep the link busy: a fraction of the timeout of its response.
const WRITE_FILL: Duration = Duration::from_millis(100);
/// Minimum size limit of a write, in bytes: smaller writes cost more calls than they save waiting.
const MIN_WRITE: usize = 8 << 10;
/// Size of the longest response that an owner reads, in bytes: a job log in its text encoding.
const LOG_BYTES: f64 = 256.0 * 1024.0;
/// Maximum extension of a lease, in seconds.
const MAX_EXTENSION: f64 = 2.0;
/// How long a new owner may take to read the log.
const MAX_READ_TIME: Duration = Duration::from_secs(1);
/// Ratio of the log's bytes on the link to the entries of open jobs: text encoding, and entries
/// added since the last compaction.
const LOG_OVERHEAD: f64 = 2.0;

/// Minimum size of a start with its response on the link, in bytes.
const START_BYTES: f64 = 1500.0;

/// Maximum starts per second on a link that carries `bytes_per_second`.
pub fn max_starts_per_second(bytes_per_second: f64) -> f64 {
    (bytes_per_second / START_BYTES).max(1.0)
}

/// Largest write on a link that carries `bytes_per_second`, if writes of `most` bytes are allowed.
/// A larger one would time out, however often it is repeated.
pub fn largest_write(bytes_per_second: f64, most: usize) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a conversion from float holds to the range of the type"
    )]
    let carried = (bytes_per_second * WRITE_FILL.as_secs_f64()) as usize;
    carried.clamp(MIN_WRITE.min(most), most)
}

/// Length of an owner's lease on a link that carries `bytes_per_second`, where `least` is the
/// length without regard to the link. While an owner reads a log, responses to its renewals arrive
/// only after the log.
pub fn lease_length(least: Duration, bytes_per_second: f64) -> Duration {
    least + Duration::from_secs_f64(LOG_BYTES / bytes_per_second.max(LOG_BYTES / MAX_EXTENSION))
}

/// Number of renewals to send at once when an owner begins to read a log on a link that carries
/// `bytes_per_second`, if renewals are sent at intervals of `every`.
///
/// Their connections are used for the renewals that are due while the response with the log
/// arrives. No connection could be opened then, because the handshake would wait behind the log.
pub fn renewals_ahead(bytes_per_second: f64, every: Duration) -> usize {
    let reading = lease_length(Duration::ZERO, bytes_per_second);
    let renewals = reading.as_millis() / every.as_millis().max(1);
    usize::try_from(renewals).unwrap_or_default()
}

/// Maximum size of the entries of open jobs, in bytes, on a link that carries `bytes_per_second`.
/// With more, the next owner would read the log for longer than callers and targets wait for it.
pub fn largest_backlog(bytes_per_second: f64) -> f64 {
    bytes_per_second * MAX_READ_TIME.as_secs_f64() / LOG_OVERHEAD
}
