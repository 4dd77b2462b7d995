use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::BootTime;
use rustix::time::{ClockId, clock_gettime};

/// The clocks that the threads of an entry host read.
pub trait Clock: Send + Sync {
    /// Time since boot, suspended time included; never goes back.
    fn boot_now(&self) -> BootTime;
    /// Wall-clock time since the Unix epoch; may jump.
    fn unix_now(&self) -> Duration;
}

/// The machine's own clocks.
///
/// Leases are timed with the boot clock. A monotonic clock does not advance while the host is
/// suspended, so after a suspend a holder would still use a lease that others see as expired.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn boot_now(&self) -> BootTime {
        read_clock(ClockId::Boottime)
    }

    fn unix_now(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}

/// Returns the processor time that the calling thread has used.
pub fn thread_processor_time() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
