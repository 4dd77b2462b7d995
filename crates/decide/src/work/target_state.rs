use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;
use model::{
    BootTime, WorkspaceId,
    work::{AttemptNumber, ResourceVector, TargetEntry, TargetMode, TaskKey},
};

use super::SchedulerTuning;

/// How slow a target's monotonic clock may be, in thousandths, as the platform specifies.
const CLOCK_LAG_PERMILLE: u32 = 20;

/// How long after an answer a target is assumed to be in the same incarnation if no call to it
/// fails. While ends are being stored, the next poll follows within 0.3 s.
const SAME_INCARNATION: Duration = Duration::from_millis(500);

/// Maximum age of the last answer of a target with running tasks: a poll waits for up to a second,
/// and its answer takes some milliseconds.
pub(super) const RESPONSE_MAX_AGE: Duration = Duration::from_millis(1300);

/// Number of past incarnations of a target that are remembered: more than can begin while an answer
/// or an entry of one is under way.
const MAX_PAST_INCARNATIONS: usize = 16;

/// Maximum number of unconfirmed starts that are kept for a target. A target pauses longer after
/// each, so there are few.
const MAX_UNCONFIRMED: usize = 64;

/// What a target's clock advances at least while `elapsed` passes on this host.
pub(super) fn lagging(elapsed: Duration) -> Duration {
    elapsed - elapsed * CLOCK_LAG_PERMILLE / 1000
}

/// Key of a run on a target: the task and the number of the start.
pub type RunKey = (TaskKey, AttemptNumber);

/// Resources that are claimed for a run while it may exist.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunClaim {
    /// Resources of the target that the run uses.
    pub resources: ResourceVector,
    /// Resources that are charged against the workspace's limit.
    pub charged: ResourceVector,
    /// Workspace that is charged.
    pub workspace: WorkspaceId,
}

/// State of the current incarnation of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// Number of the incarnation, as counted by this scheduler.
    pub number: u64,
    /// Start of the incarnation as reported by the target; zero if unknown.
    pub started_at: Duration,
    /// When this scheduler learned of the incarnation. The answer to a call that was sent earlier
    /// may come from an earlier incarnation.
    pub since: BootTime,
    /// Last reading of the target's clock, and when it was read.
    pub clock: Option<(Duration, BootTime)>,
    /// Whether the target has seen this owner's token.
    pub token_seen: bool,
    /// Whether a report since then has listed all ends that were not acknowledged. A report lists a
    /// bounded number, and what came of the other runs is unknown.
    pub all_ends_listed: bool,
    /// Highest number of an end that has been handled.
    pub last_handled_end: u64,
    /// Numbers of ends that have been handled and not acknowledged, and whose log entry is not
    /// stored yet.
    pub unstored_ends: BTreeSet<u64>,
    /// Value of `acked_end` in the last poll that was answered.
    pub last_acked_end: u64,
    /// Queues for which the advice service was asked about it, and whether it was granted for any
    /// step.
    pub advised_queues: BTreeMap<CompactString, bool>,
}

/// State of a target as known to the owner.
#[derive(Clone, Debug, Default)]
pub struct TargetState {
    /// Entry of the host list.
    pub entry: TargetEntry,
    /// Whether the host list contains it.
    pub listed: bool,
    /// Whether the log records that tasks may run on it.
    pub recorded: bool,
    /// Whether a predecessor may have started tasks on it.
    pub inherited: bool,
    /// Whether the log records it as unreachable, with the tasks that may run there. No task is
    /// started there until it is recorded as reachable.
    pub unreachable_recorded: bool,
    /// Current incarnation.
    pub incarnation: TargetIncarnation,
    /// Start times of earlier incarnations that a later one has followed, oldest first. The clock of
    /// a host may be set back between two of them, so that their times do not show their order.
    pub past_incarnations: Vec<Duration>,
    /// Claims of the runs that may exist on it.
    pub claims: BTreeMap<RunKey, RunClaim>,
    /// Sum of the resources of the claims.
    pub used: ResourceVector,
    /// Time at which the last answered call was sent; zero for none.
    pub last_answered_call: BootTime,
    /// Time of the last answer. A poll may wait for a second, but its report is current.
    pub last_response: BootTime,
    /// Time at which the last answered poll was sent.
    pub last_answered_poll: BootTime,
    /// Time of the last failed call; the incarnation may have ended since.
    pub last_failure: BootTime,
    /// Time of the last call that granted a lease and may still be in progress.
    pub last_grant: BootTime,
    /// Time of the last poll that granted the whole lease. A start grants less, and so does a poll of
    /// an owner that is not certain to be the only one.
    pub last_renewal: BootTime,
    /// Whether it is known to be unresponsive.
    pub unresponsive: bool,
    /// Time until which it gets no new tasks.
    pub paused_until: BootTime,
    /// Number of consecutive refusals and failures.
    pub consecutive_failures: u32,
    /// Unanswered starts, with the time of sending. They may be carried out much later, even by a
    /// later incarnation of the target, which does not know of their stops.
    pub unconfirmed_starts: Vec<(RunKey, BootTime)>,
    /// Drain state of its host; a draining host gets no new tasks.
    pub drain: HostDrainState,
    /// Whether operators have drained its data centre, so that nothing may be started on it.
    pub data_centre_drained: bool,
    /// Number of consecutive host lists without a host for this target.
    pub lists_absent: u32,
}

