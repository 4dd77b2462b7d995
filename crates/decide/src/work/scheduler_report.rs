use std::time::Duration;

use model::{
    BootTime, HostId,
    work::{PollAnswer, PollOrder, RunReport, TargetReport},
};

use crate::call_budget::CallClass;

use super::{
    LossCause, PlacementPhase, SchedulerAction, SchedulerEvent, SchedulerTime, TargetState,
    TaskPlacement, WorkJob, WorkScheduler,
    target_state::{RunKey, lagging},
};

/// A poll gets priority once the granted lease has run for `grant` divided by this.
const RENEW_FRACTION: u32 = 2;

impl WorkScheduler {
    /// Call class of the poll that a target needs now; `None` if it needs none.
    pub fn poll_class(&self, id: &HostId, now: SchedulerTime) -> Option<CallClass> {
        let target = self.targets.get(id)?;
        let busy = !target.claims.is_empty();
        if self.ownership_uncertain && !target.incarnation.token_seen {
            return None;
        }
        let has_clock = target.incarnation.clock.is_some();
        // Nothing may be started on an unreachable target until it answers, so nothing else shows
        // whether it does.
        if target.incarnation.token_seen
            && has_clock
            && !busy
            && !target.unreachable_recorded
            && target.is_state_known()
            && target.ackable_end() <= target.incarnation.last_acked_end
        {
            return None;
        }
        let granted = now.boot.saturating_sub(target.last_renewal);
        if busy && !target.unresponsive && granted >= self.tuning.grant / RENEW_FRACTION {
            return Some(CallClass::Renew);
        }
        if target.last_failure > target.last_response {
            return Some(CallClass::Probe);
        }
        // Until it is polled, the leases of its runs expire, and until all ends on it are known, older
        // jobs of its pool wait.
        Some(match target.is_state_known() {
            true => CallClass::Poll,
            false => CallClass::Renew,
        })
    }

    /// The poll that a target needs now; `None` if it needs none.
    ///
    /// The lease that it grants ends with the overhang after `sole_until`, the time until which no
    /// other process can own the cell. A successor relies on that.
    pub fn poll_order(
        &mut self,
        id: &HostId,
        sole_until: BootTime,
        now: SchedulerTime,
    ) -> Option<PollOrder> {
        self.poll_class(id, now)?;
        let tuning = self.tuning;
        let mixed = self.runs_serving_and_best_effort(id);
        let target = self.targets.get_mut_untracked(id)?;
        let busy = !target.claims.is_empty();
        let acked_end = target.acked_end_at(now.boot);
        // The lease of an unresponsive target is not renewed: it has to expire so that its tasks
        // can start elsewhere.
        let renewed_clock = target
            .clock_at(now.boot)
            .filter(|_| busy && !target.unresponsive);
        let latest = sole_until + tuning.lease_overhang;
        let lease = tuning.grant.min(lagging(latest.saturating_sub(now.boot)));
        let lease_until = renewed_clock
            .filter(|_| !lease.is_zero())
            .map(|clock| clock + lease);
        if lease_until.is_some() {
            target.last_grant = now.boot;
        }
        if lease_until.is_some() && lease == tuning.grant {
            target.last_renewal = now.boot;
        }
        let wait = match (
            target.incarnation.token_seen && renewed_clock.is_some(),
            mixed,
        ) {
            (false, _) => Duration::ZERO,
            (true, false) => tuning.look_wait,
            (true, true) => tuning.mixed_poll_wait,
        };
        Some(PollOrder {
            token: self.token,
            acked_end,
            lease_until,
            wait,
        })
    }

    /// Handles the answer to a poll that was sent at `sent` and acknowledged ends up to `observed`.
    pub fn apply_report(
        &mut self,
        id: &HostId,
        sent: BootTime,
        observed: u64,
        answer: &PollAnswer,
        now: SchedulerTime,
    ) {
        match answer {
            PollAnswer::Seen(report) => self.apply_target_report(id, sent, observed, report, now),
            PollAnswer::Fenced => self.actions.push(SchedulerAction::StepDown(id.clone())),
            PollAnswer::OtherLife if self.predates_incarnation(id, sent) => {}
            PollAnswer::OtherLife => self.mark_target_lost(id, LossCause::PollMisdirected, now),
            PollAnswer::Refused(_) | PollAnswer::Unanswered(_) => self.mark_unresponsive(id, now),
        }
    }

