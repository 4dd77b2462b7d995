use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use model::{
    BootTime, HostId, PoolId,
    work::{ResourceVector, TargetMode},
};

use super::{
    HostDrainState, PlacementPhase, SchedulerTime, WorkScheduler,
    pick::can_relocate,
    step_key::StepKey,
    target_state::{RESPONSE_MAX_AGE, RunKey},
};

/// Time after which a predecessor's last stops have taken effect: a target takes 0.2 s at most,
/// and a look that shows it up to a second.
const INHERITED_STOP_SETTLE_TIME: Duration = Duration::from_millis(1300);
/// What a target says of a task that lasts and is at work, in percent.
pub(super) const READY_PERCENT: u8 = 100;
/// How long a task that lasts waits on a host that is being emptied for another to go to. A host
/// that is switched off takes two seconds to come, and half a second more to be listed.
const EVACUATION_WAIT: Duration = Duration::from_secs(3);

/// A task that lasts, on a host that is being emptied, which no other host of its pool takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StrandedTask {
    /// Since when the pool has such a task.
    pub(super) since: BootTime,
    /// Label that the host has to have; empty for any.
    pub(super) label: CompactString,
    /// Room that it takes.
    pub(super) need: ResourceVector,
}

impl WorkScheduler {
    /// Stops the tasks that last on targets that are leaving or kept free, so that they run
    /// elsewhere before the target is gone. Other tasks may well end before that.
    ///
    /// On a target that is kept free a task works on until another has room for it. Stopped
    /// sooner it would be started where it was, since a service that lacks a task takes any
    /// target, and the host would never be empty.
    pub(super) fn evacuate(&mut self, now: SchedulerTime) {
        let before = std::mem::take(&mut self.stranded);
        let mut stops = Vec::new();
        let mut coming: BTreeMap<PoolId, ResourceVector> = BTreeMap::new();
        for id in &self.index.targets.draining {
            let Some(target) = self.targets.get(id) else {
                continue;
            };
            let leaving = target.entry.mode == TargetMode::Draining;
            if !leaving && target.drain == HostDrainState::None {
                continue;
            }
            let (id, pool) = (&target.entry.target, &target.entry.pool);
            for (run, claim) in &target.claims {
                if !self.is_long_running(run) {
                    continue;
                }
                if self.is_running(id, run) {
                    stops.push((
                        id.clone(),
                        pool.clone(),
                        run.clone(),
                        claim.resources,
                        leaving,
                    ));
                } else {
                    let room = coming.entry(pool.clone()).or_default();
                    *room = room.plus(claim.resources);
                }
            }
        }
        for (id, pool, run, room, leaving) in stops {
            // Another owner may be emptying another host, of which this one knows nothing.
            if !leaving && (self.ownership_uncertain || !self.may_disrupt(&run, now)) {
                continue;
            }
            let others = coming.entry(pool.clone()).or_default();
            if !leaving && !self.has_alternative_target(&run, &pool, *others, now) {
                if self.has_alternative_target(&run, &pool, ResourceVector::default(), now) {
                    // The others are there within a moment; then it shows what is left.
                    continue;
                }
                let since = before.get(&pool).map_or(now.boot, |task| task.since);
                self.mark_stranded(&run, &pool, room, since);
                let waited = now.boot.saturating_sub(since) >= EVACUATION_WAIT;
                if !waited || !self.stops_would_empty_target(&id, now) {
                    continue;
                }
            }
            *others = others.plus(room);
            self.stop_run(&id, &run, now);
        }
    }

    /// True if a target of the pool takes a task that has to leave its own, beside others that
    /// are on their way and need room as well.
    fn has_alternative_target(
        &self,
        run: &RunKey,
        pool: &PoolId,
        coming: ResourceVector,
        now: SchedulerTime,
    ) -> bool {
        let (key, _) = run;
        let (Some(plan), Some(state)) = (
            self.step_plan(key),
            self.step_state_at(&key.job, key.occurrence, key.step),
        ) else {
            return true;
        };
        let need = plan.footprint().plus(coming);
        let with_room = self.index.targets.with_capacity(pool, need.cpu);
        let with_room = with_room.filter_map(|id| self.targets.get(id));
        can_relocate(plan, state, with_room, coming, now.boot)
    }