/// Whether a target's host is drained for maintenance or a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostDrainState {
    /// The host accepts tasks.
    #[default]
    None,
    /// The host is draining; this can still be reverted.
    Draining,
    /// The order to the host may have been sent: tasks that start there may end at any time.
    Ordered,
}

impl TargetState {
    /// Creates the state of a target that is new in the host list.
    pub fn new(entry: TargetEntry, now: BootTime) -> Self {
        Self {
            incarnation: TargetIncarnation {
                number: 1,
                started_at: entry.started_at,
                since: now,
                ..TargetIncarnation::default()
            },
            entry,
            listed: true,
            last_answered_call: now,
            ..Self::default()
        }
    }

    /// Returns the resources that are not claimed.
    pub fn free(&self) -> ResourceVector {
        self.entry.capacity.minus(self.used)
    }

    /// Returns true if a task may be started there now.
    pub fn accepts_tasks(&self, now: BootTime) -> bool {
        self.can_run() && self.drain == HostDrainState::None && now >= self.paused_until
    }

    /// Returns true if tasks may be started on the target, even if it is draining or paused.
    pub fn can_run(&self) -> bool {
        self.listed
            && self.recorded
            && self.incarnation.token_seen
            && self.incarnation.clock.is_some()
            && !self.unresponsive
            && self.drain != HostDrainState::Ordered
            && !self.data_centre_drained
            && self.entry.mode == TargetMode::Ready
    }

    /// Returns true if the scheduler knows what may run there and what has ended. A new owner does
    /// once polls have been answered and have listed all ends.
    pub fn is_state_known(&self) -> bool {
        let incarnation = &self.incarnation;
        !self.inherited || (incarnation.token_seen && incarnation.all_ends_listed)
    }

    /// Whether the scheduler still needs this target's state.
    pub(super) fn is_needed(&self) -> bool {
        self.listed || !self.claims.is_empty() || !self.is_state_known()
    }

    /// Returns true if nothing can be running there.
    ///
    /// A target that a new owner has not polled yet has no claims either. If it were considered
    /// empty, its host would be the first to be maintained or moved, and the order would end the
    /// tasks that a predecessor started there. The answer to the poll takes only some milliseconds.
    pub fn is_empty(&self) -> bool {
        (self.is_state_known() || self.unreachable_recorded) && self.claims.is_empty()
    }

    /// Returns a lower bound of the target's clock at a time.
    pub fn clock_at(&self, now: BootTime) -> Option<Duration> {
        let (clock, read) = self.incarnation.clock?;
        Some(clock + lagging(now.saturating_sub(read)))
    }

    /// Returns the time at which all leases that were granted so far have certainly expired.
    pub fn leases_expired_at(&self, tuning: &SchedulerTuning) -> BootTime {
        let max_lease = tuning.lease_limit + tuning.lease_limit * CLOCK_LAG_PERMILLE / 1000;
        self.last_grant + max_lease + tuning.lapse_margin
    }

    /// Returns the time since the last call that granted a lease; `None` if there was none.
    pub fn since_grant(&self, now: BootTime) -> Option<Duration> {
        (!self.last_grant.is_zero()).then(|| now.saturating_sub(self.last_grant))
    }

