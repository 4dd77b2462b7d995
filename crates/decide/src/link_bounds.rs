//! What an owner may write, accept and rely on behind a link of a given width.
//!
//! `docs/design/13-platform.md` says what an owner reads and writes.

use std::time::Duration;

/// How long one write may keep the link busy: a fraction of the time that its answer is waited for.
const WRITE_FILL: Duration = Duration::from_millis(100);
/// Least size of a write, in bytes: smaller ones cost more calls than they spare waiting.
const MIN_WRITE: usize = 8 << 10;
/// Bytes of the longest answer that an owner reads: a job log with its text encoding.
const LOG_BYTES: f64 = 256.0 * 1024.0;
/// Longest time that a lease is made longer by, in seconds.
const MAX_EXTENSION: f64 = 2.0;
/// How long a new owner may read the log.
const MAX_READ_TIME: Duration = Duration::from_secs(1);
/// How much longer than the entries of open jobs its bytes on the link are: text encoding, and what
/// has come since the log was made shorter.
const LOG_OVERHEAD: f64 = 2.0;

/// Bytes that a start takes of a link together with its answer, at least.
const START_BYTES: f64 = 1500.0;

/// Most starts a second on a link that carries so many bytes a second.
pub fn max_starts_per_second(bytes_per_second: f64) -> f64 {
    (bytes_per_second / START_BYTES).max(1.0)
}

/// Largest write on a link that carries so many bytes a second, if writes of `most` bytes are
/// allowed. A larger one would not be answered in time, however often it is repeated.
pub fn largest_write(bytes_per_second: f64, most: usize) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a conversion from float holds to the range of the type"
    )]
    let carried = (bytes_per_second * WRITE_FILL.as_secs_f64()) as usize;
    carried.clamp(MIN_WRITE.min(most), most)
}

/// Length of an owner's lease on a link that carries so many bytes a second, where `least` does
/// without regard to that. An owner that reads a log hears of its renewals only after it.
pub fn lease_length(least: Duration, bytes_per_second: f64) -> Duration {
    least + Duration::from_secs_f64(LOG_BYTES / bytes_per_second.max(LOG_BYTES / MAX_EXTENSION))
}

/// Renewals to send at once when an owner begins to read a log on a link that carries so many bytes a
/// second, where each renewal follows the one before after `every`.
///
/// Their connections carry the renewals that come while the answer with the log is on its way. None
/// could be opened then: what the other end says to that would wait behind the log.
pub fn renewals_ahead(bytes_per_second: f64, every: Duration) -> usize {
    let reading = lease_length(Duration::ZERO, bytes_per_second);
    let renewals = reading.as_millis() / every.as_millis().max(1);
    usize::try_from(renewals).unwrap_or_default()
}

/// Most bytes that the entries of open jobs may have on a link that carries so many bytes a second.
/// With more, the next owner would read the log for longer than callers and targets wait for it.
pub fn largest_backlog(bytes_per_second: f64) -> f64 {
    bytes_per_second * MAX_READ_TIME.as_secs_f64() / LOG_OVERHEAD
}