    fn mark_stranded(
        &mut self,
        run: &RunKey,
        pool: &PoolId,
        need: ResourceVector,
        since: BootTime,
    ) {
        let label = self
            .step_plan(&run.0)
            .map(|step| step.required_label.clone());
        self.stranded.entry(pool.clone()).or_insert(StrandedTask {
            since,
            label: label.unwrap_or_default(),
            need,
        });
    }

    /// True if a target would be empty once its tasks that last are stopped, and all of them may
    /// be missing while its host is away.
    fn stops_would_empty_target(&self, id: &HostId, now: SchedulerTime) -> bool {
        let Some(target) = self.targets.get(id) else {
            return false;
        };
        let mut steps: BTreeMap<StepKey, u32> = BTreeMap::new();
        for run in target.claims.keys() {
            let stopping = !self.is_running(id, run);
            if !self.is_long_running(run) || !(stopping || self.may_disrupt(run, now)) {
                return false;
            }
            *steps.entry(StepKey::of(&run.0)).or_default() += 1;
        }
        steps.iter().all(|(step, count)| {
            let plan = self.job_table.jobs.get(&step.job);
            let plan = plan.and_then(|job| job.plan.steps.get(step.step as usize));
            plan.is_some_and(|plan| *count <= plan.max_unavailable.max(1))
        })
    }

    pub(super) fn is_long_running(&self, run: &RunKey) -> bool {
        self.step_plan(&run.0).is_some_and(|step| step.long_running)
    }

    /// True if a task that lasts may be stopped by our own doing: fewer of its step are away
    /// than may be. Asked anew before each stop, so that two of one step never go together.
    pub(super) fn may_disrupt(&self, run: &RunKey, now: SchedulerTime) -> bool {
        // A stop that a predecessor ordered takes a moment, in which its task is still listed
        // as being at work.
        if now.boot.saturating_sub(self.replay_finished_at) < INHERITED_STOP_SETTLE_TIME {
            return false;
        }
        let (key, _) = run;
        let Some(step) = self.step_plan(key) else {
            return true;
        };
        let Some(state) = self.step_state_at(&key.job, key.occurrence, key.step) else {
            return true;
        };
        // A task on a target that has just fallen silent may have been away for as long as the
        // last look is old, though the desk still takes it to be at work.
        let heard = |id: &HostId| {
            let target = self.targets.get(id);
            target.is_some_and(|target| {
                now.boot.saturating_sub(target.last_response) < RESPONSE_MAX_AGE
            })
        };
        let at_work = |task: &super::TaskState| {
            task.placement.as_ref().is_some_and(|place| {
                place.phase == PlacementPhase::Running
                    && place.percent >= READY_PERCENT
                    && heard(&place.target)
                    && !self.stop_may_still_arrive(place, now)
            })
        };
        let others = (0..)
            .zip(&state.tasks)
            .filter(|(index, _)| *index != key.index);
        let away = others.filter(|(_, task)| !at_work(task)).count();
        away < step.max_unavailable.max(1) as usize
    }

    /// True if a stop of a task may still be carried out though it was taken back.
    fn stop_may_still_arrive(&self, place: &super::TaskPlacement, now: SchedulerTime) -> bool {
        let passed = now.boot.saturating_sub(place.stop_sent);
        !place.stop_sent.is_zero() && passed < self.tuning.max_delivery_delay
    }

    /// Keeps the named targets free of new tasks, and no others.
    pub(super) fn set_drains(&mut self, wanted: &BTreeMap<HostId, HostDrainState>) {
        let before = std::mem::replace(&mut self.drains, wanted.clone());
        for id in before.keys().chain(wanted.keys()) {
            let vacancy = wanted.get(id).copied().unwrap_or_default();
            let changed = |target: &super::TargetState| target.drain != vacancy;
            if self.targets.get(id).is_some_and(changed)
                && let Some(target) = self.targets.get_mut(id)
            {
                target.drain = vacancy;
            }
        }
    }
}
