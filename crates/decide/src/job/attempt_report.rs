use std::time::Duration;

use wire::fleet::JobPhase;

use super::JobState;

/// A worker's report on an attempt, or the lack of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The worker runs the task.
    Running,
    /// The task succeeded.
    Done,
    /// The task ran and failed, with this reason.
    Failed(String),
    /// The task was stopped before its end, by a call or because its lease expired.
    Stopped,
    /// The worker does not know the task.
    Unknown,
    /// The worker refused the task and did not run it, or the connection failed.
    NotRun(String),
    /// The worker did not respond.
    Unresponsive,
    /// The worker is no longer in the pool map, or retired there.
    WorkerGone,
}

/// Context of a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportContext {
    /// Time since the Unix epoch.
    pub now: Duration,
    /// Boot id of the worker that responded; empty if it did not.
    pub boot: String,
    /// How long the worker has been unresponsive.
    pub unresponsive_for: Duration,
    /// True if the worker itself is suspected of failing every task.
    pub worker_suspect: bool,
    /// Random number that spreads retries.
    pub jitter: u64,
}

/// How often and how soon jobs are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobPolicy {
    /// Length of a task lease.
    pub lease: Duration,
    /// Time after the end of a lease within which a worker stops the task.
    pub lease_guard: Duration,
    /// Distinct healthy workers on which a job fails before it is parked.
    pub park_after: usize,
    /// Maximum number of attempts that fail or are interrupted.
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
    /// Send the same task to the same worker again; a worker does not run a task id twice.
    Resend,
    /// Tell the worker to stop the task.
    Stop,
}

impl JobState {
    /// Returns the job after `report` on its current attempt, and the action to take.
    ///
    /// A non-idempotent job gets a new attempt only if the worker reports that it did not run the
    /// previous one. If that can't be determined, the job ends as unknown: a second run would be
    /// worse than reporting to the caller that there may have been one.
    pub fn after_report(
        &self,
        report: &AttemptStatus,
        context: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        match report {
            AttemptStatus::Running if self.cancelling => (self.clone(), AttemptAction::Stop),
            AttemptStatus::Running => (self.in_phase(JobPhase::Running), AttemptAction::Wait),
            AttemptStatus::Done => self.finish(JobPhase::Done, "", context),
            AttemptStatus::Failed(reason) => self.after_failure(reason, context, policy),
            AttemptStatus::Stopped if self.cancelling => {
                self.finish(JobPhase::Cancelled, "cancelled", context)
            }
            AttemptStatus::Stopped => {
                self.after_interruption("stopped by its worker", context, policy)
            }
            AttemptStatus::Unknown => self.after_unknown(context, policy),
            AttemptStatus::NotRun(reason) => self.after_refusal(reason, context, policy),
            AttemptStatus::Unresponsive => self.after_no_response(context, policy),
            AttemptStatus::WorkerGone => {
                self.after_interruption("its worker is gone", context, policy)
            }
        }
    }

    fn after_failure(
        &self,
        reason: &str,
        context: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        let mut next = self.clone();
        next.failures += 1;
        if !context.worker_suspect && !next.failed_on.contains(&next.worker) {
            next.failed_on.push(next.worker.clone());
        }
        reason.clone_into(&mut next.reason);
        if self.cancelling {
            return next.finish(JobPhase::Cancelled, "cancelled", context);
        }
        if !self.spec.idempotent {
            return next.finish(JobPhase::Failed, reason, context);
        }
        if next.failed_on.len() >= policy.park_after {
            let text = format!("failed on {} workers: {reason}", next.failed_on.len());
            return next.finish(JobPhase::Parked, &text, context);
        }
        next.requeue(context, policy)
    }

    /// After an attempt that may have run in part and will not continue.
    fn after_interruption(
        &self,
        reason: &str,
        context: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        if self.cancelling {
            return self.finish(JobPhase::Cancelled, "cancelled", context);
        }
        if !self.spec.idempotent {
            let text = format!("may have run: {reason}");
            return self.finish(JobPhase::Unknown, &text, context);
        }
        let mut next = self.clone();
        next.failures += 1;
        reason.clone_into(&mut next.reason);
        next.requeue(context, policy)
    }

    /// After a worker reported that it does not know the task.
    ///
    /// If the worker still has the boot id for which the start was recorded, it has not lost any
    /// state: the task never arrived and may still be in transit. Sending the same id again is then
    /// harmless. After a restart, the worker may have run the task and lost its state.
    fn after_unknown(&self, context: &ReportContext, policy: &JobPolicy) -> (Self, AttemptAction) {
        let same_incarnation = !context.boot.is_empty() && context.boot == self.worker_boot;
        if same_incarnation && self.phase == JobPhase::Starting {
            let action = if self.cancelling {
                AttemptAction::Stop
            } else {
                AttemptAction::Resend
            };
            return (self.clone(), action);
        }
        self.after_interruption("its worker restarted", context, policy)
    }

    fn after_refusal(
        &self,
        reason: &str,
        context: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        if self.cancelling {
            return self.finish(JobPhase::Cancelled, "cancelled", context);
        }
        let mut next = self.clone();
        reason.clone_into(&mut next.reason);
        next.requeue(context, policy)
    }

    /// After a worker did not respond.
    ///
    /// Its tasks end when their leases expire, because nothing renews them. Until then a task may
    /// run.
    fn after_no_response(
        &self,
        context: &ReportContext,
        policy: &JobPolicy,
    ) -> (Self, AttemptAction) {
        let must_have_ended = context.unresponsive_for >= policy.lease + policy.lease_guard;
        if must_have_ended && self.spec.idempotent {
            return self.after_interruption("its worker does not answer", context, policy);
        }
        (self.clone(), AttemptAction::Wait)
    }

    fn requeue(&self, context: &ReportContext, policy: &JobPolicy) -> (Self, AttemptAction) {
        if self.failures >= policy.max_failures {
            let text = format!("{} failures, the last: {}", self.failures, self.reason);
            return self.finish(JobPhase::Failed, &text, context);
        }
        let mut next = self.in_phase(JobPhase::Queued);
        next.worker.clear();
        next.worker_boot.clear();
        next.next_try = context.now + self.backoff(context.jitter, policy);
        (next, AttemptAction::Wait)
    }

    /// Full jitter: a random time up to the back-off, so that retries spread out.
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
        context: &ReportContext,
    ) -> (Self, AttemptAction) {
        (
            self.ended_as(phase, reason, context.now),
            AttemptAction::Wait,
        )
    }

    fn in_phase(&self, phase: JobPhase) -> Self {
        Self {
            phase,
            ..self.clone()
        }
    }
}
