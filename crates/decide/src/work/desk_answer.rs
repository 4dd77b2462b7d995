use model::{
    BootTime, HostId,
    work::{AttemptNumber, OrderAnswer, StartAnswer, StartOrder, StartRefusal, TaskKey},
};

use super::{
    DeskEvent, DeskOrder, DeskTime, PlacementPhase, WorkDesk, WorkPhase, target_state::RunKey,
};

impl WorkDesk {
    /// Takes the answer to a start.
    pub fn started(
        &mut self,
        id: &HostId,
        task: &TaskKey,
        attempt: AttemptNumber,
        answer: &StartAnswer,
        now: DeskTime,
    ) {
        let run: RunKey = (task.clone(), attempt);
        if !self.awaits_start(id, &run) {
            // A look has told before what became of it, or it was stopped meanwhile.
            self.doubt_stopped(id, run, answer, now);
            return;
        }
        match answer {
            StartAnswer::Started { .. } => {
                self.set_phase(id, &run, PlacementPhase::Running, now);
                self.board.mark_started(&task.job);
                self.throttle_new(id, &run);
                if let Some(target) = self.targets.get_mut_untracked(id) {
                    target.last_answered_call = target.last_answered_call.max(now.boot);
                }
            }
            StartAnswer::Refused(refusal) => self.start_refused(id, &run, *refusal, now),
            StartAnswer::NotSent(_) => {
                self.note(refused(&run, id, "not-sent"));
                self.release(id, &run);
                self.pause_target(id, now);
                self.note_silence(id, now);
            }
            StartAnswer::Unanswered(_) => {
                self.note(DeskEvent::Unsure(task.clone(), attempt, id.clone()));
                self.set_phase(id, &run, PlacementPhase::Unconfirmed, now);
                if let Some(target) = self.targets.get_mut(id) {
                    target.add_unconfirmed(run, now.boot);
                }
                self.pause_target(id, now);
                self.note_silence(id, now);
                self.orders.push(DeskOrder::Look(id.clone()));
            }
        }
    }

    /// Takes back a start that this process did not send. That says nothing of its target.
    pub fn start_withdrawn(&mut self, id: &HostId, task: &TaskKey, attempt: AttemptNumber) {
        let run: RunKey = (task.clone(), attempt);
        if self.awaits_start(id, &run) {
            self.note(refused(&run, id, "withdrawn"));
            self.release(id, &run);
        }
    }

    /// Remembers an unanswered start that was stopped before: a later life of its target, which
    /// knows nothing of the stop, may carry it out.
    fn doubt_stopped(&mut self, id: &HostId, run: RunKey, answer: &StartAnswer, now: DeskTime) {
        let unanswered = matches!(answer, StartAnswer::Unanswered(_));
        if !unanswered || self.is_running(id, &run) {
            return;
        }
        if let Some(target) = self.targets.get_mut(id) {
            target.add_unconfirmed(run, now.boot);
        }
    }

    /// Takes the answer to a stop that was sent at `sent`.
    pub fn stopped(
        &mut self,
        id: &HostId,
        task: &TaskKey,
        attempt: AttemptNumber,
        sent: BootTime,
        answer: &OrderAnswer,
        now: DeskTime,
    ) {
        let run: RunKey = (task.clone(), attempt);
        if self.is_outlived(id, sent) && *answer != OrderAnswer::Fenced {
            // An earlier life's answer says nothing of the present one, where it is stopped anew.
            return;
        }
        match answer {
            OrderAnswer::Done => {
                self.stops.remove(&(id.clone(), run.clone()));
                self.stopped.insert((id.clone(), run.clone()), now.boot);
                self.set_phase(id, &run, PlacementPhase::Stopping(true), now);
            }
            OrderAnswer::Fenced => self.orders.push(DeskOrder::Resign(id.clone())),
            OrderAnswer::OtherLife => self.lose_target(id, "replaced", now),
            OrderAnswer::Unanswered(_) => {
                self.doubt_stop(id, &run, now);
                self.note_silence(id, now);
            }
            OrderAnswer::Refused(_) | OrderAnswer::NotSent(_) => self.note_silence(id, now),
        }
    }

