use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use model::{
    BootTime, HostId, JobId, PoolId, WorkspaceId,
    work::{FencingToken, FleetPolicy, ResourceVector, TargetEntry},
};
use wire::work::{JobPhase, JobRecord, LogEntry, TargetUse, log_entry::Event};

use super::{
    EndOrigin, HostDrainState, JobTable, LogAppend, SchedulerAction, SchedulerEvent,
    SchedulerTuning, StartForecast, TargetState, WorkCounters, WorkJob, WorkPhase,
    scheduler_evacuate::StrandedTask, scheduler_index::SchedulerIndex, share_meter::ShareMeter,
    step_key::StepKey, target_state::RunKey, tracked_map::TrackedMap,
};

/// Events that are kept for the log until they are taken; more are dropped, and counted.
const MAX_BUFFERED_EVENTS: usize = 4096;

/// The present, on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerTime {
    /// Time since boot; leases and pauses count on it.
    pub boot: BootTime,
    /// Time since the Unix epoch; occurrences are due on it, and it may jump.
    pub unix: Duration,
}

/// Decides for one cell, for one term of ownership.
///
/// A term begins with the jobs of the log ([`WorkScheduler::replay`]) and with looking at every
/// target that tasks may be on. It ends with the process's ownership; a new term begins anew.
#[derive(Clone, Debug, Default)]
pub struct WorkScheduler {
    pub(super) tuning: SchedulerTuning,
    pub(super) token: FencingToken,
    /// What operators ask for.
    pub terms: Arc<FleetPolicy>,
    /// The jobs.
    pub job_table: JobTable,
    /// The targets.
    pub targets: TrackedMap<TargetState>,
    pub(super) index: SchedulerIndex,
    /// How much was looked at so far.
    pub counters: WorkCounters,
    pub(super) workspace_usage: BTreeMap<WorkspaceId, ResourceVector>,
    pub(super) actions: Vec<SchedulerAction>,
    pub(super) events: VecDeque<SchedulerEvent>,
    /// Events that were dropped because nobody took them in time.
    pub events_dropped: u64,
    /// When another process might have owned the cell last.
    pub(super) last_uncertain: Option<BootTime>,
    /// Since when many listed targets have not been heard at once.
    pub(super) mass_unresponsive_since: Option<BootTime>,
    /// When many listed targets were last not heard at once.
    pub(super) mass_unresponsive_last: Option<BootTime>,
    /// Whether another process may own the cell by now.
    pub(super) ownership_uncertain: bool,
    /// When the log had been read; zero for a desk that has no predecessor.
    pub(super) replay_finished_at: BootTime,
    pub(super) shares: ShareMeter,
    pub(super) forecast: StartForecast,
    /// Steps of tasks that last for which no target was found, and since when.
    pub(super) unplaced_since: BTreeMap<StepKey, BootTime>,
    /// Targets that are kept free, also those that are not listed yet: the list of hosts may tell of
    /// a life first, and its host be ordered. Tasks that it were given meanwhile would end.
    pub(super) drains: BTreeMap<HostId, HostDrainState>,
    /// Of each pool a task that has to leave its host and has no other to go to.
    pub(super) stranded: BTreeMap<PoolId, StrandedTask>,
    /// When waits for another target end, of tasks that failed; the earliest first.
    pub(super) failure_wait_deadlines: VecDeque<BootTime>,
    /// Occurrences and starts may be due: planning has something to do.
    pub(super) replan_needed: bool,
    /// Stops that have not been answered, with the time of their last sending.
    pub(super) pending_stops: BTreeMap<(HostId, RunKey), BootTime>,
    /// Stops that were answered, and when; a target takes a moment until it lists the end.
    pub(super) acknowledged_stops: BTreeMap<(HostId, RunKey), BootTime>,
    /// Runs that stood still at the last look at their target.
    pub(super) no_progress: BTreeSet<(HostId, RunKey)>,
    /// Share of time that tasks which fill have on a target; 100 if absent.
    pub(super) throttles: BTreeMap<HostId, u8>,
}

