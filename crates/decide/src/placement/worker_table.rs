use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{HostId, JobId};

use crate::budget::HostFacts;

/// A worker is suspect once this many distinct jobs failed on it without a success in between.
const SUSPECT_AFTER: usize = 3;
/// Duration of the first suspension of a suspect worker; doubles with each further one.
const FIRST_SUSPENSION: Duration = Duration::from_secs(30);
/// Longest suspension.
const LONGEST_SUSPENSION: Duration = Duration::from_secs(1800);

/// Processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobSize {
    /// Processors.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

/// A worker's report of its resource usage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerUsage {
    /// Boot id of the worker that reported.
    pub boot: String,
    /// Resources used by all its tasks, whoever sent them.
    pub used: JobSize,
    /// When the report was requested, on the caller's clock.
    pub asked: Duration,
}

/// Why no worker accepts a job now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlacementRefusal {
    /// No worker of the pool is large enough, even if empty.
    #[error("no worker is large enough")]
    NeverFits,
    /// All workers that are large enough are full, out of service or suspect.
    #[error("no worker has room now")]
    NoRoom,
}

/// One worker of a pool, as known to this entry host.
#[derive(Clone, Debug, Default)]
struct PoolWorker {
    facts: HostFacts,
    serving: bool,
    usage: Option<WorkerUsage>,
    placed: BTreeMap<JobId, (JobSize, Duration)>,
    failed: BTreeSet<JobId>,
    suspended_until: Duration,
    suspensions: u32,
}

/// The workers of one pool.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    workers: BTreeMap<HostId, PoolWorker>,
}

impl WorkerTable {
    /// Replaces the workers of the pool and whether each accepts new work.
    pub fn set_workers(&mut self, workers: impl IntoIterator<Item = (HostId, HostFacts, bool)>) {
        let mut retained = BTreeMap::new();
        for (host, facts, serving) in workers {
            let mut entry = self.workers.remove(&host).unwrap_or_default();
            entry.facts = facts;
            entry.serving = serving;
            retained.insert(host, entry);
        }
        self.workers = retained;
    }

