use std::time::Duration;

use model::{BootTime, HostId, JobId};
use wire::work::log_entry::Event;

use super::{
    LapsedLease, LossCause, PlacementPhase, SchedulerEvent, SchedulerTime, TargetLoss, WorkPhase,
    WorkScheduler, target_state::RunKey,
};

/// Time without progress after which a task counts as stalled. Polls come at least once a second. A
/// task that is eight times as slow as estimated still progresses by a percent or more between
/// them, unless its estimate is above ten seconds.
const MIN_STALL_TIME: Duration = Duration::from_millis(2200);
/// A task may make no progress for its estimate divided by this: even if it is five times as slow,
/// it progresses by more than a percent in that time.
const STALL_ESTIMATE_FRACTION: u32 = 5;
/// If at least one in this many listed targets does not respond, the owner's own link may be the
/// cause.
const MASS_UNRESPONSIVE_FRACTION: usize = 4;
/// The same while store responses are late too, or where acting on the suspicion would cost
/// bandwidth of the link.
const MASS_UNRESPONSIVE_FRACTION_UNCERTAIN: usize = 10;
/// How long a failed call counts as a sign of a bad link.
const RECENT_FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// How long a late store response counts as a sign of a bad link.
const RECENT_STORE_DELAY_WINDOW: Duration = Duration::from_secs(5);
/// How long to wait for many unresponsive targets. A link that is saturated for longer does not
/// recover by waiting, and work that a network partition has separated from its owner has to
/// continue elsewhere.
const MAX_MASS_UNRESPONSIVE_WAIT: Duration = Duration::from_secs(30);
/// Tasks of schedules that one call opens, unless each schedule opens a single occurrence.
const MAX_OPENED_TASKS: u32 = 4096;
/// Fewer targets that do not respond say nothing about the link.
const MIN_NOT_RESPONDING: usize = 8;

impl WorkScheduler {
    /// Runs all time-driven work. Has to be called several times a second.
    pub fn tick(&mut self, now: SchedulerTime) {
        self.sync_indexes(now.boot);
        self.apply_deferred_entries(now);
        self.open_occurrences(now);
        self.end_expired_pauses(now);
        self.forget_ended_advice(now);
        self.retry_stops(now);
        self.give_up_lapsed_targets(now);
        self.evacuate(now);
        self.stop_incomplete_gangs(now);
        self.stop_stalled_runs(now);
        self.remove_unneeded_targets(now);
        self.remove_expired_jobs(now);
        self.observe_backlog(now);
    }

    /// Removes jobs whose retention after their end has passed.
    fn remove_expired_jobs(&mut self, now: SchedulerTime) {
        let before = now.boot.saturating_sub(self.tuning.ended_job_retention);
        for id in self.index.jobs.ended_before(before) {
            self.job_table.jobs.remove(&id);
        }
    }

    /// Applies a cancellation that has been stored.
    pub fn cancel(&mut self, job: &JobId, now: SchedulerTime) {
        self.job_table.cancel(job, now.boot);
        self.stop_job_runs(job, now);
        self.replan_needed = true;
    }

    /// Stops starting tasks of a job whose cancellation can't be stored for now. Returns false if
    /// the cancellation was already pending or the job is not open.
    ///
    /// Running tasks continue: if another owner gets access to the store first, it does not know of
    /// the cancellation.
    pub fn mark_cancel_pending(&mut self, job: &str) -> bool {
        let job = self.job_table.jobs.get_mut(job);
        let Some(job) = job.filter(|job| job.phase == WorkPhase::Open) else {
            return false;
        };
        job.phase = WorkPhase::CancelPending;
        true
    }

    /// Opens occurrences that are due. Schedules that are behind share what one call opens.
    pub(super) fn open_occurrences(&mut self, now: SchedulerTime) {
        let early_start = self.tuning.early_start;
        let schedules = u32::try_from(self.index.jobs.repeating.len()).unwrap_or(u32::MAX);
        let tasks_each = MAX_OPENED_TASKS / schedules.max(1);
        for id in &self.index.jobs.repeating {
            let Some(job) = self.job_table.jobs.get_mut_untracked(id) else {
                continue;
            };
            let before = job.opened;
            let unstarted = self.index.jobs.work.unstarted(id);
            let room = job.max_unstarted(u32::MAX).saturating_sub(unstarted);
            let room = room.min(job.max_unstarted(tasks_each));
            job.open_due_occurrences(now.unix, now.boot, early_start, room);
            if job.opened != before {
                self.job_table.jobs.mark_changed(id);
            }
        }
    }