    fn apply_target_report(
        &mut self,
        id: &HostId,
        sent: BootTime,
        observed: u64,
        report: &TargetReport,
        now: SchedulerTime,
    ) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let (known, started_at) = (target.incarnation.started_at, report.started_at);
        let is_other = !started_at.is_zero() && !known.is_zero() && started_at != known;
        let is_earlier = target.past_incarnations.contains(&started_at)
            || (started_at < known && self.predates_incarnation(id, sent));
        if is_other && is_earlier {
            // A delayed answer.
            return;
        }
        if known.is_zero() && self.predates_incarnation(id, sent) {
            return;
        }
        if is_other {
            self.end_incarnation(id, started_at, LossCause::RestartReported, now);
        }
        self.record_target_answer(id, sent, observed, report, now);
        let ends: Vec<_> = {
            let seen = self
                .targets
                .get(id)
                .map_or(0, |target| target.incarnation.last_handled_end);
            report
                .ended
                .iter()
                .filter(|end| end.number > seen)
                .collect()
        };
        for end in ends {
            if let Some(target) = self.targets.get_mut_untracked(id) {
                target.incarnation.last_handled_end =
                    target.incarnation.last_handled_end.max(end.number);
            }
            self.handle_task_end(id, end, now);
        }
        for run in &report.running {
            self.observe_run(id, run, now);
            self.track_stalled_run(id, run);
        }
        // A full report may omit the end of a missing run.
        if report.ended.len() < self.tuning.report_limit {
            self.record_all_ends_listed(id);
            self.handle_missing_runs(id, sent, report, now);
        }
        self.set_throttles(id);
    }

    /// Records that a target answered a poll.
    fn record_target_answer(
        &mut self,
        id: &HostId,
        sent: BootTime,
        observed: u64,
        report: &TargetReport,
        now: SchedulerTime,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.incarnation.started_at.is_zero() {
            target.incarnation.started_at = report.started_at;
        }
        // Of two clock readings, the one that predicts the later time is the better lower bound.
        let known = target.clock_at(now.boot).unwrap_or_default();
        if report.clock >= known {
            target.incarnation.clock = Some((report.clock, now.boot));
        }
        target.last_answered_call = target.last_answered_call.max(sent);
        target.last_response = now.boot;
        target.last_answered_poll = target.last_answered_poll.max(sent);
        target.incarnation.last_acked_end = target.incarnation.last_acked_end.max(observed);
        if self.ownership_uncertain && !target.incarnation.token_seen {
            return;
        }
        let was_unreachable = target.unreachable_recorded;
        let recovered = std::mem::take(&mut target.unresponsive);
        let newly_usable = !std::mem::replace(&mut target.incarnation.token_seen, true);
        if recovered || newly_usable {
            self.emit(SchedulerEvent::TargetUsable(id.clone()));
        }
        if was_unreachable {
            self.record_reachable(id);
        }
    }

    /// Records that the ends that a target lists are known, unless the target may still accept orders
    /// of a predecessor.
    fn record_all_ends_listed(&mut self, id: &HostId) {
        let is_new = |target: &TargetState| {
            target.incarnation.token_seen && !target.incarnation.all_ends_listed
        };
        if self.targets.get(id).is_some_and(is_new)
            && let Some(target) = self.targets.get_mut(id)
        {
            target.incarnation.all_ends_listed = true;
        }
    }

    fn observe_run(&mut self, id: &HostId, run: &RunReport, now: SchedulerTime) {
        let key: RunKey = (run.task.clone(), run.attempt);
        if !run.checkpoint.is_empty() {
            self.set_checkpoint(&run.task, &run.checkpoint);
        }
        if !self.job_table.jobs.contains_key(&run.task.job) {
            self.stop_unwanted_run(id, &key, now);
            return;
        }
        self.job_table.mark_started(&run.task.job);
        // A predecessor found the occurrence due, perhaps by a clock that is ahead of this one.
        // Treating its run as unwanted would stop useful work.
        self.job_table
            .open_occurrences_until(&run.task.job, run.task.occurrence, now.boot);
        self.drop_stale_unreachable(id, &key);
        let job = self.job_table.jobs.get(&run.task.job);
        let open = job.is_some_and(WorkJob::is_open);
        let task = self.job_table.task_mut_unindexed(&run.task);
        let Some(task) = task.filter(|task| open && !task.done) else {
            self.stop_unwanted_run(id, &key, now);
            return;
        };
        match &mut task.placement {
            Some(place) if place.target == *id && place.attempt == run.attempt => {
                if place.percent != run.percent {
                    place.last_progress = now.boot;
                }
                place.percent = run.percent;
                place.load = run.load;
                place.confirmed = true;
                place.from_record = false;
                if matches!(
                    place.phase,
                    PlacementPhase::Starting | PlacementPhase::Unconfirmed
                ) {
                    place.phase = PlacementPhase::Running;
                    place.since = now.boot;
                }
                self.withdraw_stop_of_late_start(id, &key, now);
            }
            Some(_) => self.stop_unwanted_run(id, &key, now),
            None => {
                task.last_attempt = task.last_attempt.max(run.attempt);
                self.adopt(id, &key, run, now);
            }
        }
    }

    /// Collects a run that may have made no progress for too long, for the next tick.
    fn track_stalled_run(&mut self, id: &HostId, run: &RunReport) {
        let key: RunKey = (run.task.clone(), run.attempt);
        if self.is_stalled(id, &key) {
            self.no_progress.insert((id.clone(), key));
        }
    }

    /// Adopts a run that a predecessor started, or whose start was executed late.
    fn adopt(&mut self, id: &HostId, run: &RunKey, report: &RunReport, now: SchedulerTime) {
        let (key, attempt) = run;
        self.claim(id, run.clone());
        let stopped = self.pending_stops.remove(&(id.clone(), run.clone()));
        let Some(step) = self.job_table.step_mut(key) else {
            return;
        };
        step.set_placement(
            key.index,
            TaskPlacement {
                phase: PlacementPhase::Running,
                confirmed: true,
                percent: report.percent,
                load: report.load,
                stop_sent: stopped.unwrap_or_default(),
                ..TaskPlacement::new(id, *attempt, now.boot)
            },
        );
        self.emit_found(SchedulerEvent::Adopted, id, run);
    }

    /// Stops a run without a matching task. Its capacity stays reserved until its end is reported.
    fn stop_unwanted_run(&mut self, id: &HostId, run: &RunKey, now: SchedulerTime) {
        self.claim(id, run.clone());
        let key = (id.clone(), run.clone());
        if self.pending_stops.contains_key(&key) || self.acknowledged_stops.contains_key(&key) {
            return;
        }
        self.emit_found(SchedulerEvent::Unwanted, id, run);
        self.stop_run(id, run, now);
    }

    /// Handles a poll or an order without an answer.
    pub(super) fn mark_unresponsive(&mut self, id: &HostId, now: SchedulerTime) {
        let unresponsive_after = self.tuning.unresponsive_after;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.last_failure = now.boot;
        if !target.unresponsive
            && now.boot.saturating_sub(target.last_answered_call) >= unresponsive_after
        {
            target.unresponsive = true;
            self.emit(SchedulerEvent::TargetUnresponsive(id.clone()));
        }
        self.record_unreachable(id, now);
    }

    fn runs_serving_and_best_effort(&self, id: &HostId) -> bool {
        let Some(target) = self.targets.get(id) else {
            return false;
        };
        let steps = || {
            target
                .claims
                .keys()
                .filter_map(|run| self.step_plan(&run.0))
        };
        steps().any(model::work::StepPlan::serves_requests) && steps().any(|step| step.best_effort)
    }

    pub(super) fn step_plan(&self, key: &model::work::TaskKey) -> Option<&model::work::StepPlan> {
        let job = self.job_table.jobs.get(&key.job)?;
        job.plan.steps.get(key.step as usize)
    }
}
