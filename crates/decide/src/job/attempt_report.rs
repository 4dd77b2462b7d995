use std::time::Duration;

use wire::fleet::JobPhase;

use super::JobState;

/// What a worker said of an attempt, or that it said nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// It runs the task.
    Running,
    /// The task ended well.
    Done,
    /// The task ran and failed, for this reason.
    Failed(String),
    /// The task was stopped before its end, by a call or because its lease lapsed.
    Stopped,
    /// The worker does not know the task.
    Unknown,
    /// The worker refused the task and did not run it, or could not be connected to.
    NotRun(String),
    /// The worker did not answer.
    Unresponsive,
    /// The worker was given up: it is not in the pool map any more, or retired there.
    WorkerGone,
}

/// What is known around a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportContext {
    /// Time since the Unix epoch.
    pub now: Duration,
    /// Which incarnation of the worker answered; empty if it did not.
    pub boot: String,
    /// How long the worker has not answered.
    pub unresponsive_for: Duration,
    /// True if the worker itself is suspected of failing whatever it runs.
    pub worker_suspect: bool,
    /// Random number that spreads retries.
    pub jitter: u64,
}

/// How often and how soon jobs are tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobPolicy {
    /// Length of a task lease.
    pub lease: Duration,
    /// Time after a lease's end in which a worker stops the task.
    pub lease_guard: Duration,
    /// Distinct healthy workers on which a job fails before it is parked.
    pub park_after: usize,
    /// Most attempts that fail or are cut off.
    pub max_failures: u32,
    /// First back-off; doubles with each attempt.
    pub first_backoff: Duration,
    /// Longest back-off.
    pub longest_backoff: Duration,
}

impl Default for JobPolicy {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(30),
            lease_guard: Duration::from_secs(10),
            park_after: 3,
            max_failures: 10,
            first_backoff: Duration::from_millis(500),
            longest_backoff: Duration::from_secs(60),
        }
    }
}

/// What to do after a report, besides recording the new state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptAction {
    /// Nothing.
    Wait,
    /// Send the same task to the same worker again; it does not run a task id twice.
    Resend,
    /// Tell the worker to stop the task.
    Stop,
}

impl JobState {
    /// The job after `report` of its current attempt, and what to do.
    ///
    /// A non-idempotent job gets a new attempt only if the worker says that it did not
    /// run the one before. If nobody can say, the job ends as unknown: a second run
    /// would be worse than telling the caller that there may have been one.
    pub fn after_report(
        &self,
        report: &AttemptReport,
        facts: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        match report {
            AttemptReport::Running if self.cancelling => (self.clone(), AttemptAction::Stop),
            AttemptReport::Running => (self.in_phase(JobPhase::Running), AttemptAction::Wait),
            AttemptReport::Done => self.finish(JobPhase::Done, "", facts),
            AttemptReport::Failed(reason) => self.after_failure(reason, facts, policy),
            AttemptReport::Stopped if self.cancelling => {
                self.finish(JobPhase::Cancelled, "cancelled", facts)
            }
            AttemptReport::Stopped => {
                self.after_interruption("stopped by its worker", facts, policy)
            }
            AttemptReport::Unknown => self.after_unknown(facts, policy),
            AttemptReport::NotRun(reason) => self.after_refusal(reason, facts, policy),
            AttemptReport::Unresponsive => self.after_no_response(facts, policy),
            AttemptReport::WorkerGone => {
                self.after_interruption("its worker is gone", facts, policy)
            }
        }
    }

    fn after_failure(
        &self,
        reason: &str,
        facts: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        let mut next = self.clone();
        next.failures += 1;
        if !facts.worker_suspect && !next.failed_on.contains(&next.worker) {
            next.failed_on.push(next.worker.clone());
        }
        reason.clone_into(&mut next.reason);
        if self.cancelling {
            return next.finish(JobPhase::Cancelled, "cancelled", facts);
        }
        if !self.spec.idempotent {
            return next.finish(JobPhase::Failed, reason, facts);
        }
        if next.failed_on.len() >= policy.park_after {
            let text = format!("failed on {} workers: {reason}", next.failed_on.len());
            return next.finish(JobPhase::Parked, &text, facts);
        }
        next.requeue(facts, policy)
    }

    /// After an attempt that may have run in part and will not run on.
    fn after_interruption(
        &self,
        reason: &str,
        facts: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        if self.cancelling {
            return self.finish(JobPhase::Cancelled, "cancelled", facts);
        }
        if !self.spec.idempotent {
            let text = format!("may have run: {reason}");
            return self.finish(JobPhase::Unknown, &text, facts);
        }
        let mut next = self.clone();
        next.failures += 1;
        reason.clone_into(&mut next.reason);
        next.requeue(facts, policy)
    }

    /// After a worker said that it does not know the task.
    ///
    /// If it is still in the incarnation for which the start was recorded, it forgot nothing:
    /// the task never arrived, and may still be on its way. Sending the same id again is
    /// harmless then. In another incarnation it may have run the task and forgotten it.
    fn after_unknown(&self, facts: &ReportContext, policy: &JobPolicy) -> (Self, AttemptAction) {
        let same_incarnation = !facts.boot.is_empty() && facts.boot == self.worker_boot;
        if same_incarnation && self.phase == JobPhase::Starting {
            let action = if self.cancelling {
                AttemptAction::Stop
            } else {
                AttemptAction::Resend
            };
            return (self.clone(), action);
        }
        self.after_interruption("its worker restarted", facts, policy)
    }

    fn after_refusal(
        &self,
        reason: &str,
        facts: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        if self.cancelling {
            return self.finish(JobPhase::Cancelled, "cancelled", facts);
        }
        let mut next = self.clone();
        reason.clone_into(&mut next.reason);
        next.requeue(facts, policy)
    }

    /// After a worker did not answer.
    ///
    /// Its tasks end with their leases, as nobody renews them; until then one may run.
    fn after_no_response(
        &self,
        facts: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        let must_have_ended = facts.unresponsive_for >= policy.lease + policy.lease_guard;
        if must_have_ended && self.spec.idempotent {
            return self.after_interruption("its worker does not answer", facts, policy);
        }
        (self.clone(), AttemptAction::Wait)
    }

    fn requeue(&self, facts: &ReportContext, policy: &JobPolicy) -> (Self, AttemptAction) {
        if self.failures >= policy.max_failures {
            let text = format!("{} failures, the last: {}", self.failures, self.reason);
            return self.finish(JobPhase::Failed, &text, facts);
        }
        let mut next = self.in_phase(JobPhase::Queued);
        next.worker.clear();
        next.worker_boot.clear();
        next.next_try = facts.now + self.backoff(facts.jitter, policy);
        (next, AttemptAction::Wait)
    }

    /// Full jitter: anything up to the back-off, so that retries spread out.
    fn backoff(&self, jitter: u64, policy: &JobPolicy) -> Duration {
        let doubled = policy.first_backoff * 2_u32.saturating_pow(self.attempt.min(16));
        let longest = doubled.min(policy.longest_backoff);
        let millis = u64::try_from(longest.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(jitter % millis.max(1))
    }

    fn finish(
        &self,
        phase: JobPhase,
        reason: &str,
        facts: &ReportContext,
    ) -> (Self, AttemptAction) {
        (self.ended_as(phase, reason, facts.now), AttemptAction::Wait)
    }

    fn in_phase(&self, phase: JobPhase) -> Self {
        Self {
            phase,
            ..self.clone()
        }
    }
}