    /// Ends expired pauses of targets and waits after failures, and replans if tickets may have
    /// expired or the next advice request may be due.
    fn end_expired_pauses(&mut self, now: SchedulerTime) {
        self.index
            .targets
            .end_pauses(now.boot, &mut self.index.startable_pools);
        while self
            .failure_wait_deadlines
            .front()
            .is_some_and(|end| *end <= now.boot)
        {
            self.failure_wait_deadlines.pop_front();
            self.replan_needed = true;
        }
        self.replan_needed |= self.advice_queue.has_steps() || !self.unplaced_since.is_empty();
        let open = &self.job_table.open;
        self.unplaced_since
            .retain(|step, _| open.contains(&step.job));
    }

    fn retry_stops(&mut self, now: SchedulerTime) {
        let interval = self.tuning.stop_retry_interval;
        self.acknowledged_stops
            .retain(|_, answered| now.boot.saturating_sub(*answered) < interval);
        let due = self
            .pending_stops
            .iter()
            .filter(|(_, sent)| now.boot.saturating_sub(**sent) >= interval);
        let due: Vec<_> = due.map(|(stop, _)| stop.clone()).collect();
        for (id, run) in due {
            let target = self.targets.get(&id);
            if !target.is_some_and(|target| target.claims.contains_key(&run)) {
                self.pending_stops.remove(&(id, run));
            } else if target.is_some_and(|target| !target.unresponsive) {
                self.retry_stop(&id, &run, now);
            }
        }
    }

    /// Gives up the runs of targets whose lease has certainly expired without an answer.
    ///
    /// A run that ended before that has a valid end, and its target may have reported it in an
    /// answer that was lost. While many targets are unresponsive at once, their answers are
    /// probably lost on this owner's link, so it waits for them;
    /// `docs/design/14-ends-of-targets.md` explains why.
    fn give_up_lapsed_targets(&mut self, now: SchedulerTime) {
        if self.ownership_uncertain {
            self.last_uncertain = Some(now.boot);
        }
        if self.waits_out_mass_unresponsive(now) {
            return;
        }
        let lapsing = &self.index.targets.expiring;
        let lapsing = lapsing.iter().filter_map(|id| self.targets.get(id));
        let lapsed: Vec<HostId> = lapsing
            .filter(|target| now.boot >= self.lapse_deadline(target))
            .map(|target| target.entry.target.clone())
            .collect();
        for id in lapsed {
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            let lapsed = LapsedLease {
                inherited: target.inherited,
                polled: target.incarnation.token_seen,
                handed_over: self.job_table.handed_over,
                reached: self.index.targets.reached,
                listed: self.index.targets.listed,
            };
            let cause = LossCause::LeaseLapsed(lapsed);
            target.inherited = false;
            target.incarnation.token_seen = false;
            if target.claims.is_empty() {
                let since_grant = target.since_grant(now.boot);
                self.replan_needed = true;
                if lapsed.inherited && !lapsed.polled {
                    // Runs of an earlier owner that no record shows are given up with it.
                    let loss = TargetLoss {
                        cause,
                        runs: 0,
                        since_grant,
                    };
                    self.emit(SchedulerEvent::TargetLost(id, loss));
                }
                continue;
            }
            let started_at = target.incarnation.started_at;
            self.end_incarnation(&id, started_at, cause, now);
        }
    }

    /// Whether to wait for many unresponsive targets; also true for a moment afterwards.
    fn waits_out_mass_unresponsive(&mut self, now: SchedulerTime) -> bool {
        if self.is_mass_unresponsive(now) {
            self.mass_unresponsive_last = Some(now.boot);
        }
        let unresponsive_after = self.tuning.unresponsive_after;
        let last_seen = self.mass_unresponsive_last;
        if last_seen
            .is_none_or(|last_seen| now.boot.saturating_sub(last_seen) >= unresponsive_after)
        {
            self.mass_unresponsive_since = None;
            return false;
        }
        if self.mass_unresponsive_since.is_none() {
            self.emit(SchedulerEvent::MassUnresponsive(self.index.targets.listed));
        }
        let since = *self.mass_unresponsive_since.get_or_insert(now.boot);
        now.boot.saturating_sub(since) < MAX_MASS_UNRESPONSIVE_WAIT
    }

    /// Whether so many listed targets do not respond that this says little about each of them.
    ///
    /// Hosts that are down leave the host list before their granted lease expires.
    fn is_mass_unresponsive(&self, now: SchedulerTime) -> bool {
        let recent = |at: BootTime| now.boot.saturating_sub(at) < RECENT_STORE_DELAY_WINDOW;
        let share = match self.last_uncertain.is_some_and(recent) {
            true => MASS_UNRESPONSIVE_FRACTION_UNCERTAIN,
            false => MASS_UNRESPONSIVE_FRACTION,
        };
        self.not_responding_exceeds(share, now)
    }

