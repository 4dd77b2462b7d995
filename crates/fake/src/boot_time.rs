use rustix::time::{ClockId, clock_gettime};

/// Now on the machine's boot clock, in nanoseconds: the one clock of all records that
/// checkers compare.
pub fn boot_nanos() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000_000_000 + nanos
}
