use model::{
    BootTime, HostId,
    work::{AttemptNumber, OrderAnswer, StartAnswer, StartOrder, StartRefusal, TaskKey},
};

use super::{
    LossCause, PlacementPhase, SchedulerAction, SchedulerEvent, SchedulerTime, WorkPhase,
    WorkScheduler,
    target_state::{RunKey, lagging},
};

impl WorkScheduler {
    /// Handles the answer to a start order.
    pub fn handle_start_answer(
        &mut self,
        id: &HostId,
        task: &TaskKey,
        attempt: AttemptNumber,
        answer: &StartAnswer,
        now: SchedulerTime,
    ) {
        let run: RunKey = (task.clone(), attempt);
        if !self.is_starting(id, &run) {
            // A report already showed the outcome, or the run was stopped meanwhile.
            self.track_unconfirmed_start(id, run, answer, now);
            return;
        }
        match answer {
            StartAnswer::Started { .. } => {
                self.set_run_phase(id, &run, PlacementPhase::Running, now);
                self.job_table.mark_started(&task.job);
                self.throttle_new(id, &run);
                if let Some(target) = self.targets.get_mut_untracked(id) {
                    target.last_answered_call = target.last_answered_call.max(now.boot);
                }
            }
            StartAnswer::Refused(refusal) => self.handle_start_refusal(id, &run, *refusal, now),
            StartAnswer::NotSent(_) => {
                self.emit(start_refused_event(&run, id, "not-sent"));
                self.release_run(id, &run, "not-sent");
                self.pause_target(id, now);
                self.mark_unresponsive(id, now);
            }
            StartAnswer::Unanswered(_) => {
                self.emit(SchedulerEvent::Unconfirmed(
                    task.clone(),
                    attempt,
                    id.clone(),
                ));
                self.set_run_phase(id, &run, PlacementPhase::Unconfirmed, now);
                if let Some(target) = self.targets.get_mut(id) {
                    target.add_unconfirmed(run, now.boot);
                }
                self.pause_target(id, now);
                self.mark_unresponsive(id, now);
                self.actions.push(SchedulerAction::Poll(id.clone()));
            }
        }
    }

    /// Withdraws a start that this process did not send. This says nothing about its target.
    pub fn withdraw_unsent_start(&mut self, id: &HostId, task: &TaskKey, attempt: AttemptNumber) {
        let run: RunKey = (task.clone(), attempt);
        if self.is_starting(id, &run) {
            self.emit(start_refused_event(&run, id, "withdrawn"));
            self.release_run(id, &run, "withdrawn");
        }
    }

    /// Remembers an unanswered start that was already stopped: a later incarnation of its target
    /// does not know of the stop and may execute the start.
    fn track_unconfirmed_start(
        &mut self,
        id: &HostId,
        run: RunKey,
        answer: &StartAnswer,
        now: SchedulerTime,
    ) {
        let unanswered = matches!(answer, StartAnswer::Unanswered(_));
        if !unanswered || self.is_running(id, &run) {
            return;
        }
        if let Some(target) = self.targets.get_mut(id) {
            target.add_unconfirmed(run, now.boot);
        }
    }

    /// Handles the answer to a stop order that was sent at `sent`.
    pub fn handle_stop_answer(
        &mut self,
        id: &HostId,
        task: &TaskKey,
        attempt: AttemptNumber,
        sent: BootTime,
        answer: &OrderAnswer,
        now: SchedulerTime,
    ) {
        let run: RunKey = (task.clone(), attempt);
        if self.predates_incarnation(id, sent) && *answer != OrderAnswer::Fenced {
            // The answer of an earlier incarnation says nothing about the present one, where the
            // run is stopped again.
            return;
        }
        match answer {
            OrderAnswer::Done => {
                self.pending_stops.remove(&(id.clone(), run.clone()));
                self.acknowledged_stops
                    .insert((id.clone(), run.clone()), now.boot);
                self.set_run_phase(id, &run, PlacementPhase::Stopping(true), now);
            }
            OrderAnswer::Fenced => self.actions.push(SchedulerAction::StepDown(id.clone())),
            OrderAnswer::OtherLife => self.mark_target_lost(id, LossCause::StopMisdirected, now),
            OrderAnswer::Unanswered(_) => {
                self.mark_stop_unconfirmed(id, &run, now);
                self.mark_unresponsive(id, now);
            }
            OrderAnswer::Refused(_) | OrderAnswer::NotSent(_) => self.mark_unresponsive(id, now),
        }
    }