    /// Stores a worker's report of its resource usage.
    pub fn record_usage(&mut self, worker: &HostId, usage: WorkerUsage) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.usage = Some(usage);
        }
    }

    /// Counts a job that was placed at `now`.
    pub fn record_placed(&mut self, worker: &HostId, job: &JobId, size: JobSize, now: Duration) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.placed.insert(job.clone(), (size, now));
        }
    }

    /// Removes a job that a worker no longer has.
    pub fn record_released(&mut self, worker: &HostId, job: &JobId) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.placed.remove(job);
        }
    }

    /// Clears a worker's failures after a job succeeded on it.
    pub fn record_success(&mut self, worker: &HostId) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.failed.clear();
            entry.suspensions = 0;
        }
    }

    /// Records that `job` failed on `worker`, after it had failed on `elsewhere`.
    ///
    /// A job that fails on several workers is itself faulty, and its failures no longer count
    /// against any of them. Without this, one team's faulty jobs would make one worker after
    /// another suspect.
    pub fn record_failure(
        &mut self,
        worker: &HostId,
        job: &JobId,
        elsewhere: &[HostId],
        now: Duration,
    ) {
        let failed_before = elsewhere.iter().any(|other| other != worker);
        for other in elsewhere {
            if let Some(entry) = self.workers.get_mut(other) {
                entry.failed.remove(job);
            }
        }
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if failed_before {
            return;
        }
        entry.failed.insert(job.clone());
        if entry.failed.len() >= SUSPECT_AFTER && now >= entry.suspended_until {
            let suspension = FIRST_SUSPENSION * 2_u32.saturating_pow(entry.suspensions.min(8));
            entry.suspended_until = now + suspension.min(LONGEST_SUSPENSION);
            entry.suspensions += 1;
        }
    }

    /// True if so many distinct jobs failed on the worker that the worker itself is suspect.
    pub fn is_suspect(&self, worker: &HostId) -> bool {
        let entry = self.workers.get(worker);
        entry.is_some_and(|entry| entry.failed.len() >= SUSPECT_AFTER)
    }

    /// All suspect workers.
    pub fn suspects(&self) -> Vec<HostId> {
        let suspects = self.workers.keys().filter(|host| self.is_suspect(host));
        suspects.cloned().collect()
    }

    /// Boot id of a worker's last report.
    pub fn boot_of(&self, worker: &HostId) -> Option<&str> {
        let usage = self.workers.get(worker)?.usage.as_ref()?;
        Some(&usage.boot)
    }

    /// Chooses a worker for a job of `size` that failed on `avoid`.
    ///
    /// Takes the fullest worker with enough capacity, so that capacity for large jobs is retained.
    ///
    /// # Errors
    /// `NeverFits` if no worker of the pool would have the capacity even if empty.
    pub fn choose_worker(
        &self,
        size: JobSize,
        avoid: &[HostId],
        now: Duration,
    ) -> Result<HostId, PlacementRefusal> {
        if !self.workers.values().any(|entry| entry.capacity_fits(size)) {
            return Err(PlacementRefusal::NeverFits);
        }
        let suspended = self.suspended(now);
        let choice = |avoid: &[HostId]| {
            self.workers
                .iter()
                .filter(|(host, _)| !avoid.contains(host) && !suspended.contains(host))
                .filter(|(_, entry)| entry.serving && entry.usage.is_some())
                .filter_map(|(host, entry)| Some((entry.remaining_capacity(size)?, host)))
                .min()
                .map(|(_, host)| host.clone())
        };
        choice(avoid)
            .or_else(|| choice(&[]))
            .ok_or(PlacementRefusal::NoRoom)
    }

    /// Workers that get no jobs now: suspects, but at most half of the pool. Otherwise faulty jobs
    /// could stop a healthy pool.
    fn suspended(&self, now: Duration) -> BTreeSet<&HostId> {
        let suspended = self
            .workers
            .iter()
            .filter(|(_, entry)| now < entry.suspended_until);
        suspended
            .map(|(host, _)| host)
            .take(self.workers.len() / 2)
            .collect()
    }
}

impl PoolWorker {
    fn capacity_fits(&self, size: JobSize) -> bool {
        size.cores <= self.facts.cores
            && size.memory_mb <= self.facts.memory_mb
            && size.accelerators <= self.facts.accelerators
    }

    /// Capacity that would be left with the job, by processors and memory; `None` if it does not
    /// fit.
    ///
    /// Reported usage lags, so jobs placed since the report was requested are added to it.
    fn remaining_capacity(&self, size: JobSize) -> Option<(u32, u64)> {
        let used = self.used();
        let cores = self.facts.cores.checked_sub(used.cores)?;
        let memory = self.facts.memory_mb.checked_sub(used.memory_mb)?;
        let accelerators = self.facts.accelerators.checked_sub(used.accelerators)?;
        accelerators.checked_sub(size.accelerators)?;
        Some((
            cores.checked_sub(size.cores)?,
            memory.checked_sub(size.memory_mb)?,
        ))
    }

    fn used(&self) -> JobSize {
        let placed = self.placed.values().map(|(size, _)| *size);
        let own = placed.fold(JobSize::default(), JobSize::plus);
        let Some(usage) = &self.usage else {
            return own;
        };
        let since = self.placed.values().filter(|(_, at)| *at >= usage.asked);
        let newer = since.fold(JobSize::default(), |sum, (size, _)| sum.plus(*size));
        own.max(usage.used.plus(newer))
    }
}

impl JobSize {
    fn plus(self, other: Self) -> Self {
        Self {
            cores: self.cores.saturating_add(other.cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            cores: self.cores.max(other.cores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}
