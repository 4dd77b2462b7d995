use std::{collections::BTreeSet, time::Duration};

use crossbeam_channel::TrySendError;
use decide::{
    job::{JobPhase, JobState, PhaseKind},
    placement::{JobSize, PlacementRefusal},
};
use model::{HostId, HostRole, JobId, PoolId, TeamId};
use prost::Message;
use wire::fleet::JobCancels;

use crate::{
    event,
    job_call::{CallKind, WorkerCall},
    job_holder::JobHolder,
};

/// Maximum number of jobs of one team considered in one pass.
const MAX_CANDIDATES: usize = 64;

impl JobHolder {
    /// Places waiting jobs, for each team at most as many as its share.
    ///
    /// Placement only marks the job as starting. The start is sent after that is recorded.
    /// Otherwise, if this holder crashed in between, the next holder would not know that a
    /// worker may have the task and would start a non-idempotent job twice.
    pub(crate) fn start_jobs(&mut self) {
        if self.pending.is_some() {
            return;
        }
        let config = self.shared.config.current();
        let mut full: BTreeSet<PoolId> = BTreeSet::new();
        let teams: Vec<TeamId> = self.queues.keys().cloned().collect();
        for team in teams {
            let share = config
                .manifest
                .teams
                .get(&team)
                .map_or(1, |spec| spec.share);
            self.start_team(&team, share.max(1), &mut full);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    fn start_team(&mut self, team: &TeamId, share: u32, full: &mut BTreeSet<PoolId>) {
        let now = self.shared.clock.unix_now();
        let Some(queue) = self.queues.get(team) else {
            return;
        };
        let candidates: Vec<JobId> = queue
            .iter()
            .take(MAX_CANDIDATES)
            .map(|(_, job)| job.clone())
            .collect();
        let mut started = 0;
        for job in candidates {
            let Some(held) = self.jobs.get(&job) else {
                continue;
            };
            let state = held.state.clone();
            if started >= share || now < state.next_try || full.contains(&state.spec.pool) {
                continue;
            }
            let worker = match self.choose_worker(&state) {
                Ok(worker) => worker,
                Err(PlacementRefusal::NoRoom) => {
                    full.insert(state.spec.pool.clone());
                    continue;
                }
                Err(PlacementRefusal::NeverFits) => {
                    self.park_unfit(&job, &state);
                    continue;
                }
            };
            let Some(permit) = self.shared.quota.try_take(team) else {
                let waiting = self.queues.get(team).map_or(0, BTreeSet::len);
                let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
                self.shared.quota.report_waiting(team, waiting);
                return;
            };
            if let Some(held) = self.jobs.get_mut(&job) {
                held.permit = Some(permit);
            }
            self.place_job(&job, &state, &worker);
            started += 1;
        }
    }

    fn choose_worker(&self, state: &JobState) -> Result<HostId, PlacementRefusal> {
        let Some(worker_table) = self.worker_tables.get(&state.spec.pool) else {
            return Err(PlacementRefusal::NoRoom);
        };
        let now = self.shared.clock.boot_now();
        // The declared size decides whether the job can ever fit, the corrected one which
        // worker it fits on now.
        let corrected = self.corrected_size(state);
        match worker_table.choose_worker(corrected, &state.failed_on, now) {
            Err(PlacementRefusal::NeverFits) => {
                worker_table.choose_worker(declared_size(state), &state.failed_on, now)
            }
            other => other,
        }
    }

    fn corrected_size(&self, state: &JobState) -> JobSize {
        let spec = &state.spec;
        self.sizes
            .corrected_size(&spec.team, &spec.service, declared_size(state))
    }

    fn place_job(&mut self, job: &JobId, state: &JobState, worker: &HostId) {
        let now = self.shared.clock.boot_now();
        let size = self.corrected_size(state);
        let Some(worker_table) = self.worker_tables.get_mut(&state.spec.pool) else {
            return;
        };
        worker_table.record_placed(worker, job, size, now);
        let boot = worker_table.boot_of(worker).unwrap_or_default().to_owned();
        self.set_state(job, state.next_attempt(worker, &boot), true);
    }

    /// Parks a job that is too large for every worker of its pool. It waits for the lease
    /// time first, so that the workers of the pool are known.
    fn park_unfit(&mut self, job: &JobId, state: &JobState) {
        let now = self.shared.clock.unix_now();
        if now < state.spec.accepted + self.policy.lease {
            return;
        }
        let size = declared_size(state);
        let reason = format!(
            "no worker of {} has {} processors, {} MB and {} accelerators",
            state.spec.pool, size.cores, size.memory_mb, size.accelerators
        );
        model::event::warn(
            &event::JOB_PARKED,
            format_args!("job={job} reason={reason}"),
        );
        self.set_state(job, state.ended_as(JobPhase::Parked, &reason, now), true);
    }

    /// Sends the starts that have been recorded.
    pub(crate) fn send_recorded(&mut self) {
        for job in std::mem::take(&mut self.unsent) {
            let Some(held) = self.jobs.get(&job) else {
                continue;
            };
            let state = held.state.clone();
            let due = state.phase == JobPhase::Starting
                && held.recorded_attempt == state.attempt
                && held.sent_attempt != state.attempt;
            if !due {
                continue;
            }
            if !self.send_start(&state, true) {
                self.unsent.insert(job);
                continue;
            }
            if let Some(held) = self.jobs.get_mut(&job) {
                held.sent_attempt = state.attempt;
                held.asked_at = self.shared.clock.boot_now();
            }
        }
    }

    /// Queues the call that starts a task; returns false if the queue is full.
    pub(crate) fn send_start(&self, state: &JobState, first: bool) -> bool {
        let kind = CallKind::Start {
            job: Box::new(state.clone()),
            first,
        };
        self.queue_call(&state.worker, kind)
    }

    pub(crate) fn queue_call(&self, worker: &HostId, kind: CallKind) -> bool {
        let address = self.shared.host_address(worker);
        let Some(address) = address else {
            return true;
        };
        let call = WorkerCall {
            worker: worker.clone(),
            address,
            kind,
            reply: self.reply_sender.clone(),
        };
        !matches!(self.calls.try_send(call), Err(TrySendError::Full(_)))
    }

    /// Refreshes the workers and their usage, and reads cancellations of other members.
    pub(crate) fn refresh_inputs(&mut self) {
        let now = self.shared.clock.boot_now();
        if now.saturating_sub(self.usage_requested_at) >= self.timing.usage_interval
            || self.lacks_worker_table()
        {
            self.usage_requested_at = now;
            self.refresh_workers();
        }
        if now.saturating_sub(self.cancels_read_at) >= self.timing.watch_interval {
            self.cancels_read_at = now;
            self.apply_cancels();
        }
    }

    fn lacks_worker_table(&self) -> bool {
        let first = |queue: &BTreeSet<(Duration, JobId)>| queue.first().map(|(_, job)| job.clone());
        let mut jobs = self.queues.values().filter_map(first);
        jobs.any(|job| {
            let held = self.jobs.get(&job);
            held.is_some_and(|held| !self.worker_tables.contains_key(&held.state.spec.pool))
        })
    }

    fn refresh_workers(&mut self) {
        let live = self
            .jobs
            .values()
            .filter(|held| held.state.kind() != PhaseKind::Ended);
        let pools: BTreeSet<PoolId> = live.map(|held| held.state.spec.pool.clone()).collect();
        for pool in pools {
            let workers = self.shared.pool_workers(&pool);
            for (host, facts, serving) in &workers {
                if *serving && facts.role == HostRole::Worker {
                    self.queue_call(host, CallKind::Usage);
                }
            }
            let worker_table = self.worker_tables.entry(pool).or_default();
            worker_table.set_workers(workers);
        }
    }

    /// Applies cancellations that other members recorded and clears the list.
    fn apply_cancels(&mut self) {
        let key = format!("job-cancels/{}", self.log.name());
        let Ok(Some(found)) = self.shared.store.read(&key) else {
            return;
        };
        let Ok(cancels) = JobCancels::decode(found.value.as_slice()) else {
            return;
        };
        if cancels.jobs.is_empty() {
            return;
        }
        for job in &cancels.jobs {
            self.cancel_job(&job.as_str().into());
        }
        // If this fails, the list is applied again, which has no further effect.
        let empty = JobCancels::default().encode_to_vec();
        let _ = self.shared.store.swap(&key, found.version, &empty);
    }
}

pub(crate) fn declared_size(state: &JobState) -> JobSize {
    JobSize {
        cores: state.spec.cores,
        memory_mb: state.spec.memory_mb,
        accelerators: state.spec.accelerators,
    }
}
