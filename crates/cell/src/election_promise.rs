use std::{cell::Cell, time::Duration};

use model::BootTime;

/// How long a process does not campaign after it promised so. This is counted from when the owner's
/// request arrives, so it ends after the time for which the owner relies on the promise.
const PROMISE: Duration = Duration::from_millis(500);
/// How long an owner relies on the promises of all others, counted from when it sent its requests.
/// This allows two rounds of requests, one of which may be slow. The difference to [`PROMISE`]
/// allows for clocks that run at different rates.
pub(crate) const PROMISE_TRUSTED: Duration = Duration::from_millis(400);

/// Keeps a process from campaigning while an owner relies on that.
///
/// An owner that does not reach the store can't tell whether the store is unreachable for all
/// processes or a successor is being elected. If no other process reaches the store and none
/// campaigns, there can be no successor.
#[derive(Debug, Default)]
pub(crate) struct ElectionPromise {
    until: Cell<BootTime>,
    /// Whether this process is campaigning: its entry as owner may be written already.
    campaigning: Cell<bool>,
}

impl ElectionPromise {
    /// Promises not to campaign for a while; returns false if a campaign is in progress.
    pub(crate) fn make(&self, now: BootTime) -> bool {
        if self.campaigning.get() {
            return false;
        }
        self.until.set(now + PROMISE);
        true
    }

    /// The remaining time of the promise; `None` if the process may campaign.
    pub(crate) fn remaining(&self, now: BootTime) -> Option<Duration> {
        self.until
            .get()
            .checked_sub(now)
            .filter(|remaining| !remaining.is_zero())
    }

    /// Sets whether this process is campaigning.
    pub(crate) fn set_campaigning(&self, campaigning: bool) {
        self.campaigning.set(campaigning);
    }
}
