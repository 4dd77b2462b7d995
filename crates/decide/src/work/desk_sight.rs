use std::{collections::BTreeSet, time::Duration};

use model::{
    BootTime, HostId,
    work::{LookAnswer, LookOrder, RunSight, TargetSight},
};

use super::{
    DeskEvent, DeskOrder, DeskTime, PlacePhase, TargetState, TaskPlace, WorkDesk, WorkPhase,
    target_state::RunKey,
};

/// Ends that a target lists at once; where it lists so many there may be more, and a run that
/// is missing may be among them.
const END_PAGE: usize = 500;

/// Lists of hosts in a row that have to lack a life before it counts as ended. A list comes in
/// pages that are no snapshot, so that one may miss a host that changes just then.
const LISTS_MISSED: u32 = 2;

impl WorkDesk {
    /// The look that a target needs now; `None` if it needs none.
    pub fn look_order(&mut self, id: &HostId, now: DeskTime) -> Option<LookOrder> {
        let tuning = self.tuning;
        let both = self.serves_and_fills(id);
        let target = self.targets.get_mut(id)?;
        let observed = target.observable();
        let busy = !target.claims.is_empty();
        if self.alone && !target.life.raised {
            return None;
        }
        if target.life.raised && !busy && observed <= target.life.told {
            return None;
        }
        // A target that doesn't answer gets no more time: what it runs has to lapse, so that it
        // can start elsewhere.
        let until = target
            .clock_at(now.boot)
            .filter(|_| busy && !target.silent)
            .map(|clock| clock + tuning.grant);
        if until.is_some() {
            target.granted = now.boot;
        }
        let wait = match (target.life.raised && busy && !target.silent, both) {
            (false, _) => Duration::ZERO,
            (true, false) => tuning.look_wait,
            (true, true) => tuning.watch_wait,
        };
        Some(LookOrder {
            token: self.token,
            observed,
            until,
            wait,
        })
    }

    /// Takes the answer to a look that was sent at `sent` with `observed`.
    pub fn saw(
        &mut self,
        id: &HostId,
        sent: BootTime,
        observed: u64,
        answer: &LookAnswer,
        now: DeskTime,
    ) {
        match answer {
            LookAnswer::Seen(sight) => self.take_sight(id, sent, observed, sight, now),
            LookAnswer::Fenced => self.orders.push(DeskOrder::Resign(id.clone())),
            LookAnswer::OtherLife => self.lose_target(id, "replaced", now),
            LookAnswer::Refused(_) | LookAnswer::Unanswered(_) => self.note_silence(id, now),
        }
    }