impl WorkScheduler {
    /// The desk of a new term.
    pub fn new(tuning: SchedulerTuning, token: FencingToken) -> Self {
        Self {
            tuning,
            token,
            ..Self::default()
        }
    }

    /// Takes an entry of the log in while it is read.
    pub fn replay(&mut self, entry: &LogEntry, now: SchedulerTime) {
        if let Some(Event::Cancelled(id) | Event::Failed(id)) = &entry.event
            && let Some(job) = self.job_table.jobs.get_mut(id.as_str())
        {
            // What was due may run on a target that was not reached, and has to be counted.
            job.open_due_occurrences(now.unix, now.boot, self.tuning.early_start);
        }
        self.job_table.apply(entry, now.unix, now.boot);
    }

    /// Ends the reading of the log. Targets that a predecessor used are to be looked at, also
    /// those that the host list no longer has: their tasks may still run.
    pub fn finish_replay(&mut self, now: SchedulerTime) {
        self.replay_finished_at = now.boot;
        for job in self.job_table.jobs.values_mut() {
            job.inherited = true;
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

    /// Sets whether another process may own the cell by now, since the lease may have lapsed.
    ///
    /// What runs goes on then, but nothing is started and no further life of a target is drawn
    /// into it ([`WorkScheduler::plan`]).
    pub fn set_ownership_uncertain(&mut self, alone: bool) {
        self.replan_needed |= self.ownership_uncertain && !alone;
        self.ownership_uncertain = alone;
    }

    /// Token of this term.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Sets what operators ask for.
    pub fn set_terms(&mut self, terms: Arc<FleetPolicy>) {
        for job in self.job_table.jobs.values_mut() {
            if let Some(queue) = terms.queue(&job.queue) {
                job.pool = queue.pool.clone();
            }
        }
        let limited = terms.workspaces.iter();
        let limited = limited.filter(|space| space.limit != ResourceVector::default());
        self.index.limits = limited
            .map(|space| (space.name.clone(), space.limit))
            .collect();
        self.terms = terms;
        self.replan_needed = true;
    }

    /// Takes what the host list says of a target.
    pub fn upsert_target(&mut self, entry: TargetEntry, now: SchedulerTime) {
        self.sync_indexes(now.boot);
        let id = entry.target.clone();
        if self.is_superseded_entry(&entry) {
            self.mark_target_unlisted(&id);
            return;
        }
        self.end_other_incarnations_at_address(&entry, now);
        let Some(target) = self.targets.get_mut(&id) else {
            let recorded = self.job_table.used_targets.contains_key(id.as_str());
            let target = TargetState {
                recorded,
                drain: self.drains.get(&id).copied().unwrap_or_default(),
                ..TargetState::new(entry, now.boot)
            };
            self.targets.insert(id.clone(), target);
            self.record_target_use(&id);
            return;
        };
        let (born, known) = (entry.started_at, target.incarnation.started_at);
        if !born.is_zero() && born < known {
            // An entry of the life before, which was under way for long.
            return;
        }
        let reborn = !known.is_zero() && born > known;
        if known.is_zero() {
            target.incarnation.started_at = born;
        }
        let moved = target.recorded && target.entry.pool != entry.pool;
        target.entry = entry;
        if !target.listed {
            target.listed = true;
            target.last_answered_call = now.boot;
        }
        if moved {
            target.recorded = false;
        }
        let (recorded, missed) = (target.recorded, target.unreachable_recorded);
        if reborn {
            self.end_incarnation(&id, born, "reborn", now);
        }
        if !recorded && !missed {
            self.record_target_use(&id);
        }
    }

    /// The host list no longer has a target.
    pub fn mark_target_unlisted(&mut self, id: &HostId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.listed = false;
        }
    }

    /// Targets that the host list has.
    pub fn listed_targets(&self) -> Vec<HostId> {
        let listed = self.targets.values().filter(|target| target.listed);
        listed.map(|target| target.entry.target.clone()).collect()
    }

    /// Takes a job in that has been stored.
    pub fn accept_job(&mut self, record: &JobRecord, now: SchedulerTime) {
        self.job_table.accept(record, now.unix, now.boot);
        self.classify_job_share(record, now);
        let early = self.tuning.early_start;
        if let Some(job) = self.job_table.jobs.get_mut(record.job.as_str()) {
            job.open_due_occurrences(now.unix, now.boot, early);
        }
    }

    fn classify_job_share(&mut self, record: &JobRecord, now: SchedulerTime) {
        let space = self.terms.workspace(&record.workspace);
        let weight = space.map_or(0, |space| space.weight);
        let beyond = self
            .shares
            .record_job(&record.workspace.as_str().into(), weight, now.boot);
        if let Some(job) = self.job_table.jobs.get_mut(record.job.as_str()) {
            job.beyond_share = beyond;
        }
    }

    /// A host's order was carried out: all that ran on its target is over.
    pub fn end_target_after_host_order(&mut self, id: &HostId, now: SchedulerTime) {
        self.mark_target_lost(id, "ordered", now);
    }

    /// What callers are told of a job.
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

    /// How many jobs of a queue have not begun.
    pub fn pending_jobs(&mut self, queue: &str, now: SchedulerTime) -> u64 {
        self.sync_indexes(now.boot);
        self.index.jobs.pending(queue)
    }

    /// What is to be done, oldest first.
    pub fn take_actions(&mut self) -> Vec<SchedulerAction> {
        std::mem::take(&mut self.actions)
    }

    /// What is to be logged, oldest first.
    pub fn take_events(&mut self) -> VecDeque<SchedulerEvent> {
        std::mem::take(&mut self.events)
    }

    /// An entry of the log has been stored.
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
            Some(Event::Released(_) | Event::Wave(_) | Event::Ordered(_)) => {
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

    /// Writes down that tasks may be on a target, before the first is started there. After a
    /// failure of this process, its successor would otherwise not know of a target that has
    /// left the host list while its tasks run on.
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

    /// True if a later life is known at the address of an entry.
    ///
    /// The entry of a life that ended behind a cut may show once more after the next life has
    /// begun. Taken for the present one, it would end the life that is at work, and what runs there
    /// would be started a second time. While the store is away, the entry of the life at work may
    /// have lapsed. An entry that does not tell when its life began is another writer's.
    fn is_superseded_entry(&self, entry: &TargetEntry) -> bool {
        let others = self.other_targets_at_address(entry);
        let mut others = others.iter().filter_map(|id| self.targets.get(id));
        others.any(|other| {
            let lives = other.listed || !other.claims.is_empty();
            lives && other.incarnation.started_at > entry.started_at
        })
    }

    /// Other targets at the address of an entry.
    fn other_targets_at_address(&self, entry: &TargetEntry) -> Vec<HostId> {
        let there = self.index.targets.at_address(&entry.address);
        let others = there.filter(|id| **id != entry.target);
        others.cloned().collect()
    }

    /// Ends the lives of other targets at the address of a new one: one address, one target. An
    /// entry of a pool that nobody knows is another writer's and ends nothing.
    ///
    /// Of a predecessor's target that no look has reached it is not known which of both is the
    /// newer; a look tells.
    fn end_other_incarnations_at_address(&mut self, entry: &TargetEntry, now: SchedulerTime) {
        if !self.terms.pools.iter().any(|pool| pool.name == entry.pool) {
            return;
        }
        for id in self.other_targets_at_address(entry) {
            if self
                .targets
                .get(&id)
                .is_some_and(TargetState::is_state_known)
            {
                self.mark_target_lost(&id, "replaced", now);
            }
        }
    }
}
