use std::{cell::Cell, fmt::Display};

use model::{BootTime, event as log_event};
use store::{BootClock, Clock};

use crate::event;

/// Logs when a dependency becomes unavailable and when it recovers, instead of every failed call.
#[derive(Debug, Default)]
pub(crate) struct DependencyLogger {
    lost_at: Cell<Option<BootTime>>,
}

impl DependencyLogger {
    /// Logs a failed call, unless the one before failed too.
    pub(crate) fn log_failed(&self, step: &str, prefix: &str, cause: &dyn Display) {
        if self.lost_at.get().is_some() {
            return;
        }
        self.lost_at.set(Some(BootClock.boot_now()));
        log_event::warn(
            &event::STORE_LOST,
            format_args!("step=\"{step} {prefix}\" cause=\"{cause}\""),
        );
    }

    /// Logs that the dependency recovered, if the previous call failed.
    pub(crate) fn log_answered(&self, step: &str, prefix: &str) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let away = BootClock.boot_now().saturating_sub(lost_at);
        log_event::info(
            &event::STORE_BACK,
            format_args!("step=\"{step} {prefix}\" away_ms={}", away.as_millis()),
        );
    }
}
