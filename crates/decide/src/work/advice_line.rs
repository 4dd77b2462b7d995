use std::time::Duration;

use model::BootTime;

use super::{step_advice::NamedTarget, step_key::StepKey};

/// Calls in progress with which the service stays busy between an answer and the next call.
const PIPELINED_CALLS: usize = 2;
/// Calls that take this long altogether keep the service busy for longer than a round trip.
const PIPELINED_TIME: Duration = Duration::from_millis(100);
/// Upper limit of the calls in progress: half of what the service lets wait.
const MAX_CALLS: usize = 16;
/// Pause after a failed call; it doubles with each consecutive one.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Upper limit of the pause after a failed call.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Calls of one process to the advice service that are in progress.
///
/// The service handles one call of a process after the other, so an answer is due only after those
/// of all earlier calls. A call that is given up still takes its turn there. With as many calls in
/// progress as keep the service busy, none waits long behind others, and none is given up unless
/// the service is much slower than the policy says.
#[derive(Clone, Debug, Default)]
pub(super) struct AdviceLine {
    /// In the order in which they were sent.
    in_progress: Vec<PendingCall>,
    consecutive_failures: u32,
    paused_until: BootTime,
}

/// A call to the service.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) step: StepKey,
    pub(super) targets: Vec<NamedTarget>,
    pub(super) sent: BootTime,
    /// When the service should have handled it.
    pub(super) due: BootTime,
}

impl AdviceLine {
    /// Returns the number of calls in progress.
    pub(super) fn count(&self) -> usize {
        self.in_progress.len()
    }

    /// Returns true if the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns true if a call for the step is in progress.
    pub(super) fn is_in_progress(&self, step: &StepKey) -> bool {
        self.in_progress.iter().any(|call| call.step == *step)
    }

    /// Returns true if another call may be sent.
    pub(super) fn may_begin(&self, now: BootTime) -> bool {
        if now < self.paused_until {
            return false;
        }
        let is_late = self.in_progress.first().is_some_and(|call| call.due < now);
        match self.in_progress.len() {
            0 => true,
            // A service that fails or is late gets no further calls to work on.
            _ if self.consecutive_failures > 0 || is_late => false,
            count if count < PIPELINED_CALLS => true,
            count => count < MAX_CALLS && self.busy_time(now) < PIPELINED_TIME,
        }
    }

    /// Adds a call that takes the service `call_time`. Returns the time until its answer is due.
    pub(super) fn begin(
        &mut self,
        step: StepKey,
        targets: Vec<NamedTarget>,
        call_time: Duration,
        now: BootTime,
    ) -> Duration {
        let due_in = self.busy_time(now) + call_time;
        let due = now + due_in;
        self.in_progress.push(PendingCall {
            step,
            targets,
            sent: now,
            due,
        });
        due_in
    }

    /// Removes the call for a step, which was answered or has failed.
    pub(super) fn end(
        &mut self,
        step: &StepKey,
        answered: bool,
        now: BootTime,
    ) -> Option<PendingCall> {
        let ended = self.in_progress.iter().position(|call| call.step == *step);
        let ended = ended.map(|index| self.in_progress.remove(index));
        if answered {
            self.consecutive_failures = 0;
            self.paused_until = BootTime::ZERO;
        } else if now >= self.paused_until {
            let doublings = self.consecutive_failures.min(8);
            let pause = FAILURE_PAUSE * 2_u32.pow(doublings);
            self.consecutive_failures += 1;
            self.paused_until = now + pause.min(MAX_FAILURE_PAUSE);
        }
        ended
    }

    /// Returns how long the service is busy with the calls in progress.
    pub(super) fn busy_time(&self, now: BootTime) -> Duration {
        let last = self.in_progress.last();
        last.map_or(Duration::ZERO, |call| call.due.saturating_sub(now))
    }
}
