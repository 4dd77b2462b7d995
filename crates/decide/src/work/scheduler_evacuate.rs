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

/// Time after which a predecessor's last stops have taken effect: a target takes 0.2 s at most, and
/// it takes up to a second until a poll reports it.
const INHERITED_STOP_SETTLE_TIME: Duration = Duration::from_millis(1300);
/// Progress that a target reports for a long-running task that is ready, in percent.
pub(super) const READY_PERCENT: u8 = 100;
/// How long a long-running task on a draining host waits for another host. A host that is switched
/// off takes two seconds to boot and half a second more to be listed.
const EVACUATION_WAIT: Duration = Duration::from_secs(3);

/// A long-running task on a draining host that fits on no other host of its job's pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StrandedTask {
    /// Since when the pool has such a task.
    pub(super) since: BootTime,
    /// Label that the host has to have; empty for any.
    pub(super) label: CompactString,
    /// Resources that the task needs.
    pub(super) need: ResourceVector,
}

impl WorkScheduler {
    /// Stops the long-running tasks on targets that are draining or leaving, so that they run
    /// elsewhere before the target is gone. Other tasks can usually finish before that.
    ///
    /// If we drain the target ourselves, a task keeps running until another target has capacity for
    /// it. Stopped earlier it would be restarted in the same place, because a service that lacks a
    /// task accepts any target, and the host would never become empty.
    pub(super) fn evacuate(&mut self, now: SchedulerTime) {
        let before = std::mem::take(&mut self.stranded);
        let mut stops = Vec::new();
        let mut moving: BTreeMap<PoolId, ResourceVector> = BTreeMap::new();
        for id in &self.index.targets.draining {
            let Some(target) = self.targets.get(id) else {
                continue;
            };
            let leaving = target.entry.mode == TargetMode::Draining;
            let is_host_drained = target.drain != HostDrainState::None;
            if !leaving && !is_host_drained && !target.data_centre_drained {
                continue;
            }
            let id = &target.entry.target;
            for (run, claim) in &target.claims {
                let job = self.job_table.jobs.get(&run.0.job);
                let Some(job) = job.filter(|_| self.is_long_running(run)) else {
                    continue;
                };
                // The task starts again in the pool that its queue belongs to now.
                let pool = &job.pool;
                if self.is_running(id, run) {
                    stops.push((
                        id.clone(),
                        pool.clone(),
                        run.clone(),
                        claim.resources,
                        leaving,
                    ));
                } else {
                    let resources = moving.entry(pool.clone()).or_default();
                    *resources = resources.plus(claim.resources);
                }
            }
        }
        for (id, pool, run, resources, leaving) in stops {
            // Another owner may be draining another host, and this one would not know.
            if !leaving && (self.ownership_uncertain || !self.may_disrupt(&run, now)) {
                continue;
            }
            let others = moving.entry(pool.clone()).or_default();
            if !leaving && !self.has_alternative_target(&run, &pool, *others, now) {
                if self.has_alternative_target(&run, &pool, ResourceVector::default(), now) {
                    // The other moving tasks will be placed shortly; then the remaining capacity is
                    // known.
                    continue;
                }
                let since = before.get(&pool).map_or(now.boot, |task| task.since);
                self.mark_stranded(&run, &pool, resources, since);
                let waited = now.boot.saturating_sub(since) >= EVACUATION_WAIT;
                // A host has to become empty for its operation, a data centre does not.
                let must_become_empty = self
                    .targets
                    .get(&id)
                    .is_some_and(|target| target.drain != HostDrainState::None);
                if !waited || !must_become_empty || !self.stops_would_empty_target(&id, now) {
                    continue;
                }
            }
            *others = others.plus(resources);
            self.stop_run(&id, &run, now);
        }
    }

    /// Whether a target of the pool can take a task that has to leave its own, in addition to the
    /// tasks that are already moving and need `coming`.
    fn has_alternative_target(
        &self,
        run: &RunKey,
        pool: &PoolId,
        moving: ResourceVector,
        now: SchedulerTime,
    ) -> bool {
        let (key, _) = run;
        let (Some(plan), Some(state)) = (
            self.step_plan(key),
            self.step_state_at(&key.job, key.occurrence, key.step),
        ) else {
            return true;
        };
        let need = plan.footprint().plus(moving);
        let candidates = self.index.targets.with_capacity(pool, need.cpu);
        let candidates = candidates.filter_map(|id| self.targets.get(id));
        can_relocate(plan, state, candidates, moving, now.boot)
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

    /// Whether stopping its long-running tasks would empty a target, and all of them may be
    /// unavailable while its host is away.
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

    /// Whether a long-running task may be stopped by a decision of the owner: fewer tasks of its
    /// step are unavailable than allowed. Checked again before each stop, so that two tasks of one
    /// step are never stopped together.
    pub(super) fn may_disrupt(&self, run: &RunKey, now: SchedulerTime) -> bool {
        // A stop ordered by a predecessor takes a moment, during which its task is still reported
        // as ready.
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
        // If a target has just become unresponsive, its task may have been unavailable for as long
        // as the last report is old, although it still counts as running here.
        let recently_reported = |id: &HostId| {
            let target = self.targets.get(id);
            target.is_some_and(|target| {
                now.boot.saturating_sub(target.last_response) < RESPONSE_MAX_AGE
            })
        };
        let at_work = |task: &super::TaskState| {
            task.placement.as_ref().is_some_and(|place| {
                place.phase == PlacementPhase::Running
                    && place.percent >= READY_PERCENT
                    && recently_reported(&place.target)
                    && !self.stop_may_still_arrive(place, now)
            })
        };
        let others = (0..)
            .zip(&state.tasks)
            .filter(|(index, _)| *index != key.index);
        let unavailable = others.filter(|(_, task)| !at_work(task)).count();
        unavailable < step.max_unavailable.max(1) as usize
    }

    /// Whether a stop that was withdrawn may still be executed.
    fn stop_may_still_arrive(&self, place: &super::TaskPlacement, now: SchedulerTime) -> bool {
        let elapsed = now.boot.saturating_sub(place.stop_sent);
        !place.stop_sent.is_zero() && elapsed < self.tuning.max_delivery_delay
    }

    /// Sets the drain state of the given targets, and clears it for all others.
    pub(super) fn set_drains(&mut self, wanted: &BTreeMap<HostId, HostDrainState>) {
        let before = std::mem::replace(&mut self.drains, wanted.clone());
        for id in before.keys().chain(wanted.keys()) {
            let drain = wanted.get(id).copied().unwrap_or_default();
            let changed = |target: &super::TargetState| target.drain != drain;
            if self.targets.get(id).is_some_and(changed)
                && let Some(target) = self.targets.get_mut(id)
            {
                target.drain = drain;
            }
        }
    }
}
