//! What an owner may write, accept and rely on behind a link of a given width.
//!
//! `docs/design/13-platform.md` says what an owner reads and writes.

use std::time::Duration;

/// How long one write may keep the link busy: a fraction of the time that its answer is waited for.
const WRITE_FILL: Duration = Duration::from_millis(100);
/// Least size of a write, in bytes: smaller ones cost more calls than they spare waiting.
const LEAST_WRITE: usize = 8 << 10;

/// Largest write on a link that carries so many bytes a second, if writes of `most` bytes are
/// allowed. A larger one would not be answered in time, however often it is repeated.
pub fn largest_write(bytes_per_second: f64, most: usize) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a conversion from float holds to the range of the type"
    )]
    let carried = (bytes_per_second * WRITE_FILL.as_secs_f64()) as usize;
    carried.clamp(LEAST_WRITE.min(most), most)
}