    /// Whether a call was sent before the present incarnation of the target was known.
    pub(super) fn predates_incarnation(&self, id: &HostId, sent: BootTime) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| sent < target.incarnation.since)
    }

    /// Whether an ordered start still has to be sent. While it waited for a connection, its job may
    /// have ended, its cancellation may have become pending, or the target may have been lost.
    pub fn should_send_start(&self, id: &HostId, task: &TaskKey, attempt: AttemptNumber) -> bool {
        let job = self.job_table.jobs.get(&task.job);
        let cancel_pending = job.is_some_and(|job| job.phase == WorkPhase::CancelPending);
        !cancel_pending && self.is_starting(id, &(task.clone(), attempt))
    }

    /// Lets a start that is about to be sent take effect until `latest` only, a time until which no
    /// other process can own the cell. Returns false if the target's clock is unknown; the start must
    /// not be sent then.
    ///
    /// The sender may be suspended right before the write, where it can't check its lease again. So
    /// the target has to refuse the start if it arrives later. The poll that follows a start grants
    /// a longer lease, see `docs/design/13-platform.md`.
    pub fn limit_start(
        &mut self,
        id: &HostId,
        order: &mut StartOrder,
        latest: BootTime,
        now: SchedulerTime,
    ) -> bool {
        let grant = self.tuning.grant;
        let Some(target) = self.targets.get_mut_untracked(id) else {
            return false;
        };
        let Some(clock) = target.clock_at(now.boot) else {
            return false;
        };
        let limit = clock + lagging(latest.saturating_sub(now.boot)).min(grant);
        if target.unresponsive {
            // Nothing may extend the leases there: they have to expire.
            order.lease_until = order.lease_until.min(limit);
        } else {
            target.last_grant = now.boot;
            order.lease_until = limit;
        }
        true
    }

    fn is_starting(&self, id: &HostId, run: &RunKey) -> bool {
        self.run_phase(id, run) == Some(PlacementPhase::Starting)
    }

    /// Whether a task is known to run on a target with this attempt number.
    pub(super) fn is_running(&self, id: &HostId, run: &RunKey) -> bool {
        self.run_phase(id, run) == Some(PlacementPhase::Running)
    }

    fn run_phase(&self, id: &HostId, run: &RunKey) -> Option<PlacementPhase> {
        self.job_table
            .placement_of(id, run)
            .map(|place| place.phase)
    }

    fn handle_start_refusal(
        &mut self,
        id: &HostId,
        run: &RunKey,
        refusal: StartRefusal,
        now: SchedulerTime,
    ) {
        let reason = match refusal {
            StartRefusal::Fenced => "fenced",
            StartRefusal::OldAttempt => "old-attempt",
            StartRefusal::Late => "late",
            StartRefusal::NoRoom => "no-room",
            StartRefusal::NoTicket => "no-ticket",
            StartRefusal::Unhealthy => "unhealthy",
            StartRefusal::OtherLife => "other-life",
            StartRefusal::Malformed => "malformed",
        };
        self.emit(start_refused_event(run, id, reason));
        self.release_run(id, run, "refused");
        match refusal {
            StartRefusal::Fenced => self.actions.push(SchedulerAction::StepDown(id.clone())),
            StartRefusal::OtherLife => self.mark_target_lost(id, LossCause::StartMisdirected, now),
            StartRefusal::NoTicket => self.record_ticket_refusal(id, &run.0, now),
            StartRefusal::Late => {
                // The order was held up, or the estimate of the target's clock is wrong. The next
                // poll reads the clock again.
                if let Some(target) = self.targets.get_mut(id) {
                    target.incarnation.clock = None;
                }
                self.actions.push(SchedulerAction::Poll(id.clone()));
            }
            StartRefusal::OldAttempt => {}
            StartRefusal::NoRoom | StartRefusal::Unhealthy | StartRefusal::Malformed => {
                self.pause_target(id, now);
                self.actions.push(SchedulerAction::Poll(id.clone()));
            }
        }
    }

    fn release_run(&mut self, id: &HostId, run: &RunKey, over: &'static str) {
        self.release_claim(id, run);
        self.clear_placement(id, run, Some(over));
    }

    fn pause_target(&mut self, id: &HostId, now: SchedulerTime) {
        let tuning = self.tuning;
        if let Some(target) = self.targets.get_mut(id) {
            target.pause(&tuning, now.boot);
        }
    }
}

fn start_refused_event(run: &RunKey, id: &HostId, reason: &'static str) -> SchedulerEvent {
    SchedulerEvent::StartRefused(run.0.clone(), run.1, id.clone(), reason)
}
