use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use model::{
    BootTime, DataCentreId, HostId, JobId, PoolId, WorkspaceId,
    work::{FencingToken, FleetPolicy, ResourceVector, TargetEntry},
};
use wire::work::{JobPhase, JobRecord, LogEntry, QueueMove, TargetUse, log_entry::Event};

use super::{
    EndOrigin, FairOrder, HostDrainState, JobTable, LogAppend, LossCause, OfferedWork, PoolCores,
    SchedulerAction, SchedulerEvent, SchedulerTuning, StartForecast, TargetState, WorkCounters,
    WorkJob, WorkPhase, advice_calls::AdviceCalls, advice_queue::AdviceQueue,
    grant_rates::GrantRates, scheduler_evacuate::StrandedTask, scheduler_index::SchedulerIndex,
    scheduler_plan::StartPlan, share_meter::ShareMeter, step_key::StepKey, target_state::RunKey,
    tracked_map::TrackedMap,
};

/// Upper bound of events buffered until [`WorkScheduler::take_events`]; further ones are dropped
/// and counted.
const MAX_BUFFERED_EVENTS: usize = 4096;

/// Current time on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerTime {
    /// Time since boot. Leases and pauses are measured on this clock.
    pub boot: BootTime,
    /// Time since the Unix epoch. Due times of occurrences use this clock, which may jump.
    pub unix: Duration,
}

/// Schedules the tasks of one cell during one term of ownership.
///
/// A term starts by replaying the job log ([`WorkScheduler::replay`]) and polling every target that
/// may run tasks. The scheduler is dropped when the process loses ownership; a new term starts with
/// a new one.
#[derive(Clone, Debug, Default)]
pub struct WorkScheduler {
    pub(super) tuning: SchedulerTuning,
    pub(super) token: FencingToken,
    /// Settings of pools, queues and workspaces.
    pub policy: Arc<FleetPolicy>,
    /// Jobs and their tasks.
    pub job_table: JobTable,
    /// Targets by id.
    pub targets: TrackedMap<TargetState>,
    pub(super) index: SchedulerIndex,
    /// How many items the scheduler has examined so far.
    pub counters: WorkCounters,
    pub(super) workspace_usage: BTreeMap<WorkspaceId, ResourceVector>,
    pub(super) actions: Vec<SchedulerAction>,
    pub(super) events: VecDeque<SchedulerEvent>,
    /// Number of events dropped because the buffer was full.
    pub events_dropped: u64,
    /// Last time at which another process might have owned the cell.
    pub(super) last_uncertain: Option<BootTime>,
    /// Start of the period in which many listed targets have been unresponsive at once.
    pub(super) mass_unresponsive_since: Option<BootTime>,
    /// Last time at which many listed targets were unresponsive at once.
    pub(super) mass_unresponsive_last: Option<BootTime>,
    /// Whether another process may own the cell by now.
    pub(super) ownership_uncertain: bool,
    /// When the replay of the log finished; zero if there is no predecessor.
    pub(super) replay_finished_at: BootTime,
    pub(super) shares: ShareMeter,
    pub(super) forecast: StartForecast,
    /// Work that callers offer to each pool.
    pub(super) offers: OfferedWork,
    pub(super) fair_order: FairOrder,
    /// Steps that wait for a call to the advice service.
    pub(super) advice_queue: AdviceQueue,
    /// Calls to the advice service in progress.
    pub(super) advice_calls: AdviceCalls,
    /// How far the advice for one step of a queue holds for others.
    pub(super) grant_rates: GrantRates,
    /// Cores of each pool, as the host planner last saw them; `None` before its first plan, and while
    /// no decision needs them.
    pub(super) pool_cores: Option<BTreeMap<PoolId, PoolCores>>,
    /// Long-running steps for which no target was found, and since when.
    pub(super) unplaced_since: BTreeMap<StepKey, BootTime>,
    /// Drain state of targets, including targets that are not listed yet: the host list may report
    /// a new incarnation first, and an order for its host may follow. Tasks started there in
    /// between would be killed.
    pub(super) drains: BTreeMap<HostId, HostDrainState>,
    /// Entries of the host list that may be of an earlier incarnation than the present one.
    pub(super) deferred_entries: BTreeMap<HostId, TargetEntry>,
    /// Data centres that operators have drained.
    pub(super) drained_data_centres: BTreeSet<DataCentreId>,
    /// Per pool, a task that has to leave its host and fits on no other.
    pub(super) stranded: BTreeMap<PoolId, StrandedTask>,
    /// When failed tasks stop waiting for a different target; the earliest first.
    pub(super) failure_wait_deadlines: VecDeque<BootTime>,
    /// Whether occurrences or starts may be due, so that starts have to be planned.
    pub(super) replan_needed: bool,
    /// The rest of a planning pass that has examined as much as one may.
    pub(super) unfinished_plan: Option<StartPlan>,
    /// Stops without an answer, with the time of the last attempt.
    pub(super) pending_stops: BTreeMap<(HostId, RunKey), BootTime>,
    /// Answered stops, with the time of the answer; a target takes a moment to report the end.
    pub(super) acknowledged_stops: BTreeMap<(HostId, RunKey), BootTime>,
    /// Runs that made no progress up to the last report of their target.
    pub(super) no_progress: BTreeSet<(HostId, RunKey)>,
    /// CPU time share of best-effort tasks on each target, in percent; 100 if absent.
    pub(super) throttles: BTreeMap<HostId, u8>,
}

