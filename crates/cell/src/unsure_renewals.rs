use std::cell::Cell;

use model::{BootTime, HostId, event as log_event, work::FencingToken};

use crate::{event, metric};

/// Renewals of leases on targets that an owner sends while another process may own the cell.
#[derive(Debug, Default)]
pub(crate) struct UnsureRenewals {
    sent: Cell<u64>,
    last_sent: Cell<BootTime>,
}

/// The time of a renewal and the limits of its owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RenewalTimes {
    pub(crate) now: BootTime,
    /// Until when no other process could own the cell.
    pub(crate) sole_until: BootTime,
    /// Until when the owner may send orders.
    pub(crate) orders_until: BootTime,
}

impl UnsureRenewals {
    /// Counts a renewal if another process may own the cell, and logs the first one since
    /// [`UnsureRenewals::take_summary`].
    pub(crate) fn record(&self, token: FencingToken, target: &HostId, times: RenewalTimes) {
        let RenewalTimes {
            now,
            sole_until,
            orders_until,
        } = times;
        if now < sole_until {
            return;
        }
        metrics::counter!(metric::UNSURE_RENEWALS).increment(1);
        self.last_sent.set(now);
        if self.sent.replace(self.sent.get() + 1) > 0 {
            return;
        }
        log_event::warn(
            &event::TERM_EXTENDING,
            format_args!(
                "token={token} target={target} unsure_ms={} allowed_ms={}",
                now.saturating_sub(sole_until).as_millis(),
                orders_until.saturating_sub(now).as_millis()
            ),
        );
    }

    /// Returns what was counted, for a log line, and counts from zero again; empty if nothing was.
    pub(crate) fn take_summary(&self, now: BootTime) -> String {
        let sent = self.sent.take();
        if sent == 0 {
            return String::new();
        }
        let since = now.saturating_sub(self.last_sent.get());
        format!(" renewals={sent} since_renewal_ms={}", since.as_millis())
    }
}
