//! How long a watch of the store may wait for changes.

use std::time::Duration;

/// Part of the maximum age for which one watch may wait. Right before an answer arrives, what the
/// previous answer confirmed is two waits and two round trips old. So three quarters of the maximum
/// age are left for the round trips, which are long on a full link.
const WAIT_DIVISOR: u32 = 8;

/// Longest wait of a watch that keeps what was read from becoming older than `max_age`, although
/// nothing changes.
///
/// An answer confirms what the store held when its watch was sent; `docs/design/13-platform.md`
/// says who needs that.
pub fn longest_watch(max_age: Duration) -> Duration {
    max_age / WAIT_DIVISOR
}
