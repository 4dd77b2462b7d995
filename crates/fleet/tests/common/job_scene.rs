use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::AtomicU32, atomic::Ordering},
    time::Duration,
};

use decide::{job::JobPolicy, wave::FleetLimits};
use fake::{StartRecord, WorkerFake, WorkerSettings};
use fleet::{FleetOptions, FleetService, FleetTiming, JobTiming};
use model::{HostRole, Manifest, PoolSpec, ServiceSpec, TeamId, TeamSpec};
use ports::{JobError, JobRequest, JobSink, JobView, QuotaPermit, QuotaSource, TargetSource};
use store::BootClock;

use super::{FakeFleet, FixedConfig, FixedMembers, MemoryStore, wait_for};

/// A quota with one limit for all teams, shared by all entry hosts of a scene.
pub struct CountedQuota {
    left: Arc<AtomicU32>,
}

impl QuotaSource for CountedQuota {
    fn try_take_for(&self, _team: &TeamId, _length: Duration) -> Option<QuotaPermit> {
        let take = |left: u32| left.checked_sub(1);
        self.left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .ok()?;
        let left = Arc::clone(&self.left);
        Some(QuotaPermit::new(move || {
            left.fetch_add(1, Ordering::SeqCst);
        }))
    }

    fn report_waiting(&self, _team: &TeamId, _waiting: u32) {}
}

/// Workers of one pool and the dependencies of entry hosts that run jobs on them.
pub struct JobScene {
    pub store: Arc<MemoryStore>,
    pub workers: Vec<WorkerFake>,
    pub list: Arc<FakeFleet>,
    pub config: Arc<FixedConfig>,
    pub quota: Arc<CountedQuota>,
    pub policy: JobPolicy,
    pub timing: JobTiming,
}

pub fn short_timing() -> JobTiming {
    JobTiming {
        flush_interval: Duration::from_millis(30),
        renew_interval: Duration::from_millis(100),
        usage_interval: Duration::from_millis(200),
        watch_interval: Duration::from_millis(100),
        takeover_after: Duration::from_millis(300),
        ended_retention: Duration::from_secs(120),
    }
}

pub fn short_policy() -> JobPolicy {
    JobPolicy {
        lease: Duration::from_secs(3),
        lease_guard: Duration::from_secs(1),
        first_backoff: Duration::from_millis(10),
        longest_backoff: Duration::from_millis(200),
        ..JobPolicy::default()
    }
}

impl JobScene {
    pub fn new(workers: usize) -> Self {
        let list = Arc::new(FakeFleet::default());
        list.add("w", HostRole::Worker, "", workers);
        let workers: Vec<WorkerFake> = (0..workers)
            .map(|_| WorkerFake::start("127.0.0.1:0", WorkerSettings::default()).expect("a worker"))
            .collect();
        for (host, worker) in list.hosts.lock().values_mut().zip(&workers) {
            host.entry.address = worker.address();
        }
        Self {
            store: Arc::default(),
            config: FixedConfig::new(job_manifest(workers.len())),
            workers,
            list,
            quota: Arc::new(CountedQuota {
                left: Arc::new(AtomicU32::new(10_000)),
            }),
            policy: short_policy(),
            timing: short_timing(),
        }
    }

    pub fn set_quota(&self, units: u32) {
        self.quota.left.store(units, Ordering::SeqCst);
    }

    /// Starts an entry host and waits until all workers are serving targets.
    pub fn start(&self, members: Arc<FixedMembers>) -> Arc<FleetService> {
        let options = FleetOptions::new(
            self.store.clone(),
            self.list.clone(),
            self.config.clone(),
            members,
            Arc::new(BootClock),
            self.quota.clone(),
        )
        .with_timing(FleetTiming {
            list_interval: Duration::from_millis(100),
            watch_timeout: Duration::from_millis(500),
            round_interval: Duration::from_millis(20),
            takeover: Duration::from_millis(50),
            ..FleetTiming::default()
        })
        .with_limits(FleetLimits {
            settle_time: Duration::ZERO,
            ..FleetLimits::default()
        })
        .with_jobs(self.timing, self.policy);
        let service = FleetService::start(options).expect("threads start");
        let ready = || {
            let targets = service.pool_targets(&"coding".into());
            let serving = targets.iter().filter(|t| t.state == Default::default());
            serving.count() == self.workers.len()
        };
        wait_for("the workers serve", ready);
        service
    }

    /// All starts of tasks on all workers.
    pub fn starts(&self) -> Vec<StartRecord> {
        self.workers.iter().flat_map(WorkerFake::starts).collect()
    }

    /// Number of starts by job.
    pub fn starts_by_job(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for start in self.starts() {
            let (job, _) = start.task.rsplit_once('.').expect("job and attempt");
            *counts.entry(job.to_owned()).or_default() += 1;
        }
        counts
    }
}

fn job_manifest(workers: usize) -> Manifest {
    let mut manifest = Manifest::default();
    let pool = PoolSpec {
        role: HostRole::Worker,
        size: u32::try_from(workers).unwrap_or_default(),
        budget: 0,
        ..PoolSpec::default()
    };
    manifest.pools.insert("coding".into(), pool);
    let service = ServiceSpec {
        worker_pool: "coding".into(),
        ..ServiceSpec::default()
    };
    manifest.services.insert("code".into(), service);
    manifest.teams.insert("panel".into(), TeamSpec::default());
    manifest
}

/// A small job of the team `panel` with this payload.
pub fn job_request(request: &str, payload: &str, idempotent: bool) -> JobRequest {
    JobRequest {
        request: request.into(),
        team: "panel".into(),
        service: "code".into(),
        payload: payload.as_bytes().to_vec(),
        cores: 1,
        memory_mb: 64,
        run_time: Duration::from_millis(50),
        idempotent,
        ..JobRequest::default()
    }
}

/// Submits a job and retries the same request until it is accepted.
pub fn submit(sink: &dyn JobSink, request: &JobRequest) -> JobView {
    let mut outcome = Err(JobError::QueueFull);
    wait_for("the job is accepted", || {
        outcome = sink.submit(request.clone());
        outcome.is_ok()
    });
    outcome.expect("accepted")
}

/// Waits until a job is in one of `phases` and returns its view.
pub fn wait_phase(sink: &dyn JobSink, view: &JobView, phases: &[&str]) -> JobView {
    let mut seen = view.clone();
    wait_for(&format!("{} in {phases:?}", view.job), || {
        if let Ok(found) = sink.view(&view.team, &view.job) {
            seen = found;
        }
        phases.contains(&seen.phase.as_str())
    });
    seen
}
