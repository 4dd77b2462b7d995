use std::{collections::BTreeMap, time::Duration};

use model::{BootTime, PoolId, WorkspaceId};

use super::{
    WorkScheduler,
    admission_policy::{AdmissionPolicy, SubmittedJob},
    start_rate_admission::max_backlog_wait,
    wait_forecast::{WorkspaceLoad, predict_wait},
};

/// Shorter predicted waits are no reason to refuse a job.
const MIN_WAIT: Duration = Duration::from_millis(300);

/// Admits jobs that can still count after the work of their workspace that waits before them.
///
/// Unlike the rate of recent starts, work and cores are known from the first job of a burst on. A
/// job is measured against the time of its first submission: one that was refused and comes back
/// too late to count would only delay others.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkAdmission;

impl AdmissionPolicy for WorkAdmission {
    fn excess(
        &self,
        scheduler: &WorkScheduler,
        job: SubmittedJob<'_>,
        now: BootTime,
    ) -> Option<Duration> {
        let pool = &job.queue.pool;
        let cores = scheduler.pool_cores.as_ref()?;
        let cores = cores.get(pool).copied().unwrap_or_default();
        let loads = scheduler.workspace_loads(pool, now);
        let wait = predict_wait(cores, &loads, job.workspace);
        let tasks = scheduler.index.jobs.work.total_backlog().all();
        let wait = wait.max(scheduler.forecast.link_wait(tasks));
        let longest = job.longest_wait();
        let age = now.saturating_sub(job.first_submitted);
        let lateness = wait.saturating_sub(longest.saturating_sub(age).max(MIN_WAIT));
        // Estimates come from callers. If they are much too short, there always seem to be free cores
        // while jobs become overdue.
        let overdue = scheduler.index.jobs.work.demand(pool).overdue.tasks;
        let overdue_wait = scheduler.forecast.expected_wait(pool, overdue, now);
        let overdue_excess = overdue_wait.saturating_sub(max_backlog_wait(longest));
        Some(lateness.max(overdue_excess)).filter(|excess| !excess.is_zero())
    }
}

impl WorkScheduler {
    /// Returns what each workspace needs of a pool.
    fn workspace_loads(&self, pool: &PoolId, now: BootTime) -> Vec<WorkspaceLoad> {
        let mut loads: BTreeMap<&WorkspaceId, WorkspaceLoad> = BTreeMap::new();
        for (workspace, cores) in self.offers.rates(pool, now) {
            loads.entry(workspace).or_default().offered = cores;
        }
        for (workspace, demand) in self.index.jobs.work.workspace_demands(pool) {
            loads.entry(workspace).or_default().backlog = demand.countable.core_seconds();
        }
        let complete = |(workspace, load): (&WorkspaceId, WorkspaceLoad)| WorkspaceLoad {
            workspace: workspace.clone(),
            weight: f64::from(self.workspace_weight(workspace)),
            ..load
        };
        loads.into_iter().map(complete).collect()
    }
}
