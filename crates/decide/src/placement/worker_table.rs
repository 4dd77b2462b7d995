use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{HostId, JobId};

use crate::budget::HostFacts;

/// Distinct jobs that must fail on a worker, with no success between, to suspect it.
const SUSPECT_AFTER: usize = 3;
/// First time that a suspect worker gets no jobs; doubled with each time.
const FIRST_SUSPENSION: Duration = Duration::from_secs(30);
/// Longest such time.
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

/// What a worker reported of its use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerUsage {
    /// Which incarnation of the worker reported.
    pub boot: String,
    /// What its tasks use, whoever sent them.
    pub used: JobSize,
    /// When it was asked, on the caller's clock.
    pub asked: Duration,
}

/// Why no worker takes a job now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlacementRefusal {
    /// No worker of the pool is large enough, full or not.
    #[error("no worker is large enough")]
    NeverFits,
    /// Those that are large enough are full, out of service or suspect.
    #[error("no worker has room now")]
    NoRoom,
}

/// One worker of a pool, as seen from this entry host.
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
    /// Takes over which workers the pool has, and which of them take new work.
    pub fn set_workers(&mut self, workers: impl IntoIterator<Item = (HostId, HostFacts, bool)>) {
        let mut kept = BTreeMap::new();
        for (host, facts, serving) in workers {
            let mut note = self.workers.remove(&host).unwrap_or_default();
            note.facts = facts;
            note.serving = serving;
            kept.insert(host, note);
        }
        self.workers = kept;
    }

    /// Takes over what a worker reported.
    pub fn record_usage(&mut self, worker: &HostId, usage: WorkerUsage) {
        if let Some(note) = self.workers.get_mut(worker) {
            note.usage = Some(usage);
        }
    }

    /// Counts a job that was placed at `now`.
    pub fn record_placed(&mut self, worker: &HostId, job: &JobId, size: JobSize, now: Duration) {
        if let Some(note) = self.workers.get_mut(worker) {
            note.placed.insert(job.clone(), (size, now));
        }
    }

    /// Forgets a job that a worker no longer has.
    pub fn record_released(&mut self, worker: &HostId, job: &JobId) {
        if let Some(note) = self.workers.get_mut(worker) {
            note.placed.remove(job);
        }
    }

    /// Clears a worker's failures after a job ended well on it.
    pub fn record_success(&mut self, worker: &HostId) {
        if let Some(note) = self.workers.get_mut(worker) {
            note.failed.clear();
            note.suspensions = 0;
        }
    }

    /// Notes that `job` failed on `worker`, after it had failed on `elsewhere`.
    ///
    /// A job that fails on several workers is bad itself, and its failures no longer
    /// speak against any of them. Without this, one team's bad jobs would have worker
    /// after worker suspected.
    pub fn record_failure(
        &mut self,
        worker: &HostId,
        job: &JobId,
        elsewhere: &[HostId],
        now: Duration,
    ) {
        let failed_before = elsewhere.iter().any(|other| other != worker);
        for other in elsewhere {
            if let Some(note) = self.workers.get_mut(other) {
                note.failed.remove(job);
            }
        }
        let Some(note) = self.workers.get_mut(worker) else {
            return;
        };
        if failed_before {
            return;
        }
        note.failed.insert(job.clone());
        if note.failed.len() >= SUSPECT_AFTER && now >= note.suspended_until {
            let time = FIRST_SUSPENSION * 2_u32.saturating_pow(note.suspensions.min(8));
            note.suspended_until = now + time.min(LONGEST_SUSPENSION);
            note.suspensions += 1;
        }
    }

    /// True if a worker fails whatever it runs, as far as is known here.
    pub fn is_suspect(&self, worker: &HostId) -> bool {
        let note = self.workers.get(worker);
        note.is_some_and(|note| note.failed.len() >= SUSPECT_AFTER)
    }

    /// Workers that are suspect.
    pub fn suspects(&self) -> Vec<HostId> {
        let suspects = self.workers.keys().filter(|host| self.is_suspect(host));
        suspects.cloned().collect()
    }

    /// The incarnation of a worker that last reported.
    pub fn boot_of(&self, worker: &HostId) -> Option<&str> {
        let usage = self.workers.get(worker)?.usage.as_ref()?;
        Some(&usage.boot)
    }

    /// Chooses a worker for a job of `size` that failed on `avoid`.
    ///
    /// The fullest worker that has room is taken, so that room for large jobs is kept.
    ///
    /// # Errors
    /// `NeverFits` if no worker of the pool would have room if it were empty.
    pub fn choose_worker(
        &self,
        size: JobSize,
        avoid: &[HostId],
        now: Duration,
    ) -> Result<HostId, PlacementRefusal> {
        if !self.workers.values().any(|note| note.capacity_fits(size)) {
            return Err(PlacementRefusal::NeverFits);
        }
        let suspended = self.suspended(now);
        let choice = |avoid: &[HostId]| {
            self.workers
                .iter()
                .filter(|(host, _)| !avoid.contains(host) && !suspended.contains(host))
                .filter(|(_, note)| note.serving && note.usage.is_some())
                .filter_map(|(host, note)| Some((note.remaining_capacity(size)?, host)))
                .min()
                .map(|(_, host)| host.clone())
        };
        choice(avoid)
            .or_else(|| choice(&[]))
            .ok_or(PlacementRefusal::NoRoom)
    }

    /// Workers that get no jobs now: suspects, but at most half of the pool, or bad jobs
    /// could stop a pool that is sound.
    fn suspended(&self, now: Duration) -> BTreeSet<&HostId> {
        let suspended = self
            .workers
            .iter()
            .filter(|(_, note)| now < note.suspended_until);
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

    /// Room that would be left with the job, by processors and memory; `None` if it
    /// does not fit.
    ///
    /// Reported use lags, so jobs placed since the report was asked for are added to it.
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
