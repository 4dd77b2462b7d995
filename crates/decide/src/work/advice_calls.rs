use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;
use model::BootTime;

use super::{
    advice_line::{AdviceLine, PendingCall},
    step_advice::NamedTarget,
    step_key::StepKey,
};

/// A call is given up once its answer has taken this many times as long as it should, and
/// [`TIMEOUT_MARGIN`] longer.
const TIMEOUT_FACTOR: u32 = 2;
/// Minimum time that a late answer is waited for.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Upper limit of the doublings of [`TIMEOUT_FACTOR`].
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;
/// An answer is late if it takes this many times as long as expected, and [`LATE_MARGIN`] longer.
const LATE_FACTOR: f64 = 1.5;
/// What messages and event loops may add to the time of a call.
const LATE_MARGIN: Duration = Duration::from_millis(100);
/// Share of late answers above which fewer processes are used. A single slow process does not count.
const MAX_LATE_SHARE: f64 = 0.5;
/// Share of late answers up to which further processes are used.
const GROWTH_LATE_SHARE: f64 = 0.1;
/// How long no further process is used after answers were late.
const GROWTH_PAUSE: Duration = Duration::from_secs(3);
/// Factor by which earlier calls lose weight with each further one in the average number of calls for
/// a step.
const CALLS_DECAY: f64 = 0.98;
/// Calls for steps that need one each which that average begins with.
const CALLS_PRIOR: f64 = 5.0;
/// Weight of the last answer in the averages of [`AdviceCalls`].
const ANSWER_WEIGHT: f64 = 0.3;

/// The process that calls the advice service.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdviceCaller {
    /// The owner of the cell itself.
    #[default]
    Owner,
    /// The process that serves peers on this address.
    Peer(CompactString),
}

/// Calls to the advice service that are in progress, by the process that sends them.
///
/// The service handles the calls of different processes side by side, so the owner sends as many as
/// it needs through other processes. It uses one more with each answer that is in time, and half as
/// many once most answers are late: then the calls of the processes wait for each other after all, and
/// more of them would only be given up.
#[derive(Clone, Debug)]
pub(super) struct AdviceCalls {
    lines: BTreeMap<AdviceCaller, AdviceLine>,
    /// Processes that may be asked to send further calls, besides the owner.
    peers: BTreeSet<CompactString>,
    last_call_time: Duration,
    /// Upper limit of the processes that send calls at the same time.
    max_lines: usize,
    /// Time until which the limit does not grow.
    growth_paused_until: BootTime,
    /// Average time of calls while a single process sends some, as a multiple of what the policy
    /// says.
    pace: f64,
    /// Share of the recent answers that were late.
    late_share: f64,
    /// Number of calls that were given up since the last answer. A service that is much slower than
    /// its policy says would never be heard if the timeouts did not grow with it.
    unanswered_calls: u32,
    /// Decaying counts of calls, and of first calls for a step.
    calls: f64,
    first_calls: f64,
}

impl Default for AdviceCalls {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            peers: BTreeSet::new(),
            last_call_time: Duration::ZERO,
            max_lines: 1,
            growth_paused_until: BootTime::ZERO,
            pace: 1.0,
            late_share: 0.0,
            unanswered_calls: 0,
            calls: 0.0,
            first_calls: 0.0,
        }
    }
}

impl AdviceCalls {
    /// Sets the processes that may send calls for the owner.
    pub(super) fn set_peers(&mut self, peers: BTreeSet<CompactString>) {
        self.lines.retain(|caller, line| match caller {
            AdviceCaller::Owner => true,
            AdviceCaller::Peer(address) => line.count() > 0 || peers.contains(address),
        });
        self.peers = peers;
    }

    /// Returns the number of calls in progress.
    pub(super) fn count(&self) -> usize {
        self.lines.values().map(AdviceLine::count).sum()
    }

    /// Returns how long the service works on the last call.
    pub(super) fn last_call_time(&self) -> Duration {
        self.last_call_time
    }

    /// Returns true if a call for the step is in progress.
    pub(super) fn is_in_progress(&self, step: &StepKey) -> bool {
        self.lines.values().any(|line| line.is_in_progress(step))
    }

