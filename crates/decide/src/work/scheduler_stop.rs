use std::time::Duration;

use model::{
    HostId,
    work::{AttemptNumber, TargetMode, TaskKey},
};

use super::{
    HostDrainState, PlacementPhase, SchedulerAction, SchedulerTime, TaskPlacement, WorkScheduler,
    scheduler_evacuate::READY_PERCENT, target_state::RunKey,
};

/// How old an answer of a target may be to say that a start has not been carried out: the time in
/// which a stop that it leads to is on its way.
const MAX_REPORT_AGE_FOR_STOP: Duration = Duration::from_millis(100);

impl WorkScheduler {
    /// True if a stop that was ordered is still to be sent.
    ///
    /// While it waited for a connection, others of a step that lasts may have fallen away, so that
    /// the step would miss more tasks than it may. `docs/design/15-stops.md` says why this is
    /// asked at each sending.
    pub fn should_send_stop(
        &mut self,
        id: &HostId,
        task: &TaskKey,
        attempt: AttemptNumber,
        now: SchedulerTime,
    ) -> bool {
        let run: RunKey = (task.clone(), attempt);
        if !self.pending_stops.contains_key(&(id.clone(), run.clone())) {
            return false;
        }
        if self.stop_would_exceed_limit(id, &run, now) {
            self.keep_running(id, &run, now);
            return false;
        }
        !self.stop_may_hit_started_task(id, &run, now)
    }

    /// Closes a start of which it is not known whether it was carried out.
    pub(super) fn fence_start(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        let placed = self.placement_mut(id, run).is_some();
        self.set_run_phase(id, run, PlacementPhase::Stopping(false), now);
        if !placed || !self.stop_may_hit_started_task(id, run, now) {
            self.stop_run(id, run, now);
            return;
        }
        self.poll_before_stop(id, run, now);
        let pause = self.tuning.stop_retry_interval;
        if let Some(place) = self.placement_mut(id, run) {
            // The next look that lacks it brings the stop.
            place.since = now.boot.saturating_sub(pause);
        }
    }

    /// Sends the stop that closes a start again, as a look sent after the last has just shown that
    /// it is not carried out.
    pub(super) fn fence_start_again(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        let due = self.stopping_placement(id, run).is_some_and(|place| {
            now.boot.saturating_sub(place.since) >= self.tuning.stop_retry_interval
        });
        if due && self.is_long_running(run) {
            self.stop_run(id, run, now);
        }
    }

    /// Sends a stop again that has not been answered, if it is still wanted.
    pub(super) fn retry_stop(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        if self.stop_would_exceed_limit(id, run, now) {
            self.withdraw_sent_stop(id, run, now);
        } else if self.stop_may_hit_started_task(id, run, now) {
            self.poll_before_stop(id, run, now);
        } else {
            self.stop_run(id, run, now);
        }
    }

    /// Takes a stop back that was to close a start, since a look shows that start carried out.
    pub(super) fn withdraw_stop_of_late_start(
        &mut self,
        id: &HostId,
        run: &RunKey,
        now: SchedulerTime,
    ) {
        let emptied = self.is_draining(id)
            || self
                .targets
                .get(id)
                .is_some_and(|target| target.drain != HostDrainState::None);
        if !emptied && self.stopping_placement(id, run).is_some() && self.is_long_running(run) {
            self.withdraw_sent_stop(id, run, now);
        }
    }

    /// Notes that a stop may be carried out late.
    pub(super) fn mark_stop_unconfirmed(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        if let Some(place) = self.placement_mut(id, run) {
            place.stop_sent = now.boot;
        }
    }

    /// Takes a stop back that may have been sent, and may be carried out late.
    fn withdraw_sent_stop(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        self.keep_running(id, run, now);
        self.mark_stop_unconfirmed(id, run, now);
    }

    fn keep_running(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        self.pending_stops.remove(&(id.clone(), run.clone()));
        self.set_run_phase(id, run, PlacementPhase::Running, now);
    }

    /// True if a stop would end a task that a look has shown at work, while as many others of its
    /// step are away as may be.
    fn stop_would_exceed_limit(&self, id: &HostId, run: &RunKey, now: SchedulerTime) -> bool {
        let place = self.stopping_placement(id, run);
        let at_work = place.is_some_and(|place| place.confirmed && place.percent >= READY_PERCENT);
        at_work && self.is_long_running(run) && !self.is_draining(id) && !self.may_disrupt(run, now)
    }

    /// True if a start that is to be closed may have been carried out since its target was heard
    /// last, while as many others of its step are away as may be. Its stop would end a task at work.
    fn stop_may_hit_started_task(&self, id: &HostId, run: &RunKey, now: SchedulerTime) -> bool {
        let target = self.targets.get(id);
        let fresh = target.is_some_and(|target| {
            now.boot.saturating_sub(target.last_response) < MAX_REPORT_AGE_FOR_STOP
        });
        let closing = self.stopping_placement(id, run).is_some() && self.is_long_running(run);
        closing && !fresh && !self.is_draining(id) && !self.may_disrupt(run, now)
    }

    fn poll_before_stop(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        self.pending_stops
            .insert((id.clone(), run.clone()), now.boot);
        self.actions.push(SchedulerAction::Poll(id.clone()));
    }

    fn is_draining(&self, id: &HostId) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| target.entry.mode == TargetMode::Draining)
    }

    /// The place of a task whose stop has not been answered, and that is still wanted.
    fn stopping_placement(&self, id: &HostId, run: &RunKey) -> Option<&TaskPlacement> {
        self.job_table
            .jobs
            .get(&run.0.job)
            .filter(|job| job.is_open())?;
        let stopping = |place: &&TaskPlacement| place.phase == PlacementPhase::Stopping(false);
        self.job_table.placement_of(id, run).filter(stopping)
    }
}