    /// Whether at least one in `share` listed targets does not respond or has recently failed a
    /// call.
    fn not_responding_exceeds(&self, share: usize, now: SchedulerTime) -> bool {
        let targets = &self.index.targets;
        let recently = now.boot.saturating_sub(RECENT_FAILURE_WINDOW) + Duration::from_nanos(1);
        let not_responding = targets.not_responding + targets.failed_since(recently);
        not_responding >= MIN_NOT_RESPONDING && not_responding * share >= targets.listed
    }

    /// Whether calls to so many targets fail that this owner's link may be saturated.
    pub(super) fn suspects_link(&mut self, now: SchedulerTime) -> bool {
        self.sync_target_index(now.boot);
        self.not_responding_exceeds(MASS_UNRESPONSIVE_FRACTION_UNCERTAIN, now)
    }

    /// Stops the members of a gang of which some are missing. They would only wait for the others
    /// until their target ends them, and a gang starts as a whole. Members that a predecessor
    /// started may run on targets that have not been polled yet.
    fn stop_incomplete_gangs(&mut self, now: SchedulerTime) {
        let unpolled_pools = self.index.targets.unknown_pools();
        let gangs = self.index.jobs.gangs.iter();
        let gangs = gangs.filter_map(|id| self.job_table.jobs.get(id));
        let gangs = gangs.filter(|job| !job.may_run_unseen(&unpolled_pools));
        let steps = gangs.flat_map(super::WorkJob::steps);
        let incomplete = steps.filter(|(_, plan, state)| plan.gang && state.is_partly_placed());
        let members: Vec<(HostId, RunKey)> = incomplete
            .flat_map(|(key, _, state)| {
                let tasks = (0..).zip(&state.tasks);
                tasks.filter_map(move |(index, task)| {
                    let place = task.placement.as_ref()?;
                    Some((place.target.clone(), (key.task(index), place.attempt)))
                })
            })
            .collect();
        for (target, run) in members {
            if self.is_running(&target, &run) {
                self.stop_run(&target, &run, now);
            }
        }
    }

    /// Stops tasks that make no progress, to start them elsewhere. Some targets answer normally
    /// while none of their tasks progress.
    fn stop_stalled_runs(&mut self, now: SchedulerTime) {
        let candidates = std::mem::take(&mut self.no_progress).into_iter();
        let stalled: Vec<(HostId, RunKey)> = candidates
            .filter(|(id, run)| self.is_stalled(id, run))
            .collect();
        let tuning = self.tuning;
        for (id, run) in stalled {
            self.emit(SchedulerEvent::Stalled(run.0.clone(), run.1, id.clone()));
            if let Some(target) = self.targets.get_mut(&id) {
                target.pause(&tuning, now.boot);
            }
            self.stop_run(&id, &run, now);
        }
    }

    /// Whether a run has made no progress for longer than allowed, up to the last report of its
    /// target.
    pub(super) fn is_stalled(&self, id: &HostId, run: &RunKey) -> bool {
        let plan = self.step_plan(&run.0);
        let Some(plan) = plan.filter(|plan| !plan.long_running && !plan.best_effort && !plan.gang)
        else {
            return false;
        };
        let (Some(place), Some(target)) =
            (self.job_table.placement_of(id, run), self.targets.get(id))
        else {
            return false;
        };
        let limit = MIN_STALL_TIME.max(plan.estimate / STALL_ESTIMATE_FRACTION);
        let open = self.job_table.open.contains(&run.0.job);
        open && place.phase == PlacementPhase::Running
            && target.last_response.saturating_sub(place.last_progress) >= limit
    }

    /// When every lease granted on a target has expired, also those of predecessors.
    ///
    /// A predecessor that has lost the store may still reach targets that this owner does not reach,
    /// and nothing there tells it that it was succeeded. So all that it can have granted has to
    /// expire, whatever other targets have answered.
    fn lapse_deadline(&self, target: &super::TargetState) -> BootTime {
        let own = target.leases_expired_at(&self.tuning);
        if !target.inherited {
            return own;
        }
        own.max(self.replay_finished_at + self.tuning.succession_wait())
    }

    fn remove_unneeded_targets(&mut self, now: SchedulerTime) {
        self.sync_indexes(now.boot);
        for id in self.index.targets.forgettable.clone() {
            self.targets.remove(&id);
            self.throttles.remove(&id);
            if self.job_table.used_targets.remove(id.as_str()).is_some() {
                self.append_log_entry(Event::Released(id.to_string()), None, None);
            }
        }
    }
}