    /// True if the present life of a target was not known when a call was sent.
    pub(super) fn is_outlived(&self, id: &HostId, sent: BootTime) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| sent < target.incarnation.since)
    }

    /// True if a start that was ordered is still to be sent: its job may have ended or be held, or
    /// the target be lost, while it waited for a connection.
    pub fn wants_start(&self, id: &HostId, task: &TaskKey, attempt: AttemptNumber) -> bool {
        let job = self.board.jobs.get(&task.job);
        let held = job.is_some_and(|job| job.phase == WorkPhase::CancelPending);
        !held && self.awaits_start(id, &(task.clone(), attempt))
    }

    /// Grants a start that has waited for its turn its time from now on. What was granted when it was
    /// decided may be over, and the target would refuse it.
    pub fn renew_start(&mut self, id: &HostId, order: &mut StartOrder, now: DeskTime) {
        let grant = self.tuning.grant;
        let target = self.targets.get_mut_untracked(id);
        let Some(target) = target.filter(|target| !target.unresponsive) else {
            return;
        };
        let Some(clock) = target.clock_at(now.boot) else {
            return;
        };
        target.last_grant = now.boot;
        order.lease_until = clock + grant;
    }

    fn awaits_start(&self, id: &HostId, run: &RunKey) -> bool {
        self.phase_of(id, run) == Some(PlacementPhase::Starting)
    }

    /// True if a task is known to run on a target under this number.
    pub(super) fn is_running(&self, id: &HostId, run: &RunKey) -> bool {
        self.phase_of(id, run) == Some(PlacementPhase::Running)
    }

    fn phase_of(&self, id: &HostId, run: &RunKey) -> Option<PlacementPhase> {
        self.board.placement_of(id, run).map(|place| place.phase)
    }

    fn start_refused(&mut self, id: &HostId, run: &RunKey, refusal: StartRefusal, now: DeskTime) {
        let name = match refusal {
            StartRefusal::Fenced => "fenced",
            StartRefusal::OldAttempt => "old-attempt",
            StartRefusal::Late => "late",
            StartRefusal::NoRoom => "no-room",
            StartRefusal::NoTicket => "no-ticket",
            StartRefusal::Unhealthy => "unhealthy",
            StartRefusal::OtherLife => "other-life",
            StartRefusal::Malformed => "malformed",
        };
        self.note(refused(run, id, name));
        self.release(id, run);
        match refusal {
            StartRefusal::Fenced => self.orders.push(DeskOrder::Resign(id.clone())),
            StartRefusal::OtherLife => self.lose_target(id, "replaced", now),
            StartRefusal::NoTicket => self.drop_tickets(&run.0),
            StartRefusal::Late => {
                // The clock is not what it was taken for; the next look reads it anew.
                if let Some(target) = self.targets.get_mut(id) {
                    target.incarnation.clock = None;
                    target.incarnation.token_seen = false;
                }
                self.orders.push(DeskOrder::Look(id.clone()));
            }
            StartRefusal::OldAttempt => {}
            StartRefusal::NoRoom | StartRefusal::Unhealthy | StartRefusal::Malformed => {
                self.pause_target(id, now);
                self.orders.push(DeskOrder::Look(id.clone()));
            }
        }
    }

    fn release(&mut self, id: &HostId, run: &RunKey) {
        self.unclaim(id, run);
        self.vacate_place(id, run);
    }

    fn pause_target(&mut self, id: &HostId, now: DeskTime) {
        let tuning = self.tuning;
        if let Some(target) = self.targets.get_mut(id) {
            target.pause(&tuning, now.boot);
        }
    }

    fn drop_tickets(&mut self, key: &TaskKey) {
        if let Some(step) = self.board.step_mut(key) {
            step.tickets.clear();
        }
    }
}

fn refused(run: &RunKey, id: &HostId, name: &'static str) -> DeskEvent {
    DeskEvent::StartRefused(run.0.clone(), run.1, id.clone(), name)
}
