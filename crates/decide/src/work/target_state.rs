use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{
    BootTime, WorkspaceId,
    work::{AttemptNumber, ResourceVector, TargetEntry, TargetMode, TaskKey},
};

use super::SchedulerTuning;

/// A target's steady clock may be this much slow, in thousandths, as the platform says.
const CLOCK_LAG_PERMILLE: u32 = 20;

/// How long after an answer a target is taken to live on while no call to it fails. Where ends are
/// being stored the next look follows within 0.3 s.
const SAME_INCARNATION: Duration = Duration::from_millis(500);

/// How old the last answer of a target at work may be: a look waits for up to a second, and its
/// answer takes some milliseconds.
pub(super) const RESPONSE_MAX_AGE: Duration = Duration::from_millis(1300);

/// Unanswered starts that are remembered of one target; it pauses longer after each, so that
/// there are few.
const MAX_UNCONFIRMED: usize = 64;

/// One run on a target, by task and number of the start.
pub type RunKey = (TaskKey, AttemptNumber);

/// What a run takes, for as long as it may be there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunClaim {
    /// Part of the target's room.
    pub resources: ResourceVector,
    /// Part of the workspace's limit.
    pub charged: ResourceVector,
    /// The workspace.
    pub workspace: WorkspaceId,
}

/// What is known of the life that a target lives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// Counts the lives that this desk has seen.
    pub number: u64,
    /// When it began, as the target says; zero if unknown.
    pub started_at: Duration,
    /// When this desk heard of it. The answer to a call that was sent before may be an earlier
    /// life's.
    pub since: BootTime,
    /// The target's clock, and when it was read.
    pub clock: Option<(Duration, BootTime)>,
    /// Whether the target has seen this owner's token.
    pub token_seen: bool,
    /// Highest number of an end that has been handled.
    pub last_handled_end: u64,
    /// Ends that have been handled and not observed, those of them with an entry that is not
    /// stored yet.
    pub unstored_ends: BTreeSet<u64>,
    /// What `observed` was in the last look that was answered.
    pub last_acked_end: u64,
}

/// A target as the owner sees it.
#[derive(Clone, Debug, Default)]
pub struct TargetState {
    /// What the host list says.
    pub entry: TargetEntry,
    /// Whether the host list has it.
    pub listed: bool,
    /// Whether the log says that tasks may be on it.
    pub recorded: bool,
    /// Whether a predecessor may have started tasks on it.
    pub inherited: bool,
    /// Whether the log says what may run there, and that nothing is started there until it is
    /// recorded anew.
    pub unreachable_recorded: bool,
    /// Its life.
    pub incarnation: TargetIncarnation,
    /// What may be there.
    pub claims: BTreeMap<RunKey, RunClaim>,
    /// Room that the claims take together.
    pub used: ResourceVector,
    /// When the last call that was answered had been sent; zero for none.
    pub last_answered_call: BootTime,
    /// When the last answer came. A look may wait for a second, and what it tells is fresh.
    pub last_response: BootTime,
    /// When the last look that was answered had been sent.
    pub last_answered_poll: BootTime,
    /// When a call last failed: its life may have ended since.
    pub last_failure: BootTime,
    /// Last call that renewed and may still be under way.
    pub last_grant: BootTime,
    /// Whether it is known to be silent.
    pub unresponsive: bool,
    /// Gets no new tasks before this time.
    pub paused_until: BootTime,
    /// Refusals and failures in a row.
    pub consecutive_failures: u32,
    /// Starts that were not answered, with the time of their sending. They may be carried out
    /// long after, also by a later life of the target, which knows nothing of their stops.
    pub unconfirmed_starts: Vec<(RunKey, BootTime)>,
    /// What its host is wanted for, which keeps it free of new tasks.
    pub drain: HostDrainState,
    /// How many lists of hosts in a row had no host with this life.
    pub lists_absent: u32,
}

/// Whether a target's host is kept free, for its maintenance or a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostDrainState {
    /// It takes tasks.
    #[default]
    None,
    /// It is being emptied; this can still be given up.
    Draining,
    /// The order to the host may have been sent: whatever starts there may end at once.
    Ordered,
}

impl TargetState {
    /// A target that the host list has begun to show.
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

    /// Room that is left.
    pub fn free(&self) -> ResourceVector {
        self.entry.capacity.minus(self.used)
    }

    /// True if a task may be started there now.
    pub fn accepts_tasks(&self, now: BootTime) -> bool {
        self.can_run() && self.drain == HostDrainState::None && now >= self.paused_until
    }

    /// True if a task could run there, though other things speak against starting it.
    pub fn can_run(&self) -> bool {
        self.listed
            && self.recorded
            && self.incarnation.token_seen
            && !self.unresponsive
            && self.drain != HostDrainState::Ordered
            && self.entry.mode == TargetMode::Ready
    }

