use std::{cell::Cell, time::Duration};

use model::BootTime;

/// How long a process keeps out of elections after it has pledged to. Counted from the arrival
/// of an owner's question, so it ends after the time for which the owner relies on it.
const PROMISE: Duration = Duration::from_millis(500);
/// How long an owner relies on the pledges of all others, counted from the sending of its
/// questions: two rounds of them, of which one may be slow. The difference to `PLEDGE` is for
/// clocks that run at different rates.
pub(crate) const PROMISE_TRUSTED: Duration = Duration::from_millis(400);

/// Keeps a process out of elections while an owner relies on that.
///
/// An owner that does not reach the store can't tell whether the store is away for all or a
/// successor is being elected. If all others don't reach it either and none of them stands for
/// election, there can be no successor.
#[derive(Debug, Default)]
pub(crate) struct ElectionPromise {
    until: Cell<BootTime>,
    /// Whether an election of this process is under way: its entry as owner may be written.
    campaigning: Cell<bool>,
}

impl ElectionPromise {
    /// Pledges to keep out of elections for a while; false if one is under way.
    pub(crate) fn make(&self, now: BootTime) -> bool {
        if self.campaigning.get() {
            return false;
        }
        self.until.set(now + PROMISE);
        true
    }

    /// How long the process has to keep out of elections; `None` if it may stand.
    pub(crate) fn remaining(&self, now: BootTime) -> Option<Duration> {
        self.until
            .get()
            .checked_sub(now)
            .filter(|remaining| !remaining.is_zero())
    }

    /// Begins or ends an election of this process.
    pub(crate) fn set_campaigning(&self, campaigning: bool) {
        self.campaigning.set(campaigning);
    }
}