    /// Returns the highest number up to which all ends are handled and stored.
    pub fn ackable_end(&self) -> u64 {
        match self.incarnation.unstored_ends.first() {
            Some(&first) => first - 1,
            None => self.incarnation.last_handled_end,
        }
    }

    /// Returns up to which number a poll sent now may acknowledge ends.
    ///
    /// An undetected new incarnation numbers its ends from the start. If it received a number of
    /// the previous incarnation, it would forget ends that nobody has recorded, and their tasks
    /// would run again.
    pub fn acked_end_at(&self, now: BootTime) -> u64 {
        let same_incarnation = self.last_answered_poll > self.last_failure
            && now.saturating_sub(self.last_response) < SAME_INCARNATION;
        if same_incarnation {
            self.ackable_end()
        } else {
            0
        }
    }

    /// Claims resources for a run.
    pub fn claim(&mut self, run: RunKey, claim: RunClaim) {
        self.used = self.used.plus(claim.resources);
        if let Some(old) = self.claims.insert(run, claim) {
            self.used = self.used.minus(old.resources);
        }
    }

    /// Releases the claim of a run; returns `None` if there was none.
    pub fn release_claim(&mut self, run: &RunKey) -> Option<RunClaim> {
        let claim = self.claims.remove(run)?;
        self.used = self.used.minus(claim.resources);
        Some(claim)
    }

    /// Begins a new incarnation in an unknown state. Returns the claims of the previous one.
    ///
    /// Granted leases stay in effect: the calls may have reached the new incarnation.
    pub fn begin_incarnation(
        &mut self,
        started_at: Duration,
        now: BootTime,
    ) -> Vec<(RunKey, RunClaim)> {
        // The previous incarnation was unresponsive. If the flag were kept, it would end the new
        // incarnation at once.
        self.unresponsive = false;
        self.last_answered_call = now;
        self.last_renewal = BootTime::ZERO;
        self.incarnation = TargetIncarnation {
            number: self.incarnation.number + 1,
            started_at,
            since: now,
            ..TargetIncarnation::default()
        };
        self.used = ResourceVector::default();
        std::mem::take(&mut self.claims).into_iter().collect()
    }

    /// Remembers that another incarnation follows the present one.
    pub(super) fn remember_past_incarnation(&mut self) {
        if self.past_incarnations.len() == MAX_PAST_INCARNATIONS {
            self.past_incarnations.remove(0);
        }
        self.past_incarnations.push(self.incarnation.started_at);
    }

    /// Counts a failed run. One failure says little, since tasks may fail by themselves; several in
    /// a row without a success in between make the target pause.
    pub fn count_failure(&mut self, tuning: &SchedulerTuning, now: BootTime) {
        if self.consecutive_failures == 0 {
            self.consecutive_failures = 1;
        } else {
            self.pause(tuning, now);
        }
    }

    /// Adds a start that was not answered.
    pub fn add_unconfirmed(&mut self, run: RunKey, now: BootTime) {
        if self.unconfirmed_starts.len() == MAX_UNCONFIRMED {
            self.unconfirmed_starts.remove(0);
        }
        self.unconfirmed_starts.push((run, now));
    }

    /// Removes all unanswered starts and returns those that may still be carried out.
    pub fn take_unconfirmed(&mut self, tuning: &SchedulerTuning, now: BootTime) -> Vec<RunKey> {
        let unconfirmed = std::mem::take(&mut self.unconfirmed_starts);
        let may_be_pending =
            |(_, sent): &(RunKey, BootTime)| now.saturating_sub(*sent) < tuning.max_delivery_delay;
        unconfirmed
            .into_iter()
            .filter(may_be_pending)
            .map(|(run, _)| run)
            .collect()
    }

    /// Pauses after a refusal or a failure, longer after each consecutive one.
    pub fn pause(&mut self, tuning: &SchedulerTuning, now: BootTime) {
        let doublings = self.consecutive_failures.min(8);
        let pause = tuning.failure_pause * 2_u32.pow(doublings);
        self.consecutive_failures += 1;
        self.paused_until = now + pause.min(tuning.max_failure_pause);
    }
}
