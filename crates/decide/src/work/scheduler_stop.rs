use std::time::Duration;

use model::{
    HostId,
    work::{AttemptNumber, TargetMode, TaskKey},
};

use super::{
    HostDrainState, PlacementPhase, SchedulerAction, SchedulerTime, TaskPlacement, WorkScheduler,
    scheduler_evacuate::READY_PERCENT, target_state::RunKey,
};

/// Maximum age of a report that shows that a start has not been executed: as long as the resulting
/// stop is in flight.
const MAX_REPORT_AGE_FOR_STOP: Duration = Duration::from_millis(100);

impl WorkScheduler {
    /// Whether an ordered stop still has to be sent.
    ///
    /// While it waited for a connection, other tasks of a long-running step may have become
    /// unavailable, so that the step would exceed its limit of unavailable tasks.
    /// `docs/design/15-stops.md` explains why this is checked before each send.
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

    /// Fences a start whose outcome is unknown, by a stop.
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
            // The next poll whose report lacks the run triggers the stop.
            place.since = now.boot.saturating_sub(pause);
        }
    }

    /// Sends the stop that fences a start again, after a later poll has shown that the start is not
    /// executed.
    pub(super) fn fence_start_again(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        let due = self.stopping_placement(id, run).is_some_and(|place| {
            now.boot.saturating_sub(place.since) >= self.tuning.stop_retry_interval
        });
        if due && self.is_long_running(run) {
            self.stop_run(id, run, now);
        }
    }

    /// Sends an unanswered stop again if it is still wanted.
    pub(super) fn retry_stop(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        if self.stop_would_exceed_limit(id, run, now) {
            self.withdraw_sent_stop(id, run, now);
        } else if self.stop_may_hit_started_task(id, run, now) {
            self.poll_before_stop(id, run, now);
        } else {
            self.stop_run(id, run, now);
        }
    }

    /// Withdraws the stop that was to fence a start, because a report shows the started run.
    pub(super) fn withdraw_stop_of_late_start(
        &mut self,
        id: &HostId,
        run: &RunKey,
        now: SchedulerTime,
    ) {
        let draining = self.is_draining(id)
            || self
                .targets
                .get(id)
                .is_some_and(|target| target.drain != HostDrainState::None);
        if !draining && self.stopping_placement(id, run).is_some() && self.is_long_running(run) {
            self.withdraw_sent_stop(id, run, now);
        }
    }

    /// Records that a stop may still be executed late.
    pub(super) fn mark_stop_unconfirmed(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        if let Some(place) = self.placement_mut(id, run) {
            place.stop_sent = now.boot;
        }
    }

    /// Withdraws a stop that may have been sent and may still be executed late.
    fn withdraw_sent_stop(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        self.keep_running(id, run, now);
        self.mark_stop_unconfirmed(id, run, now);
    }

    fn keep_running(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        self.pending_stops.remove(&(id.clone(), run.clone()));
        self.set_run_phase(id, run, PlacementPhase::Running, now);
    }

    /// Whether a stop would end a task that was reported as ready while its step already has as
    /// many unavailable tasks as allowed.
    fn stop_would_exceed_limit(&self, id: &HostId, run: &RunKey, now: SchedulerTime) -> bool {
        let place = self.stopping_placement(id, run);
        let ready = place.is_some_and(|place| place.confirmed && place.percent >= READY_PERCENT);
        ready && self.is_long_running(run) && !self.is_draining(id) && !self.may_disrupt(run, now)
    }

    /// Whether a start that is to be fenced may have been executed since the last report of its
    /// target while its step already has as many unavailable tasks as allowed. The stop would end a
    /// running task.
    fn stop_may_hit_started_task(&self, id: &HostId, run: &RunKey, now: SchedulerTime) -> bool {
        let target = self.targets.get(id);
        let recent = target.is_some_and(|target| {
            now.boot.saturating_sub(target.last_response) < MAX_REPORT_AGE_FOR_STOP
        });
        let fencing = self.stopping_placement(id, run).is_some() && self.is_long_running(run);
        fencing && !recent && !self.is_draining(id) && !self.may_disrupt(run, now)
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

    /// Placement of a task with an unanswered stop whose job is still open.
    fn stopping_placement(&self, id: &HostId, run: &RunKey) -> Option<&TaskPlacement> {
        self.job_table
            .jobs
            .get(&run.0.job)
            .filter(|job| job.is_open())?;
        let stopping = |place: &&TaskPlacement| place.phase == PlacementPhase::Stopping(false);
        self.job_table.placement_of(id, run).filter(stopping)
    }
}