    /// True if the desk knows what may run there: a successor does once it has looked.
    pub fn is_state_known(&self) -> bool {
        self.incarnation.token_seen || !self.inherited
    }

    /// True if nothing can be running there.
    ///
    /// A target that a successor has not looked at has no claims either. Taken for empty, its
    /// host would be the first to be maintained or moved, and the order would end whatever a
    /// predecessor had started there; the look answers some milliseconds later.
    pub fn is_empty(&self) -> bool {
        (self.is_state_known() || self.unreachable_recorded) && self.claims.is_empty()
    }

    /// The target's clock at a time, at least.
    pub fn clock_at(&self, now: BootTime) -> Option<Duration> {
        let (clock, read) = self.incarnation.clock?;
        let passed = now.saturating_sub(read);
        Some(clock + passed - passed * CLOCK_LAG_PERMILLE / 1000)
    }

    /// When everything that was granted so far has certainly lapsed.
    pub fn leases_expired_at(&self, tuning: &SchedulerTuning) -> BootTime {
        let longest = tuning.lease_limit + tuning.lease_limit * CLOCK_LAG_PERMILLE / 1000;
        self.last_grant + longest + tuning.lapse_margin
    }

    /// Highest number up to which all ends are handled and stored.
    pub fn ackable_end(&self) -> u64 {
        match self.incarnation.unstored_ends.first() {
            Some(&first) => first - 1,
            None => self.incarnation.last_handled_end,
        }
    }

    /// What a look sent at a time may tell the target to forget.
    ///
    /// A life that began unnoticed counts its ends anew. Told by a number of the life before, it
    /// would forget ends that nobody has seen, and their tasks would run again.
    pub fn acked_end_at(&self, now: BootTime) -> u64 {
        let same_life = self.last_answered_poll > self.last_failure
            && now.saturating_sub(self.last_response) < SAME_INCARNATION;
        if same_life { self.ackable_end() } else { 0 }
    }

    /// Takes room for a run.
    pub fn claim(&mut self, run: RunKey, claim: RunClaim) {
        self.used = self.used.plus(claim.resources);
        if let Some(old) = self.claims.insert(run, claim) {
            self.used = self.used.minus(old.resources);
        }
    }

    /// Gives the room of a run back; `None` if it held none.
    pub fn release_claim(&mut self, run: &RunKey) -> Option<RunClaim> {
        let claim = self.claims.remove(run)?;
        self.used = self.used.minus(claim.resources);
        Some(claim)
    }

    /// Begins another life, of which nothing is known. Returns what the old one held.
    ///
    /// What was granted stays granted: the calls may have reached the new life.
    pub fn begin_incarnation(
        &mut self,
        started_at: Duration,
        now: BootTime,
    ) -> Vec<(RunKey, RunClaim)> {
        // The silence was the old life's; taken for the new one's, it would end that at once.
        self.unresponsive = false;
        self.last_answered_call = now;
        self.incarnation = TargetIncarnation {
            number: self.incarnation.number + 1,
            started_at,
            since: now,
            ..TargetIncarnation::default()
        };
        self.used = ResourceVector::default();
        std::mem::take(&mut self.claims).into_iter().collect()
    }

    /// Counts a failed run. One says little, since tasks fail by their own fault too; several
    /// in a row without a success between make the target pause.
    pub fn count_failure(&mut self, tuning: &SchedulerTuning, now: BootTime) {
        if self.consecutive_failures == 0 {
            self.consecutive_failures = 1;
        } else {
            self.pause(tuning, now);
        }
    }

    /// Notes a start that was not answered.
    pub fn add_unconfirmed(&mut self, run: RunKey, now: BootTime) {
        if self.unconfirmed_starts.len() == MAX_UNCONFIRMED {
            self.unconfirmed_starts.remove(0);
        }
        self.unconfirmed_starts.push((run, now));
    }

    /// Takes the unanswered starts that may still be carried out.
    pub fn take_unconfirmed(&mut self, tuning: &SchedulerTuning, now: BootTime) -> Vec<RunKey> {
        let doubts = std::mem::take(&mut self.unconfirmed_starts);
        let fresh =
            |(_, sent): &(RunKey, BootTime)| now.saturating_sub(*sent) < tuning.max_delivery_delay;
        doubts
            .into_iter()
            .filter(fresh)
            .map(|(run, _)| run)
            .collect()
    }

    /// Pauses after a refusal or a failure, longer with each in a row.
    pub fn pause(&mut self, tuning: &SchedulerTuning, now: BootTime) {
        let doublings = self.consecutive_failures.min(8);
        let pause = tuning.failure_pause * 2_u32.pow(doublings);
        self.consecutive_failures += 1;
        self.paused_until = now + pause.min(tuning.max_failure_pause);
    }
}