impl WorkScheduler {
    /// Creates the scheduler of a new term.
    pub fn new(tuning: SchedulerTuning, token: FencingToken) -> Self {
        Self {
            tuning,
            token,
            ..Self::default()
        }
    }

    /// Applies one entry of the log during the replay.
    pub fn replay(&mut self, entry: &LogEntry, now: SchedulerTime) {
        self.job_table.apply(entry, now.unix, now.boot);
    }

    /// Ends the replay of the log. Targets that a predecessor used have to be polled, including
    /// those that are no longer in the host list: their tasks may still run.
    pub fn finish_replay(&mut self, now: SchedulerTime) {
        self.replay_finished_at = now.boot;
        for job in self.job_table.jobs.values_mut() {
            job.inherited = true;
            job.inherited_due = job.due_count(now.unix + self.tuning.early_start);
            job.started |= !job.is_open();
        }
        for used in self.job_table.used_targets.values() {
            let entry = TargetEntry {
                target: used.target.as_str().into(),
                address: used.address.as_str().into(),
                pool: used.pool.as_str().into(),
                ..TargetEntry::default()
            };
            let target = TargetState {
                listed: false,
                recorded: true,
                inherited: true,
                last_grant: now.boot,
                ..TargetState::new(entry, now.boot)
            };
            self.targets.insert(used.target.as_str().into(), target);
        }
        self.sync_indexes(now.boot);
        self.open_occurrences(now);
        self.adopt_unreachable(now);
        self.replan_needed = true;
    }

    /// Sets whether another process may own the cell by now because the lease may have expired.
    ///
    /// Running tasks continue meanwhile, but no task is started and no new incarnation of a target
    /// is given this owner's token ([`WorkScheduler::plan_starts`]).
    pub fn set_ownership_uncertain(&mut self, uncertain: bool) {
        self.replan_needed |= self.ownership_uncertain && !uncertain;
        self.ownership_uncertain = uncertain;
    }

    /// Fencing token of this term.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Replaces the settings of pools, queues and workspaces.
    pub fn set_policy(&mut self, policy: Arc<FleetPolicy>) {
        let mut moved_queues = BTreeMap::new();
        for job in self.job_table.jobs.values_mut() {
            job.follow_policy(&policy);
            job.occurrences.mark_all_changed();
            if job.is_open() && !job.is_pool_recorded() {
                moved_queues.insert(job.queue.clone(), job.pool.clone());
            }
        }
        for (queue, pool) in moved_queues {
            self.record_queue_move(&queue, &pool);
        }
        self.index.limits = self.workspace_limits(&policy);
        let weights = policy.workspaces.iter();
        self.index.weights = weights
            .map(|space| (space.name.clone(), space.weight))
            .collect();
        self.index.total_weight = self.index.weights.values().copied().map(f64::from).sum();
        self.grant_rates
            .retain(|queue| policy.queue(queue).is_some());
        self.policy = policy;
        self.replan_needed = true;
    }

    /// Limits of the workspaces that have one. A workspace with open jobs that the policy no longer
    /// has keeps its limit.
    fn workspace_limits(&self, policy: &FleetPolicy) -> BTreeMap<WorkspaceId, ResourceVector> {
        let listed = policy.workspaces.iter();
        let listed = listed.map(|space| (space.name.clone(), space.limit));
        let mut limits: BTreeMap<_, _> = listed.collect();
        let open = self.job_table.open.iter();
        for job in open.filter_map(|id| self.job_table.jobs.get(id)) {
            if !limits.contains_key(&job.workspace) {
                limits.insert(job.workspace.clone(), job.workspace_limit);
            }
        }
        limits.retain(|_, limit| *limit != ResourceVector::default());
        limits
    }

    /// Adds a job whose record has been stored.
    pub fn accept_job(&mut self, record: &JobRecord, now: SchedulerTime) {
        self.job_table.accept(record, now.unix, now.boot);
        self.classify_job_share(record, now);
        let early_start = self.tuning.early_start;
        let first_offer = self.offers.take_first_offer(&record.job);
        if let Some(job) = self.job_table.jobs.get_mut(record.job.as_str()) {
            // The caller has been waiting since its first attempt, which may have been refused.
            job.arrived = first_offer.map_or(job.arrived, |first| first.min(job.arrived));
            // Ticks open the others of a schedule that is behind.
            job.open_due_occurrences(now.unix, now.boot, early_start, 1);
            // The process that passed the job on may have an older policy.
            job.follow_policy(&self.policy);
            if !job.is_pool_recorded() {
                let (queue, pool) = (job.queue.clone(), job.pool.clone());
                self.record_queue_move(&queue, &pool);
            }
        }
    }

