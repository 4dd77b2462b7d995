use std::time::Duration;

use model::{BootTime, event as log_event};

use crate::{event, metric, term::Term};

/// An owner that is behind for less than this is not logged: a burst is sent within a few passes.
const LOGGED_BEHIND_TIME: Duration = Duration::from_secs(1);
/// Shortest interval between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the starts of an owner by the delay of its event loop, and shows when it is behind.
#[derive(Debug, Default)]
pub(crate) struct LoadWatch {
    logged_at: BootTime,
}

impl LoadWatch {
    /// Handles that a task of the event loop resumed `delay` after it was due. Has to be called several
    /// times a second.
    pub(crate) fn record_loop_delay(&mut self, term: &Term, delay: Duration, now: BootTime) {
        let limit = term.call_limiter.record_loop_delay(delay);
        let mut scheduler = term.scheduler.borrow_mut();
        scheduler.record_loop_delay(delay, now);
        let behind = scheduler.behind_time(now);
        metrics::gauge!(metric::START_LIMIT).set(limit);
        metrics::gauge!(metric::BEHIND_SECONDS).set(behind.as_secs_f64());
        if behind < LOGGED_BEHIND_TIME || now < self.logged_at + LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        log_event::warn(
            &event::OWNER_BEHIND,
            format_args!(
                "token={} behind_ms={} tasks={} start_limit={limit:.0} loop_delay_ms={}",
                term.token,
                behind.as_millis(),
                scheduler.unstarted_tasks(),
                delay.as_millis()
            ),
        );
    }
}
