use std::collections::BTreeMap;

use model::{BootTime, PoolId};

use super::{
    HostDrainState, PlacementPhase, SchedulerTime, TargetState, WorkScheduler, target_state::RunKey,
};

/// What the cores of a pool are used for at one moment, in thousandths of a core.
///
/// Shows why work waits: whether a pool is full, or has cores that no waiting task may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSurvey {
    /// Cores of runs that their targets have confirmed, or that are being stopped.
    pub running: u64,
    /// Cores of starts that are waiting to be sent or have not been answered.
    pub starting: u64,
    /// Unused cores of targets that accept tasks.
    pub free: u64,
    /// Unused cores of targets whose host or data centre is draining.
    pub draining: u64,
    /// Unused cores of targets that have not answered, or not yet.
    pub unresponsive: u64,
    /// Unused cores of targets that are paused after failures.
    pub paused: u64,
    /// Cores of waiting tasks of jobs that can still count towards their objective.
    pub waiting: u64,
    /// Cores of waiting tasks of jobs that are too late to count.
    pub waiting_overdue: u64,
}

impl WorkScheduler {
    /// Surveys all pools of the policy. Visits every target and run, so that it must not be called
    /// more than about once a second.
    pub fn survey_pools(&mut self, now: SchedulerTime) -> BTreeMap<PoolId, PoolSurvey> {
        self.sync_indexes(now.boot);
        let pools = self.policy.pools.iter().filter(|pool| !pool.standby);
        let mut surveys: BTreeMap<PoolId, PoolSurvey> = pools
            .map(|pool| (pool.name.clone(), self.waiting_survey(&pool.name)))
            .collect();
        for target in self.targets.values().filter(|target| target.listed) {
            if let Some(survey) = surveys.get_mut(&target.entry.pool) {
                self.survey_target(target, survey, now.boot);
            }
        }
        surveys
    }

    fn waiting_survey(&self, pool: &PoolId) -> PoolSurvey {
        let demand = self.index.jobs.work.demand(pool);
        PoolSurvey {
            waiting: demand.countable.ready,
            waiting_overdue: demand.overdue.ready,
            ..PoolSurvey::default()
        }
    }

    fn survey_target(&self, target: &TargetState, survey: &mut PoolSurvey, now: BootTime) {
        for (run, claim) in &target.claims {
            match self.is_start_pending(run) {
                true => survey.starting += claim.resources.cpu,
                false => survey.running += claim.resources.cpu,
            }
        }
        let unused = target.free().cpu;
        if target.drain != HostDrainState::None || target.data_centre_drained {
            survey.draining += unused;
        } else if !target.can_run() {
            survey.unresponsive += unused;
        } else if now < target.paused_until {
            survey.paused += unused;
        } else {
            survey.free += unused;
        }
    }

    fn is_start_pending(&self, (key, attempt): &RunKey) -> bool {
        let job = self.job_table.jobs.get(&key.job);
        let task = job.and_then(|job| job.task(key.occurrence, key.step, key.index));
        let placement = task.and_then(|task| task.placement.as_ref());
        placement.is_some_and(|placement| {
            let is_unanswered = matches!(
                placement.phase,
                PlacementPhase::Starting | PlacementPhase::Unconfirmed
            );
            placement.attempt == *attempt && is_unanswered
        })
    }
}
