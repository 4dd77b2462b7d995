use std::time::Duration;

use model::{BootTime, HostId, JobId, work::TaskKey};
use wire::work::log_entry::Event;

use super::{DeskEvent, DeskTime, PlacementPhase, WorkDesk, WorkPhase, target_state::RunKey};

/// Time without any progress after which a task counts as stalled. Looks come once a second at
/// least, and a task that is eight times as slow as estimated still gets on by a percent or more
/// between them, unless it is estimated at above ten seconds.
const STALLED: Duration = Duration::from_millis(2200);
/// A task may stand still for its estimate divided by this: it gets on by more than a percent in
/// that time even where it is five times as slow.
const STALL_PARTS: u32 = 5;
/// While one in so many listed targets, or more, is not heard, the owner's own link may be the cause.
const UNHEARD_SHARE: usize = 4;
/// The same while the store is heard late too, or where the answer to a doubt costs bytes of the link.
const UNHEARD_SHARE_ALONE: usize = 10;
/// How long a call that failed speaks against the link.
const FAILED_RECENTLY: Duration = Duration::from_secs(2);
/// How long a store that was heard too late speaks against the link.
const LATE_STORE: Duration = Duration::from_secs(5);
/// How long a silence of many targets is waited for. A link that is full for longer does not get
/// free by waiting, and what a cut has parted from its owner has to go on elsewhere.
const LONGEST_SILENCE: Duration = Duration::from_secs(30);
/// Fewer targets that are not heard tell nothing of the link.
const UNHEARD_LEAST: usize = 8;

impl WorkDesk {
    /// Does what is due by time alone. To be called several times a second.
    pub fn tick(&mut self, now: DeskTime) {
        self.sync(now.boot);
        self.open_occurrences(now);
        self.end_pauses(now);
        self.repeat_stops(now);
        self.write_off(now);
        self.evacuate(now);
        self.end_broken_gangs(now);
        self.stop_stalled(now);
        self.drop_targets(now);
        self.forget_jobs(now);
        self.observe_backlog(now);
    }

    /// Forgets jobs that have ended long ago.
    fn forget_jobs(&mut self, now: DeskTime) {
        let before = now.boot.saturating_sub(self.tuning.shown);
        for id in self.index.jobs.ended_before(before) {
            self.board.jobs.remove(&id);
        }
    }

    /// Takes a cancellation in that has been stored.
    pub fn cancel(&mut self, job: &JobId, now: DeskTime) {
        self.board.cancel(job, now.boot);
        self.stop_job(job, now);
        self.stale = true;
    }

    /// Starts nothing more of a job whose cancellation can't be stored for now; false if that was
    /// known, or if it is not open.
    ///
    /// What runs goes on: should the store come back to another owner, that one knows nothing of it.
    pub fn hold(&mut self, job: &str) -> bool {
        let job = self.board.jobs.get_mut(job);
        let Some(job) = job.filter(|job| job.phase == WorkPhase::Open) else {
            return false;
        };
        job.phase = WorkPhase::CancelPending;
        true
    }

    pub(super) fn open_occurrences(&mut self, now: DeskTime) {
        let early = self.tuning.early;
        for id in &self.index.jobs.repeating {
            let Some(job) = self.board.jobs.get_mut_untracked(id) else {
                continue;
            };
            let before = job.opened;
            job.open_due_occurrences(now.unix, now.boot, early);
            if job.opened != before {
                self.board.jobs.mark_changed(id);
            }
        }
    }

    /// Targets whose pause is over take tasks again, and questions for advice may be due.
    fn end_pauses(&mut self, now: DeskTime) {
        self.index.targets.end_pauses(now.boot, &mut self.index.due);
        while self
            .failed_waits
            .front()
            .is_some_and(|end| *end <= now.boot)
        {
            self.failed_waits.pop_front();
            self.stale = true;
        }
        let advised = self.terms.queues.iter().any(|queue| queue.advice.is_some());
        self.stale |= advised || !self.starved.is_empty();
        let open = &self.board.open;
        self.starved.retain(|step, _| open.contains(&step.job));
    }

    fn repeat_stops(&mut self, now: DeskTime) {
        let pause = self.tuning.stop_again;
        self.stopped
            .retain(|_, answered| now.boot.saturating_sub(*answered) < pause);
        let due = self
            .stops
            .iter()
            .filter(|(_, sent)| now.boot.saturating_sub(**sent) >= pause);
        let due: Vec<_> = due.map(|(stop, _)| stop.clone()).collect();
        for (id, run) in due {
            let target = self.targets.get(&id);
            if !target.is_some_and(|target| target.claims.contains_key(&run)) {
                self.stops.remove(&(id, run));
            } else if target.is_some_and(|target| !target.unresponsive) {
                self.stop_again(&id, &run, now);
            }
        }
    }

    /// Gives up the runs of targets whose granted time has certainly lapsed without an answer.
    ///
    /// A run that ended in time has ended, though, and its target may have listed that in an answer
    /// that was lost. While many targets are not heard at once, the answers are probably lost on
    /// this owner's link, so they are waited for; `docs/design/14-ends-of-targets.md` argues why.
    fn write_off(&mut self, now: DeskTime) {
        if self.alone {
            self.was_alone = Some(now.boot);
        }
        if self.awaits_many(now) {
            return;
        }
        let lapsing = &self.index.targets.expiring;
        let lapsing = lapsing.iter().filter_map(|id| self.targets.get(id));
        let lapsed: Vec<HostId> = lapsing
            .filter(|target| now.boot >= self.lapse_of(target))
            .map(|target| target.entry.target.clone())
            .collect();
        for id in lapsed {
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            target.inherited = false;
            target.incarnation.token_seen = false;
            if target.claims.is_empty() {
                self.stale = true;
                continue;
            }
            let born = target.incarnation.started_at;
            self.end_life(&id, born, "lapsed", now);
        }
    }

