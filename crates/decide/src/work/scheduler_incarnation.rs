use std::{collections::BTreeSet, time::Duration};

use model::{BootTime, HostId};

use super::{
    PlacementPhase, SchedulerAction, SchedulerEvent, SchedulerTime, WorkScheduler,
    target_state::{RESPONSE_MAX_AGE, RunClaim, RunKey},
};

/// Lists of hosts in a row that have to lack a life before it counts as ended. A list comes in
/// pages that are no snapshot, so that one may miss a host that changes just then.
const MAX_ABSENT_LISTS: u32 = 2;

impl WorkScheduler {
    /// A target begins another life: what ran there is over.
    pub(super) fn end_incarnation(
        &mut self,
        id: &HostId,
        born: Duration,
        cause: &'static str,
        now: SchedulerTime,
    ) {
        let tuning = self.tuning;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let doubts = target.take_unconfirmed(&tuning, now.boot);
        let renewed = born > target.incarnation.started_at;
        let held = target.begin_incarnation(born, now.boot);
        self.release_runs(id, held, renewed, cause, now);
        for run in doubts {
            // The start may still reach the new life: it is closed there by a stop.
            if let Some(target) = self.targets.get_mut(id) {
                target.add_unconfirmed(run.clone(), now.boot);
            }
            self.claim(id, run.clone());
            self.fence_start(id, &run, now);
        }
    }

    /// A target's life is over and no other begins under its id for now.
    pub(super) fn mark_target_lost(
        &mut self,
        id: &HostId,
        cause: &'static str,
        now: SchedulerTime,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let held = target.begin_incarnation(Duration::ZERO, now.boot);
        // What was granted ended with it.
        target.last_grant = BootTime::ZERO;
        target.listed = false;
        self.release_runs(id, held, false, cause, now);
    }

    /// Takes which lives the hosts of the fleet live, as the control of hosts listed them when it
    /// was asked at `asked`.
    ///
    /// A target is one life of a host. One whose own entry is gone from the store, and that no
    /// host lives any more, has ended, and all that ran there with it; nothing need wait until its
    /// granted time has lapsed. Without this a chain of owners that follow each other within that time
    /// would never start the tasks of its pool again, as each waits anew.
    pub fn update_incarnations(
        &mut self,
        lives: &BTreeSet<HostId>,
        asked: BootTime,
        now: SchedulerTime,
    ) {
        if lives.is_empty() {
            return;
        }
        let mut gone = Vec::new();
        let mut missed = Vec::new();
        for (id, target) in &self.targets {
            // A life that answered shortly before the list was asked for is at work, whatever that says.
            let answers =
                !target.last_response.is_zero() && target.last_response + RESPONSE_MAX_AGE >= asked;
            let lives = target.listed || answers || lives.contains(id);
            if !lives || target.lists_absent > 0 {
                missed.push((id.clone(), lives));
            }
        }
        for (id, lives) in missed {
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            target.lists_absent = if lives { 0 } else { target.lists_absent + 1 };
            if target.lists_absent >= MAX_ABSENT_LISTS {
                gone.push(id);
            }
        }
        for id in gone {
            self.mark_target_lost(&id, "no-host", now);
            if let Some(target) = self.targets.get_mut(&id) {
                target.inherited = false;
            }
        }
    }

    /// True while tasks may run on lives that no look has reached and the host list lacks.
    pub fn has_unknown_incarnations(&self) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| !target.is_state_known() && !target.listed)
    }

    /// Gives up the runs of a life that is over, but for those that the next may have: `renewed`
    /// tells that there is one under the same id.
    fn release_runs(
        &mut self,
        id: &HostId,
        held: Vec<(RunKey, RunClaim)>,
        renewed: bool,
        cause: &'static str,
        now: SchedulerTime,
    ) {
        self.emit(SchedulerEvent::TargetLost(id.clone(), cause, held.len()));
        let listed = self.targets.get(id).is_some_and(|target| target.listed);
        for (run, claim) in held {
            self.remove_run_accounting(id, &run, &claim);
            match self.run_disposition(id, &run) {
                RunDisposition::Unconfirmed if renewed || listed => {
                    // The start may still reach the new life: it is closed there by a stop.
                    self.claim(id, run.clone());
                    if let Some(place) = self.placement_mut(id, &run) {
                        place.confirmed = false;
                    }
                    self.fence_start(id, &run, now);
                }
                RunDisposition::NotReported if renewed => {
                    // The next look tells which life it is in.
                    self.claim(id, run);
                    self.actions.push(SchedulerAction::Poll(id.clone()));
                }
                _ => self.clear_placement(id, &run),
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

/// What becomes of a run when the life ends that it was taken to be in.
enum RunDisposition {
    /// It is over.
    Ended,
    /// Its start may still be carried out.
    Unconfirmed,
    /// Its start was answered and no look has shown it since, so that the answer may be the next
    /// life's: idle targets are not looked at, and the host list tells late of a restart.
    NotReported,
}