    fn classify_job_share(&mut self, record: &JobRecord, now: SchedulerTime) {
        let space = self.policy.workspace(&record.workspace);
        let weight = space.map_or(0, |space| space.weight);
        let beyond_share =
            self.shares
                .record_job(&record.workspace.as_str().into(), weight, now.boot);
        if let Some(job) = self.job_table.jobs.get_mut(record.job.as_str()) {
            job.beyond_share = beyond_share;
        }
    }

    /// Ends everything on a target whose host has completed an order.
    pub fn end_target_after_host_order(&mut self, id: &HostId, now: SchedulerTime) {
        self.mark_target_lost(id, LossCause::HostOrdered, now);
    }

    /// Phase of a job as reported to callers.
    pub fn job_phase(&self, id: &str) -> Option<JobPhase> {
        let job = self.job_table.jobs.get(id)?;
        let running = if job.started {
            JobPhase::Running
        } else {
            JobPhase::Queued
        };
        Some(match job.phase {
            WorkPhase::Open | WorkPhase::CancelPending => running,
            WorkPhase::Completed if job.unstored_entries == 0 => JobPhase::Completed,
            WorkPhase::Failed if job.unstored_entries == 0 => JobPhase::Failed,
            WorkPhase::Completed | WorkPhase::Failed => JobPhase::Running,
            WorkPhase::Cancelled => JobPhase::Cancelled,
            WorkPhase::Unsubmitted => return None,
        })
    }

    /// Number of jobs of a queue that have not started.
    pub fn pending_jobs(&mut self, queue: &str, now: SchedulerTime) -> u64 {
        self.sync_indexes(now.boot);
        self.index.jobs.pending(queue)
    }

    /// Takes the pending actions, oldest first.
    pub fn take_actions(&mut self) -> Vec<SchedulerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the buffered events, oldest first.
    pub fn take_events(&mut self) -> VecDeque<SchedulerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Handles that an entry of the job log has been stored.
    pub fn handle_stored_entry(&mut self, order: &LogAppend, now: SchedulerTime) {
        if let Some(origin) = &order.origin {
            self.mark_end_stored(origin);
        }
        if let Some(job) = &order.job {
            self.job_table
                .update_unstored_entries(job, |unstored| unstored.saturating_sub(1));
        }
        match &order.entry.event {
            Some(Event::Missed(_)) => self.job_table.apply(&order.entry, now.unix, now.boot),
            Some(Event::Used(used)) => {
                self.job_table.apply(&order.entry, now.unix, now.boot);
                if let Some(target) = self.targets.get_mut(used.target.as_str()) {
                    target.recorded = true;
                }
            }
            Some(
                Event::Released(_) | Event::Wave(_) | Event::Ordered(_) | Event::QueueMoved(_),
            ) => {
                self.job_table.apply(&order.entry, now.unix, now.boot);
            }
            _ => {}
        }
    }

    pub(super) fn emit(&mut self, event: SchedulerEvent) {
        if self.events.len() >= MAX_BUFFERED_EVENTS {
            self.events_dropped += 1;
            return;
        }
        self.events.push_back(event);
    }

    pub(super) fn append_log_entry(
        &mut self,
        event: Event,
        origin: Option<EndOrigin>,
        job: Option<&JobId>,
    ) {
        let mut urgent = origin.is_none();
        if let Some(job) = job {
            self.job_table
                .update_unstored_entries(job, |unstored| unstored + 1);
            urgent |= !self.job_table.jobs.get(job).is_none_or(WorkJob::is_open);
        }
        self.actions.push(SchedulerAction::AppendLog(LogAppend {
            entry: LogEntry { event: Some(event) },
            origin,
            job: job.cloned(),
            urgent,
        }));
    }

    /// Records that tasks of a queue's jobs may be started in another pool, before the first one is.
    /// A successor would otherwise look for them in the earlier pools only.
    fn record_queue_move(&mut self, queue: &str, pool: &PoolId) {
        self.emit(SchedulerEvent::QueueMoved(queue.into(), pool.clone()));
        let moved = QueueMove {
            queue: queue.to_owned(),
            pool: pool.to_string(),
        };
        self.append_log_entry(Event::QueueMoved(moved), None, None);
    }

    /// Records that tasks may run on a target, before the first one is started there. After a
    /// failure of this process, its successor would otherwise not know of a target that has left
    /// the host list while its tasks keep running.
    pub(super) fn record_target_use(&mut self, id: &HostId) {
        let Some(target) = self.targets.get(id).filter(|target| !target.recorded) else {
            return;
        };
        let used = TargetUse {
            target: id.to_string(),
            address: target.entry.address.to_string(),
            pool: target.entry.pool.to_string(),
        };
        self.append_log_entry(Event::Used(used), None, None);
    }
}
