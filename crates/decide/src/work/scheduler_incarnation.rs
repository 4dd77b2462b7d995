use std::{collections::BTreeSet, time::Duration};

use model::{BootTime, HostId};

use super::{
    LossCause, PlacementPhase, SchedulerAction, SchedulerEvent, SchedulerTime, TargetLoss,
    WorkScheduler,
    target_state::{RESPONSE_MAX_AGE, RunClaim, RunKey},
};

/// Consecutive host lists that have to lack an incarnation before it counts as ended. A list is
/// read in pages without a snapshot, so that it may omit a host that changes at that moment.
const MAX_ABSENT_LISTS: u32 = 2;

impl WorkScheduler {
    /// Starts a new incarnation of a target; the runs of the previous one have ended.
    pub(super) fn end_incarnation(
        &mut self,
        id: &HostId,
        started_at: Duration,
        cause: LossCause,
        now: SchedulerTime,
    ) {
        let tuning = self.tuning;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let since_grant = target.since_grant(now.boot);
        let unconfirmed = target.take_unconfirmed(&tuning, now.boot);
        let renewed = started_at != target.incarnation.started_at;
        if renewed {
            target.remember_past_incarnation();
        }
        let claims = target.begin_incarnation(started_at, now.boot);
        let loss = TargetLoss {
            cause,
            runs: claims.len(),
            since_grant,
        };
        self.release_runs(id, claims, renewed, loss, now);
        for run in unconfirmed {
            // The start may still reach the new incarnation, so it is fenced there by a stop.
            if let Some(target) = self.targets.get_mut(id) {
                target.add_unconfirmed(run.clone(), now.boot);
            }
            self.claim(id, run.clone());
            self.fence_start(id, &run, now);
        }
    }

    /// Ends a target's incarnation without a new one under the same id for now.
    pub(super) fn mark_target_lost(&mut self, id: &HostId, cause: LossCause, now: SchedulerTime) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let since_grant = target.since_grant(now.boot);
        let claims = target.begin_incarnation(Duration::ZERO, now.boot);
        // The granted lease ended with the incarnation.
        target.last_grant = BootTime::ZERO;
        target.inherited = false;
        target.listed = false;
        let loss = TargetLoss {
            cause,
            runs: claims.len(),
            since_grant,
        };
        self.release_runs(id, claims, false, loss, now);
    }

    /// Applies the list of incarnations of all hosts, which was requested from the host control at
    /// `asked`.
    ///
    /// A target is one incarnation of a host. If its own entry is gone from the store and no host
    /// has that incarnation any more, it has ended with all of its runs, and nothing has to wait
    /// until its lease expires. Without this rule, a chain of owners that follow each other within
    /// that time would never restart the tasks of its pool, because each of them waits anew.
    pub fn update_incarnations(
        &mut self,
        listed_incarnations: &BTreeSet<HostId>,
        asked: BootTime,
        now: SchedulerTime,
    ) {
        if listed_incarnations.is_empty() {
            return;
        }
        let mut ended = Vec::new();
        let mut tracked = Vec::new();
        for (id, target) in &self.targets {
            // An incarnation that answered shortly before the list was requested is alive, whatever
            // the list contains.
            let answers =
                !target.last_response.is_zero() && target.last_response + RESPONSE_MAX_AGE >= asked;
            let is_live = target.listed || answers || listed_incarnations.contains(id);
            if !is_live || target.lists_absent > 0 {
                tracked.push((id.clone(), is_live));
            }
        }
        for (id, is_live) in tracked {
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            target.lists_absent = if is_live { 0 } else { target.lists_absent + 1 };
            if target.lists_absent >= MAX_ABSENT_LISTS {
                ended.push(id);
            }
        }
        for id in ended {
            self.mark_target_lost(&id, LossCause::HostAbsent, now);
        }
    }

    /// Whether tasks may run on incarnations that have not been polled yet and are not in the host
    /// list.
    pub fn has_unknown_incarnations(&self) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| !target.is_state_known() && !target.listed)
    }

    /// Gives up the runs of an ended incarnation, except those that the next one may have.
    /// `renewed` says whether there is a next one under the same id.
    fn release_runs(
        &mut self,
        id: &HostId,
        claims: Vec<(RunKey, RunClaim)>,
        renewed: bool,
        loss: TargetLoss,
        now: SchedulerTime,
    ) {
        let why = loss.cause.why();
        self.emit(SchedulerEvent::TargetLost(id.clone(), loss));
        let listed = self.targets.get(id).is_some_and(|target| target.listed);
        for (run, claim) in claims {
            self.remove_run_accounting(id, &run, &claim);
            match self.run_disposition(id, &run) {
                RunDisposition::Unconfirmed if renewed || listed => {
                    // The start may still reach the new incarnation, so it is fenced there by a
                    // stop.
                    self.claim(id, run.clone());
                    if let Some(place) = self.placement_mut(id, &run) {
                        place.confirmed = false;
                    }
                    self.fence_start(id, &run, now);
                }
                RunDisposition::NotReported if renewed => {
                    // The next poll shows which incarnation it belongs to.
                    self.claim(id, run);
                    self.actions.push(SchedulerAction::Poll(id.clone()));
                }
                _ => self.clear_placement(id, &run, Some(why)),
            }
        }
        self.replan_needed = true;
    }

    fn run_disposition(&self, id: &HostId, run: &RunKey) -> RunDisposition {
        let Some(place) = self.job_table.placement_of(id, run) else {
            return RunDisposition::Ended;
        };
        match place.phase {
            PlacementPhase::Starting
            | PlacementPhase::Unconfirmed
            | PlacementPhase::Stopping(false) => RunDisposition::Unconfirmed,
            PlacementPhase::Running if !place.confirmed => RunDisposition::NotReported,
            PlacementPhase::Running | PlacementPhase::Stopping(true) => RunDisposition::Ended,
        }
    }
}

/// What happens to a run when the incarnation ends in which it was assumed to be.
enum RunDisposition {
    /// It has ended.
    Ended,
    /// Its start may still be executed.
    Unconfirmed,
    /// Its start was answered and no report has shown it since, so that the answer may come from
    /// the next incarnation: idle targets are not polled, and the host list reports a restart late.
    NotReported,
}
