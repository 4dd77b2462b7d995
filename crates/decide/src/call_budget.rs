//! Prioritizes an owner's calls when its link can't carry them all.
//!
//! Start with [`CallBudget`]; `docs/design/13-platform.md` describes the calls of an owner.

use std::time::Duration;

use model::BootTime;

/// Average size of a short call with its response on the link, in bytes.
const CALL_BYTES: f64 = 1500.0;
/// How long the calls in flight may keep the link busy at first.
const INITIAL_FILL: Duration = Duration::from_millis(100);
/// Maximum time for which the calls in flight may keep the link busy.
const MAX_FILL: Duration = Duration::from_millis(250);
/// Lower bound of the limit, as a fraction of the initial limit, when responses are late.
const MIN_LIMIT_FACTOR: f64 = 0.4;
/// Calls that may be in flight on the narrowest link.
const MIN_CALLS: f64 = 4.0;
/// Responses that take longer than this are late: something on the path delays them.
const LATE_AFTER: Duration = Duration::from_millis(150);
/// Factor applied to the limit after a late response.
const LATE_DECREASE: f64 = 0.7;
/// Minimum time between two such decreases, because calls that were sent together are late
/// together.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay of the owner's event loop from which on it counts as late. Orders time out after half a second,
/// in which each passes the loop several times.
pub(crate) const LOOP_LATE_AFTER: Duration = Duration::from_millis(50);
/// Lower bound of the limit for starts while the event loop is late.
const MIN_LOOP_CALLS: f64 = 64.0;
/// Factor applied to the limit for starts each time the event loop is not late.
const LOOP_INCREASE: f64 = 1.25;
/// Maximum number of starts that wait to be sent, as a fraction of the limit. They keep the link busy
/// until the scheduler's next pass, which follows each answer.
const WAITING_STARTS_FACTOR: f64 = 0.25;
/// Lists of hosts are in flight for at most this part of the time: one in six.
const LIST_SPACING_FACTOR: u32 = 6;
/// Maximum duration that is counted for one list.
const MAX_LIST_TIME: Duration = Duration::from_millis(300);

/// Purpose of a call to a target, in order of priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// Stops a task.
    Stop,
    /// Polls a target whose tasks need their time extended soon, or a target of a predecessor that
    /// has not been reached.
    Renew,
    /// Starts a task.
    Start,
    /// Polls a target.
    Poll,
    /// Polls a target that did not respond to the last call.
    Probe,
}

impl CallClass {
    /// Fraction of the limit up to which calls of this class are admitted.
    fn limit_fraction(self) -> f64 {
        match self {
            Self::Stop => f64::INFINITY,
            Self::Renew | Self::Start => 1.0,
            Self::Poll => 0.75,
            Self::Probe => 0.25,
        }
    }
}

/// Limits the calls that an owner has in flight, by the bandwidth of its link, by the latency of
/// responses and by the delay of its event loop.
///
/// If more calls are sent than the link carries, responses are late. The calls time out and are
/// repeated, and the renewals of the owner's lease wait behind them. The same happens if the event loop
/// can't handle what starts cause; those that are not sent stay with the scheduler, which selects the
/// most urgent ones, and admission counts them as backlog.
#[derive(Clone, Debug)]
pub struct CallBudget {
    initial_limit: f64,
    max_limit: f64,
    limit: f64,
    decreased_at: BootTime,
    /// Limit for starts by the delay of the event loop.
    loop_limit: f64,
    /// When it was last lowered.
    loop_decreased_at: BootTime,
    in_flight: f64,
    /// Calls in flight to targets that did not respond to the last call. They may last until they
    /// time out but take no bandwidth, so they are counted separately.
    probes: f64,
}

impl CallBudget {
    /// Creates the budget of an owner whose link carries `bytes_per_second`.
    pub fn new(bytes_per_second: f64) -> Self {
        let calls = |fill: Duration| bytes_per_second * fill.as_secs_f64() / CALL_BYTES;
        let initial_limit = calls(INITIAL_FILL).max(MIN_CALLS);
        let max_limit = calls(MAX_FILL).max(initial_limit);
        Self {
            initial_limit,
            max_limit,
            loop_limit: max_limit,
            loop_decreased_at: BootTime::ZERO,
            limit: initial_limit,
            decreased_at: BootTime::ZERO,
            in_flight: 0.0,
            probes: 0.0,
        }
    }

    /// True if a call may be sent now.
    pub fn admits(&self, class: CallClass) -> bool {
        let limit = match class {
            CallClass::Start => self.start_limit(),
            _ => self.limit,
        };
        let most = (limit * class.limit_fraction()).max(1.0);
        let used = match class {
            CallClass::Probe => self.probes,
            _ => self.in_flight,
        };
        used + 1.0 <= most
    }

    /// How many more starts may be ordered if `waiting` starts wait to be sent.
    ///
    /// The order of starts is fixed once they wait. So no more of them wait than are sent next, and
    /// the scheduler selects the others when their turn comes.
    pub fn start_room(&self, waiting: usize) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a conversion from float holds to the range of the type"
        )]
        let most = (self.start_limit() * WAITING_STARTS_FACTOR).max(1.0) as usize;
        most.saturating_sub(waiting)
    }

    /// Counts a call that is sent.
    pub fn begin(&mut self, class: CallClass) {
        *self.in_flight_mut(class) += 1.0;
    }

    /// Handles the end of a call that was answered or given up after `took`.
    pub fn end(&mut self, class: CallClass, took: Duration, now: BootTime) {
        self.release(class);
        // A target that was unresponsive before may be gone, which says nothing about the link.
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

    /// Adapts the limit to how late the event loop resumed a task that was due. Has to be called several
    /// times a second.
    pub fn record_loop_delay(&mut self, delay: Duration, now: BootTime) {
        if delay < LOOP_LATE_AFTER {
            self.loop_limit = (self.loop_limit * LOOP_INCREASE).min(self.max_limit);
        } else if now.saturating_sub(self.loop_decreased_at) >= DECREASE_INTERVAL {
            self.loop_decreased_at = now;
            let used = self.loop_limit.min(self.in_flight);
            self.loop_limit = (used * LATE_DECREASE).max(MIN_LOOP_CALLS);
        }
    }

    /// Number of calls in flight up to which starts are admitted.
    ///
    /// A late event loop limits starts alone. They cause most of what it has to handle, while polls bring
    /// the ends without which targets stay occupied.
    pub fn start_limit(&self) -> f64 {
        self.limit.min(self.loop_limit)
    }

    /// Stops counting a call whose response is delayed until the target has something to report.
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

/// Spaces out list requests for hosts according to their duration.
///
/// The size of a list grows with the fleet. On a narrow link, consecutive lists would leave no
/// bandwidth for the renewals of the owner's lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListThrottle {
    /// Until then, lists have used up their part of the time.
    busy_until: BootTime,
    /// How much earlier the next list may begin: two lists in a row show that an incarnation has
    /// ended.
    lead: Duration,
}

impl ListThrottle {
    /// True if the hosts may be listed now.
    pub fn admits(&self, now: BootTime) -> bool {
        now + self.lead >= self.busy_until
    }

    /// Records a list that began at `begun` and lasted `took`.
    pub fn record_list(&mut self, begun: BootTime, took: Duration) {
        let counted = took.min(MAX_LIST_TIME) * LIST_SPACING_FACTOR;
        self.busy_until = self.busy_until.max(begun) + counted;
        self.lead = counted;
    }
}