    fn take_sight(
        &mut self,
        id: &HostId,
        sent: BootTime,
        observed: u64,
        sight: &TargetSight,
        now: DeskTime,
    ) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let known = target.life.born;
        if !sight.born.is_zero() && !known.is_zero() && sight.born < known {
            // An answer of the life before, which was under way for long.
            return;
        }
        if !sight.born.is_zero() && !known.is_zero() && sight.born > known {
            self.end_life(id, sight.born, "reborn", now);
        }
        self.greet(id, sent, observed, sight, now);
        let ends: Vec<_> = {
            let seen = self.targets.get(id).map_or(0, |target| target.life.seen);
            sight.ended.iter().filter(|end| end.number > seen).collect()
        };
        for end in ends {
            if let Some(target) = self.targets.get_mut(id) {
                target.life.seen = target.life.seen.max(end.number);
            }
            self.apply_end(id, end, now);
        }
        for run in &sight.running {
            self.see_run(id, run, now);
        }
        if sight.ended.len() < END_PAGE {
            self.miss_runs(id, sent, sight, now);
        }
        self.set_paces(id);
    }

    /// Takes in that a target answered.
    fn greet(
        &mut self,
        id: &HostId,
        sent: BootTime,
        observed: u64,
        sight: &TargetSight,
        now: DeskTime,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.life.born.is_zero() {
            target.life.born = sight.born;
        }
        // Of two readings the one that promises the later time is the better lower bound.
        let known = target.clock_at(now.boot).unwrap_or_default();
        if sight.clock >= known {
            target.life.clock = Some((sight.clock, now.boot));
        }
        target.answered = target.answered.max(sent);
        target.heard = now.boot;
        target.life.told = target.life.told.max(observed);
        if self.alone && !target.life.raised {
            return;
        }
        let returned = std::mem::take(&mut target.silent);
        let raised = !std::mem::replace(&mut target.life.raised, true);
        if returned || raised {
            self.stale = true;
            self.note(DeskEvent::TargetRaised(id.clone()));
        }
    }

    fn see_run(&mut self, id: &HostId, run: &RunSight, now: DeskTime) {
        let key: RunKey = (run.task.clone(), run.attempt);
        if !run.checkpoint.is_empty() {
            self.set_checkpoint(&run.task, &run.checkpoint);
        }
        let Some(job) = self.board.jobs.get_mut(&run.task.job) else {
            self.stop_unwanted(id, &key, now);
            return;
        };
        job.begun = true;
        let open = job.phase == WorkPhase::Open;
        // A predecessor found the occurrence due, perhaps by a clock that is ahead of this one;
        // taking its run for a stray one would stop work that is wanted.
        job.open_until(run.task.occurrence, now.boot);
        let task = job.task_mut(run.task.occurrence, run.task.step, run.task.index);
        let Some(task) = task.filter(|task| open && !task.done) else {
            self.stop_unwanted(id, &key, now);
            return;
        };
        match &mut task.place {
            Some(place) if place.target == *id && place.attempt == run.attempt => {
                if place.percent != run.percent {
                    place.moved = now.boot;
                }
                place.percent = run.percent;
                place.load = run.load;
                if matches!(place.phase, PlacePhase::Starting | PlacePhase::Unsure) {
                    place.phase = PlacePhase::Running;
                    place.since = now.boot;
                }
            }
            Some(_) => self.stop_unwanted(id, &key, now),
            None => {
                task.last_attempt = task.last_attempt.max(run.attempt);
                self.adopt(id, &key, run, now);
            }
        }
    }

    /// Takes a run over that a predecessor started.
    fn adopt(&mut self, id: &HostId, run: &RunKey, sight: &RunSight, now: DeskTime) {
        let (key, attempt) = run;
        self.claim(id, run.clone());
        let Some(step) = self.board.step_mut(key) else {
            return;
        };
        step.place(
            key.index,
            TaskPlace {
                phase: PlacePhase::Running,
                percent: sight.percent,
                load: sight.load,
                ..TaskPlace::new(id, *attempt, now.boot)
            },
        );
        self.note(DeskEvent::Adopted(key.clone(), *attempt, id.clone()));
    }

    /// Stops a run that no task is taken to be; its room stays taken until its end is listed.
    fn stop_unwanted(&mut self, id: &HostId, run: &RunKey, now: DeskTime) {
        self.claim(id, run.clone());
        let key = (id.clone(), run.clone());
        if self.stops.contains_key(&key) || self.stopped.contains_key(&key) {
            return;
        }
        self.note(DeskEvent::Unwanted(run.0.clone(), run.1, id.clone()));
        self.stop_run(id, run, now);
    }

    /// Settles what a look sent at `sent` did not show though it was taken to be there.
    fn miss_runs(&mut self, id: &HostId, sent: BootTime, sight: &TargetSight, now: DeskTime) {
        let running: BTreeSet<RunKey> = sight
            .running
            .iter()
            .map(|run| (run.task.clone(), run.attempt))
            .collect();
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let missing = target.claims.keys().filter(|run| !running.contains(*run));
        let missing: Vec<RunKey> = missing.cloned().collect();
        for run in missing {
            self.miss_run(id, &run, sent, now);
        }
    }

    fn miss_run(&mut self, id: &HostId, run: &RunKey, sent: BootTime, now: DeskTime) {
        let (key, attempt) = run;
        let job = self.board.jobs.get(&key.job);
        let task = job.and_then(|job| job.task(key.occurrence, key.step, key.index));
        let place = task.and_then(|task| task.place.as_ref());
        let place = place.filter(|place| place.target == *id && place.attempt == *attempt);
        let Some((phase, since)) = place.map(|place| (place.phase, place.since)) else {
            // A run without a task: it is gone once its stop was answered before the look.
            let stopped = self.stops.contains_key(&(id.clone(), run.clone()));
            if !stopped {
                self.unclaim(id, run);
            }
            return;
        };
        if since >= sent {
            return;
        }
        match phase {
            PlacePhase::Starting | PlacePhase::Stopping(false) => {}
            PlacePhase::Unsure => {
                // It is not there and may come later. A stop of this start closes it: the
                // target refuses a start that is not newer than one stopped there.
                self.stop_run(id, run, now);
            }
            PlacePhase::Running => {
                self.note(DeskEvent::Vanished(key.clone(), *attempt, id.clone()));
                self.unclaim(id, run);
                self.vacate_place(id, run);
            }
            PlacePhase::Stopping(true) => {
                self.unclaim(id, run);
                self.vacate_place(id, run);
            }
        }
    }

    /// A look or an order was not answered.
    pub(super) fn note_silence(&mut self, id: &HostId, now: DeskTime) {
        let silence = self.tuning.silence;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if !target.silent && now.boot.saturating_sub(target.answered) >= silence {
            target.silent = true;
            self.note(DeskEvent::TargetSilent(id.clone()));
        }
    }

    /// A target begins another life: what ran there is over.
    pub(super) fn end_life(
        &mut self,
        id: &HostId,
        born: Duration,
        cause: &'static str,
        now: DeskTime,
    ) {
        let tuning = self.tuning;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let doubts = target.take_doubts(&tuning, now.boot);
        let held = target.reborn(born, now.boot);
        self.release_runs(id, held, cause, now);
        for run in doubts {
            // The start may still reach the new life: it is closed there by a stop.
            if let Some(target) = self.targets.get_mut(id) {
                target.add_doubt(run.clone(), now.boot);
            }
            self.claim(id, run.clone());
            self.stop_run(id, &run, now);
        }
    }

    /// A target's life is over and no other begins under its id for now.
    pub(super) fn lose_target(&mut self, id: &HostId, cause: &'static str, now: DeskTime) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let held = target.reborn(Duration::ZERO, now.boot);
        target.listed = false;
        self.release_runs(id, held, cause, now);
    }

    /// Takes which lives the hosts of the fleet live at present, by the list of hosts.
    ///
    /// A target is one life of a host. One that has left the host list, and that no host lives
    /// any more, has ended, and all that ran there with it; nothing need wait until its granted
    /// time has lapsed. Without this a chain of owners that follow each other within that time
    /// would never start the tasks of its pool again, as each waits anew.
    pub fn take_lives(&mut self, lives: &BTreeSet<HostId>, now: DeskTime) {
        if lives.is_empty() {
            return;
        }
        let mut gone = Vec::new();
        for (id, target) in &mut self.targets {
            if target.listed || lives.contains(id) {
                target.lists_missed = 0;
                continue;
            }
            target.lists_missed += 1;
            if target.lists_missed >= LISTS_MISSED {
                gone.push(id.clone());
            }
        }
        for id in gone {
            self.lose_target(&id, "no-host", now);
            if let Some(target) = self.targets.get_mut(&id) {
                target.inherited = false;
            }
        }
    }

    /// True while tasks may run on lives that no look has reached and the host list lacks.
    pub fn has_unknown_lives(&self) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| !target.is_known() && !target.listed)
    }

    fn release_runs(
        &mut self,
        id: &HostId,
        held: Vec<(RunKey, super::target_state::RunClaim)>,
        cause: &'static str,
        now: DeskTime,
    ) {
        self.note(DeskEvent::TargetLost(id.clone(), cause, held.len()));
        for (run, claim) in held {
            self.release_usage(&claim);
            let job = self.board.jobs.get(&run.0.job);
            let task = job.and_then(|job| job.task(run.0.occurrence, run.0.step, run.0.index));
            let place = task.and_then(|task| task.place.as_ref());
            let in_doubt = place.is_some_and(|place| {
                place.target == *id
                    && place.attempt == run.1
                    && matches!(
                        place.phase,
                        PlacePhase::Starting | PlacePhase::Unsure | PlacePhase::Stopping(false)
                    )
            });
            if in_doubt && self.targets.get(id).is_some_and(|target| target.listed) {
                // The start may still reach the new life: it is closed there by a stop.
                self.claim(id, run.clone());
                self.stop_run(id, &run, now);
            } else {
                self.vacate_place(id, &run);
            }
        }
        self.stale = true;
    }

    fn serves_and_fills(&self, id: &HostId) -> bool {
        let Some(target) = self.targets.get(id) else {
            return false;
        };
        let steps = || target.claims.keys().filter_map(|run| self.step_of(&run.0));
        steps().any(model::work::StepPlan::serves) && steps().any(|step| step.fills)
    }

    pub(super) fn step_of(&self, key: &model::work::TaskKey) -> Option<&model::work::StepPlan> {
        let job = self.board.jobs.get(&key.job)?;
        job.plan.steps.get(key.step as usize)
    }
}

impl TargetState {
    /// True if the desk still has a reason to keep it.
    pub(super) fn is_needed(&self) -> bool {
        self.listed || !self.claims.is_empty() || (self.inherited && !self.life.raised)
    }
}