    /// Returns the process that should send the next call: the one whose turn at the service comes
    /// first, those whose last call failed after all others. `None` while none may.
    pub(super) fn next_caller(&self, now: BootTime) -> Option<AdviceCaller> {
        let peers = self.peers.iter().cloned().map(AdviceCaller::Peer);
        let callers = std::iter::once(AdviceCaller::Owner).chain(peers);
        let unused = AdviceLine::default();
        let may_add_line = self.lines_in_use() < self.max_lines;
        let ready = callers.filter_map(|caller| {
            let line = self.lines.get(&caller).unwrap_or(&unused);
            if line.count() == 0 && !may_add_line {
                return None;
            }
            let order = (line.is_failing(), line.busy_time(now), caller);
            line.may_begin(now).then_some(order)
        });
        let (_, _, caller) = ready.min()?;
        Some(caller)
    }

    /// Returns the average number of calls for a step.
    pub(super) fn calls_per_step(&self) -> f64 {
        (self.calls + CALLS_PRIOR) / (self.first_calls + CALLS_PRIOR)
    }

    /// Counts a call for a step; `is_first` if the service has not answered for it yet.
    pub(super) fn count_call(&mut self, is_first: bool) {
        self.calls = self.calls * CALLS_DECAY + 1.0;
        self.first_calls = self.first_calls * CALLS_DECAY + f64::from(u8::from(is_first));
    }

    /// Adds a call that takes the service `call_time`. Returns its timeout.
    pub(super) fn begin(
        &mut self,
        caller: AdviceCaller,
        step: StepKey,
        targets: Vec<NamedTarget>,
        call_time: Duration,
        now: BootTime,
    ) -> Duration {
        self.last_call_time = call_time;
        let line = self.lines.entry(caller).or_default();
        let due_in = line.begin(step, targets, call_time, now);
        let doublings = self.unanswered_calls.min(MAX_TIMEOUT_DOUBLINGS);
        due_in * (TIMEOUT_FACTOR << doublings) + TIMEOUT_MARGIN
    }

    /// Removes the call for a step, which was answered or has failed. Returns the targets that it
    /// named.
    pub(super) fn end(
        &mut self,
        step: &StepKey,
        answered: bool,
        now: BootTime,
    ) -> Vec<NamedTarget> {
        let in_use = self.lines_in_use();
        let mut lines = self.lines.values_mut();
        let line = lines.find(|line| line.is_in_progress(step));
        let Some(call) = line.and_then(|line| line.end(step, answered, now)) else {
            return Vec::new();
        };
        if answered {
            self.unanswered_calls = 0;
            self.adapt_to_answer(&call, in_use, now);
        } else if now >= call.due {
            self.unanswered_calls += 1;
        }
        call.targets
    }

    /// Adapts the number of processes that send calls to the time that an answer took.
    fn adapt_to_answer(&mut self, call: &PendingCall, in_use: usize, now: BootTime) {
        let expected = call.due.saturating_sub(call.sent);
        let took = now.saturating_sub(call.sent);
        if in_use == 1 {
            let ratio = took.as_secs_f64() / (expected + LATE_MARGIN).as_secs_f64();
            self.pace += (ratio.max(1.0) - self.pace) * ANSWER_WEIGHT;
        }
        let is_late = took > expected.mul_f64(self.pace * LATE_FACTOR) + LATE_MARGIN;
        let late = f64::from(u8::from(is_late));
        self.late_share += (late - self.late_share) * ANSWER_WEIGHT;
        if self.late_share > MAX_LATE_SHARE {
            self.max_lines = (self.max_lines / 2).max(1);
            self.growth_paused_until = now + GROWTH_PAUSE;
            self.late_share = 0.0;
            return;
        }
        let may_grow = self.late_share <= GROWTH_LATE_SHARE && now >= self.growth_paused_until;
        if may_grow && in_use >= self.max_lines {
            self.max_lines = (self.max_lines + 1).min(self.peers.len() + 1);
        }
    }

    fn lines_in_use(&self) -> usize {
        let lines = self.lines.values();
        lines.filter(|line| line.count() > 0).count()
    }

    /// Returns how long a further call waits for its answer after `earlier` calls, if each takes the
    /// service `call_time`. Processes whose last call failed do not count, and those that are not used
    /// because answers were late.
    pub(super) fn time_after(&self, earlier: f64, call_time: Duration, now: BootTime) -> Duration {
        let lines = self.lines.values();
        let failing = lines.clone().filter(|line| line.is_failing()).count();
        let busy: Duration = lines.map(|line| line.busy_time(now)).sum();
        let usable = (self.peers.len() + 1).saturating_sub(failing).max(1);
        let usable = match now < self.growth_paused_until {
            true => usable.min(self.max_lines),
            false => usable,
        };
        let usable = u32::try_from(usable).unwrap_or(u32::MAX);
        (busy + call_time.mul_f64(earlier)) / usable + call_time
    }
}
