use std::time::Duration;

use model::{
    HostId,
    work::{AttemptNumber, TargetMode, TaskKey},
};

use super::{
    DeskOrder, DeskTime, HostDrainState, PlacementPhase, TaskPlacement, WorkDesk,
    desk_evacuate::AT_WORK, target_state::RunKey,
};

/// How old an answer of a target may be to say that a start has not been carried out: the time in
/// which a stop that it leads to is on its way.
const JUST_HEARD: Duration = Duration::from_millis(100);

impl WorkDesk {
    /// True if a stop that was ordered is still to be sent.
    ///
    /// While it waited for a connection, others of a step that lasts may have fallen away, so that
    /// the step would miss more tasks than it may. `docs/design/15-stops.md` says why this is
    /// asked at each sending.
    pub fn wants_stop(
        &mut self,
        id: &HostId,
        task: &TaskKey,
        attempt: AttemptNumber,
        now: DeskTime,
    ) -> bool {
        let run: RunKey = (task.clone(), attempt);
        if !self.stops.contains_key(&(id.clone(), run.clone())) {
            return false;
        }
        if self.would_miss(id, &run, now) {
            self.leave_at_work(id, &run, now);
            return false;
        }
        !self.may_have_started(id, &run, now)
    }

    /// Closes a start of which it is not known whether it was carried out.
    pub(super) fn close_start(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        let placed = self.place_mut(id, run).is_some();
        self.set_phase(id, run, PlacementPhase::Stopping(false), now);
        if !placed || !self.may_have_started(id, run, now) {
            self.stop_run(id, run, now);
            return;
        }
        self.look_before_stop(id, run, now);
        let pause = self.tuning.stop_again;
        if let Some(place) = self.place_mut(id, run) {
            // The next look that lacks it brings the stop.
            place.since = now.boot.saturating_sub(pause);
        }
    }

    /// Sends the stop that closes a start again, as a look sent after the last has just shown that
    /// it is not carried out.
    pub(super) fn close_again(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        let due = self
            .stopping_place(id, run)
            .is_some_and(|place| now.boot.saturating_sub(place.since) >= self.tuning.stop_again);
        if due && self.lasts(run) {
            self.stop_run(id, run, now);
        }
    }

    /// Sends a stop again that has not been answered, if it is still wanted.
    pub(super) fn stop_again(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        if self.would_miss(id, run, now) {
            self.take_back(id, run, now);
        } else if self.may_have_started(id, run, now) {
            self.look_before_stop(id, run, now);
        } else {
            self.stop_run(id, run, now);
        }
    }

    /// Takes a stop back that was to close a start, since a look shows that start carried out.
    pub(super) fn spare_late_start(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        let emptied = self.is_draining(id)
            || self
                .targets
                .get(id)
                .is_some_and(|target| target.drain != HostDrainState::None);
        if !emptied && self.stopping_place(id, run).is_some() && self.lasts(run) {
            self.take_back(id, run, now);
        }
    }

    /// Notes that a stop may be carried out late.
    pub(super) fn doubt_stop(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        if let Some(place) = self.place_mut(id, run) {
            place.stop_sent = now.boot;
        }
    }

    /// Takes a stop back that may have been sent, and may be carried out late.
    fn take_back(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        self.leave_at_work(id, run, now);
        self.doubt_stop(id, run, now);
    }

    fn leave_at_work(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        self.stops.remove(&(id.clone(), run.clone()));
        self.set_phase(id, run, PlacementPhase::Running, now);
    }

    /// True if a stop would end a task that a look has shown at work, while as many others of its
    /// step are away as may be.
    fn would_miss(&self, id: &HostId, run: &RunKey, now: DeskTime) -> bool {
        let place = self.stopping_place(id, run);
        let at_work = place.is_some_and(|place| place.confirmed && place.percent >= AT_WORK);
        at_work && self.lasts(run) && !self.is_draining(id) && !self.may_stop(run, now)
    }

    /// True if a start that is to be closed may have been carried out since its target was heard
    /// last, while as many others of its step are away as may be. Its stop would end a task at work.
    fn may_have_started(&self, id: &HostId, run: &RunKey, now: DeskTime) -> bool {
        let target = self.targets.get(id);
        let fresh =
            target.is_some_and(|target| now.boot.saturating_sub(target.last_response) < JUST_HEARD);
        let closing = self.stopping_place(id, run).is_some() && self.lasts(run);
        closing && !fresh && !self.is_draining(id) && !self.may_stop(run, now)
    }

    fn look_before_stop(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        self.stops.insert((id.clone(), run.clone()), now.boot);
        self.orders.push(DeskOrder::Look(id.clone()));
    }

    fn is_draining(&self, id: &HostId) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| target.entry.mode == TargetMode::Draining)
    }

    /// The place of a task whose stop has not been answered, and that is still wanted.
    fn stopping_place(&self, id: &HostId, run: &RunKey) -> Option<&TaskPlacement> {
        self.board
            .jobs
            .get(&run.0.job)
            .filter(|job| job.is_open())?;
        let stopping = |place: &&TaskPlacement| place.phase == PlacementPhase::Stopping(false);
        self.board.placement_of(id, run).filter(stopping)
    }
}