    /// True while the silence of many targets is waited for, and for a moment after it.
    fn awaits_many(&mut self, now: DeskTime) -> bool {
        if self.misses_many(now) {
            self.missed_many = Some(now.boot);
        }
        let silence = self.tuning.silence;
        let missed = self.missed_many;
        if missed.is_none_or(|missed| now.boot.saturating_sub(missed) >= silence) {
            self.missing_since = None;
            return false;
        }
        if self.missing_since.is_none() {
            self.note(DeskEvent::SilenceAwaited(self.index.targets.listed));
        }
        let since = *self.missing_since.get_or_insert(now.boot);
        now.boot.saturating_sub(since) < LONGEST_SILENCE
    }

    /// True while so many listed targets are not heard that their silence says little of each.
    ///
    /// Hosts that are down leave the host list before what was granted to them lapses.
    fn misses_many(&self, now: DeskTime) -> bool {
        let recent = |alone: BootTime| now.boot.saturating_sub(alone) < LATE_STORE;
        let share = match self.was_alone.is_some_and(recent) {
            true => UNHEARD_SHARE_ALONE,
            false => UNHEARD_SHARE,
        };
        self.unheard_exceeds(share, now)
    }

    /// True if one in so many listed targets, or more, is not heard, or did not answer lately.
    fn unheard_exceeds(&self, share: usize, now: DeskTime) -> bool {
        let targets = &self.index.targets;
        let recently = now.boot.saturating_sub(FAILED_RECENTLY) + Duration::from_nanos(1);
        let unheard = targets.not_responding + targets.failed_since(recently);
        unheard >= UNHEARD_LEAST && unheard * share >= targets.listed
    }

    /// True if calls fail to so many targets that this owner's link may be full.
    pub(super) fn doubts_link(&mut self, now: DeskTime) -> bool {
        self.sync_targets(now.boot);
        self.unheard_exceeds(UNHEARD_SHARE_ALONE, now)
    }

    /// Stops the members of a gang of which some are missing: they would only wait for the
    /// others until their target ends them, and the gang starts whole.
    fn end_broken_gangs(&mut self, now: DeskTime) {
        let gangs = self.index.jobs.gangs.iter();
        let gangs = gangs.filter_map(|id| self.board.jobs.get(id));
        let tasks = gangs.flat_map(super::WorkJob::tasks);
        let members: Vec<(HostId, RunKey)> = tasks
            .filter(|(key, plan, _)| plan.gang && self.is_broken(key))
            .filter_map(|(key, _, task)| {
                let place = task.placement.as_ref()?;
                Some((place.target.clone(), (key, place.attempt)))
            })
            .collect();
        for (target, run) in members {
            if self.is_running(&target, &run) {
                self.stop_run(&target, &run, now);
            }
        }
    }

    /// True if some of a step's tasks are on targets while others wait.
    fn is_broken(&self, key: &TaskKey) -> bool {
        let step = self.step_by(&key.job, key.occurrence, key.step);
        step.is_some_and(|step| !step.is_done() && step.placed > 0 && step.waiting_tasks() > 0)
    }

    /// Stops tasks that have stood still for some time, to start them elsewhere. Some targets
    /// answer well while nothing that they run gets on.
    fn stop_stalled(&mut self, now: DeskTime) {
        let still = std::mem::take(&mut self.still).into_iter();
        let stalled: Vec<(HostId, RunKey)> =
            still.filter(|(id, run)| self.is_stalled(id, run)).collect();
        let tuning = self.tuning;
        for (id, run) in stalled {
            self.note(DeskEvent::Stalled(run.0.clone(), run.1, id.clone()));
            if let Some(target) = self.targets.get_mut(&id) {
                target.pause(&tuning, now.boot);
            }
            self.stop_run(&id, &run, now);
        }
    }

    /// True if a run stands still for longer than its task may, by the last answer of its target.
    pub(super) fn is_stalled(&self, id: &HostId, run: &RunKey) -> bool {
        let plan = self.step_of(&run.0);
        let Some(plan) = plan.filter(|plan| !plan.long_running && !plan.best_effort && !plan.gang)
        else {
            return false;
        };
        let (Some(place), Some(target)) = (self.board.placement_of(id, run), self.targets.get(id))
        else {
            return false;
        };
        let limit = STALLED.max(plan.estimate / STALL_PARTS);
        let open = self.board.open.contains(&run.0.job);
        open && place.phase == PlacementPhase::Running
            && target.last_response.saturating_sub(place.last_progress) >= limit
    }

    /// When all that was granted on a target has lapsed.
    ///
    /// A predecessor that was cut off from the store may go on for a bounded time. It hears
    /// from the first target that this owner has reached that it has been succeeded; only
    /// while few have been reached has the whole of that time to pass. Targets that the host
    /// list no longer has don't count: after some moves of hosts there are many of them.
    fn lapse_of(&self, target: &super::TargetState) -> BootTime {
        let lapse = target.leases_expired_at(&self.tuning);
        if !target.inherited || target.incarnation.token_seen || self.board.handed_over {
            return lapse;
        }
        if self.index.targets.reached * 2 >= self.index.targets.listed {
            lapse + self.tuning.silence
        } else {
            lapse + self.tuning.alone
        }
    }

    fn drop_targets(&mut self, now: DeskTime) {
        self.sync(now.boot);
        for id in self.index.targets.forgettable.clone() {
            self.targets.remove(&id);
            self.paces.remove(&id);
            if self.board.used_targets.remove(id.as_str()).is_some() {
                self.record(Event::Released(id.to_string()), None, None);
            }
        }
    }
}
