//! Which of an owner's calls go first when its link can't carry them all.
//!
//! Start with [`CallBudget`]; `docs/design/13-platform.md` says what an owner calls for.

use std::time::Duration;

use model::BootTime;

/// Bytes that a short call takes of a link together with its answer, on average.
const CALL_BYTES: f64 = 1500.0;
/// How long the calls under way may keep the link busy at first.
const INITIAL_FILL: Duration = Duration::from_millis(100);
/// How long they may keep it busy at most.
const MAX_FILL: Duration = Duration::from_millis(250);
/// Least part of the first limit that is left when answers come late.
const MIN_LIMIT_FACTOR: f64 = 0.4;
/// Calls that may be under way on the narrowest link.
const MIN_CALLS: f64 = 4.0;
/// Answers that take longer are late: something on the way holds them back.
const LATE_AFTER: Duration = Duration::from_millis(150);
/// What is left of the limit after a late answer.
const LATE_DECREASE: f64 = 0.7;
/// Least time between two such steps, as calls that were sent together are late together.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
/// Lists of hosts are under way for at most one such part of the time.
const LIST_SPACING_FACTOR: u32 = 6;
/// Longest time that one list is counted for.
const MAX_LIST_TIME: Duration = Duration::from_millis(300);

/// What a call to a target is for, in the order in which calls go ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// Stops a task.
    Stop,
    /// Looks at a target whose tasks need more time granted soon, or at one of a predecessor that
    /// has not been reached.
    Renew,
    /// Starts a task.
    Start,
    /// Looks at a target.
    Poll,
    /// Looks at a target that did not answer the last call.
    Probe,
}

impl CallClass {
    /// Part of the limit up to which calls of this class go ahead.
    fn limit_fraction(self) -> f64 {
        match self {
            Self::Stop => f64::INFINITY,
            Self::Renew | Self::Start => 1.0,
            Self::Poll => 0.75,
            Self::Probe => 0.25,
        }
    }
}

/// Bounds the calls that an owner has under way, by what its link carries and by how soon answers
/// come.
///
/// More calls than the link carries are answered too late: they time out and are repeated, and the
/// renewals of the owner's lease wait behind them.
#[derive(Clone, Debug)]
pub struct CallBudget {
    initial_limit: f64,
    max_limit: f64,
    limit: f64,
    decreased_at: BootTime,
    in_flight: f64,
    /// Calls under way to targets that did not answer the last. They may last until they time out
    /// and take nothing of the link, so they have a part of their own.
    probes: f64,
}

impl CallBudget {
    /// The budget of an owner whose link carries so many bytes a second.
    pub fn new(bytes_per_second: f64) -> Self {
        let calls = |fill: Duration| bytes_per_second * fill.as_secs_f64() / CALL_BYTES;
        let initial_limit = calls(INITIAL_FILL).max(MIN_CALLS);
        Self {
            initial_limit,
            max_limit: calls(MAX_FILL).max(initial_limit),
            limit: initial_limit,
            decreased_at: BootTime::ZERO,
            in_flight: 0.0,
            probes: 0.0,
        }
    }

    /// True if a call may be sent now.
    pub fn admits(&self, class: CallClass) -> bool {
        let most = (self.limit * class.limit_fraction()).max(1.0);
        let used = match class {
            CallClass::Probe => self.probes,
            _ => self.in_flight,
        };
        used + 1.0 <= most
    }

    /// A call is sent.
    pub fn begin(&mut self, class: CallClass) {
        *self.in_flight_mut(class) += 1.0;
    }

    /// A call was answered or given up, so long after its sending.
    pub fn end(&mut self, class: CallClass, took: Duration, now: BootTime) {
        self.release(class);
        // A target that did not answer before may be gone, which says nothing of the link.
        if class == CallClass::Probe {
            return;
        }
        if took < LATE_AFTER {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max_limit);
        } else if now.saturating_sub(self.decreased_at) >= DECREASE_INTERVAL {
            self.decreased_at = now;
            let least = (self.initial_limit * MIN_LIMIT_FACTOR).max(MIN_CALLS);
            self.limit = (self.limit * LATE_DECREASE).max(least);
        }
    }

    /// A call is under way whose answer comes when the target has something to tell.
    pub fn release(&mut self, class: CallClass) {
        let used = self.in_flight_mut(class);
        *used = (*used - 1.0).max(0.0);
    }

    fn in_flight_mut(&mut self, class: CallClass) -> &mut f64 {
        match class {
            CallClass::Probe => &mut self.probes,
            _ => &mut self.in_flight,
        }
    }
}

/// Spaces lists of hosts out by the time that they take.
///
/// A list grows with the fleet. On a narrow link one list after the other leaves no room for the
/// renewals of the owner's lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListThrottle {
    /// Up to when lists have used their part of the time.
    busy_until: BootTime,
    /// How long before that the next list may begin: two in a row show that a incarnation has ended.
    lead: Duration,
}

impl ListThrottle {
    /// True if the hosts may be listed now.
    pub fn admits(&self, now: BootTime) -> bool {
        now + self.lead >= self.busy_until
    }

    /// A list that began at `begun` took so long.
    pub fn record_list(&mut self, begun: BootTime, took: Duration) {
        let part = took.min(MAX_LIST_TIME) * LIST_SPACING_FACTOR;
        self.busy_until = self.busy_until.max(begun) + part;
        self.lead = part;
    }
}
