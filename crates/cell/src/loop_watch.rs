use std::time::Duration;

use model::event as log_event;
use store::{BootClock, Clock, thread_processor_time};
use tokio::time::sleep;

use crate::{event, metric};

/// How often the event loop is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Measures how late the event loop resumes a task that is due: for as long as one step of it
/// takes, nothing else is handled, no call and no renewal of the lease. Logs delays of `logged_delay`
/// and more.
///
/// A process that was suspended is late as well, but has used no processor time meanwhile. Also measures
/// the part of a core that the event loop uses.
pub(crate) async fn watch_loop(logged_delay: Duration) {
    loop {
        let (begun, used) = (BootClock.boot_now(), thread_processor_time());
        sleep(PROBE_INTERVAL).await;
        let elapsed = BootClock.boot_now().saturating_sub(begun);
        let delay = elapsed.saturating_sub(PROBE_INTERVAL);
        metric::record_duration(metric::LOOP_DELAY_SECONDS, delay);
        let used = thread_processor_time().saturating_sub(used);
        metrics::histogram!(metric::PROCESSOR_USE)
            .record(used.as_secs_f64() / elapsed.as_secs_f64());
        if delay >= logged_delay {
            log_event::warn(
                &event::LOOP_DELAYED,
                format_args!(
                    "delay_ms={} processor_ms={}",
                    delay.as_millis(),
                    used.as_millis()
                ),
            );
        }
    }
}
