use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use arc_swap::ArcSwap;
use decide::{job::JobPolicy, wave::FleetLimits};
use model::{JobId, PoolId, RequestId, ServiceId, StepError, TeamId};
use parking_lot::Mutex;
use ports::{
    AuditSink, ConfigSource, HostStatus, JobError, JobRequest, JobSink, JobView, MemberSource,
    QuotaSource, StatusSource, TargetHost, TargetSource,
};
use store::{Clock, HostList, KeyStore};

use crate::{
    FleetTiming, HostPort, HttpPort, HttpWorker, JobTiming, MapSnapshot, MapStore, WorkerPort,
    fleet_shared::FleetShared,
    host_watch::run_list_watch,
    job_call::run_caller,
    job_keeper::JobKeeper,
    job_service::JobService,
    list_view::ListView,
    planner::Planner,
    probe_pool::{ProbeTable, run_prober},
    target_view::TargetView,
};

/// The only shard of the pool map; `docs/design/07-fleet.md` explains why one suffices.
const SHARD: &str = "0";

/// Number of threads that probe hosts.
const PROBERS: usize = 6;

/// Capacity of the probe queue; further probes are dropped and queued in a later round.
const PROBE_QUEUE: usize = 64;

/// Number of threads that call workers.
const CALLERS: usize = 6;

/// Capacity of the queue of calls to workers; starts beyond it are retried.
const CALL_QUEUE: usize = 1024;

/// Stack size of the threads of the fleet service, in bytes.
const STACK_SIZE: usize = 256 * 1024;

/// Dependencies and settings of the fleet service.
#[derive(Clone)]
pub struct FleetOptions {
    /// The configuration store.
    pub store: Arc<dyn KeyStore>,
    /// Host list of the platform.
    pub hosts: Arc<dyn HostList>,
    /// Source of the active configuration.
    pub config: Arc<dyn ConfigSource>,
    /// Members of the group of entry hosts, among which duties are distributed.
    pub members: Arc<dyn MemberSource>,
    /// Clocks of the machine.
    pub clock: Arc<dyn Clock>,
    /// Audit trail for changes of the pool map; `None` for no audit.
    pub audit: Option<Arc<dyn AuditSink>>,
    /// Source of quota permits, one for each running task.
    pub quota: Arc<dyn QuotaSource>,
    /// Port for requests to hosts; `None` for HTTP.
    pub port: Option<Arc<dyn HostPort>>,
    /// Port for requests to workers; `None` for HTTP.
    pub workers: Option<Arc<dyn WorkerPort>>,
    /// Intervals and age limits of the service.
    pub timing: FleetTiming,
    /// Intervals of job holders.
    pub job_timing: JobTiming,
    /// Leases and retries of jobs.
    pub job_policy: JobPolicy,
    /// Limits for maintenance and for lost hosts.
    pub limits: FleetLimits,
}

impl FleetOptions {
    /// Creates options with default intervals and limits and with HTTP ports.
    pub fn new(
        store: Arc<dyn KeyStore>,
        hosts: Arc<dyn HostList>,
        config: Arc<dyn ConfigSource>,
        members: Arc<dyn MemberSource>,
        clock: Arc<dyn Clock>,
        quota: Arc<dyn QuotaSource>,
    ) -> Self {
        Self {
            store,
            hosts,
            config,
            members,
            clock,
            audit: None,
            quota,
            port: None,
            workers: None,
            job_timing: JobTiming::default(),
            job_policy: JobPolicy::default(),
            timing: FleetTiming::default(),
            limits: FleetLimits::default(),
        }
    }

    /// Records changes of the pool map in `audit`.
    #[must_use]
    pub fn with_audit(mut self, audit: Arc<dyn AuditSink>) -> Self {
        self.audit = Some(audit);
        self
    }

    /// Sends requests to hosts through `port`.
    #[must_use]
    pub fn with_port(mut self, port: Arc<dyn HostPort>) -> Self {
        self.port = Some(port);
        self
    }

    /// Sends requests to workers through `workers`.
    #[must_use]
    pub fn with_workers(mut self, workers: Arc<dyn WorkerPort>) -> Self {
        self.workers = Some(workers);
        self
    }

    /// Sets the intervals and the policy of jobs.
    #[must_use]
    pub fn with_jobs(mut self, timing: JobTiming, policy: JobPolicy) -> Self {
        self.job_timing = timing;
        self.job_policy = policy;
        self
    }

    /// Sets the intervals of the service.
    #[must_use]
    pub fn with_timing(mut self, timing: FleetTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the limits for hosts.
    #[must_use]
    pub fn with_limits(mut self, limits: FleetLimits) -> Self {
        self.limits = limits;
        self
    }
}

/// Manages pools, hosts and jobs on this entry host. Its threads stop after it is dropped.
pub struct FleetService {
    shared: Arc<FleetShared>,
    job_service: Arc<JobService>,
}

impl FleetService {
    /// Starts the threads of the service.
    ///
    /// # Errors
    /// If a thread can't be started. An unavailable store or host list is not an error.
    pub fn start(options: FleetOptions) -> Result<Arc<Self>, StepError> {
        let workers = options.workers.clone();
        let workers = workers.unwrap_or_else(|| Arc::new(HttpWorker::new()));
        let shared = Arc::new(into_shared(options));
        let service = Self {
            job_service: Arc::new(JobService::new(Arc::clone(&shared))),
            shared,
        };
        service.start_watches()?;
        service.start_planner()?;
        service.start_jobs(&workers)?;
        Ok(Arc::new(service))
    }

    /// Signals all threads to stop. Work on hosts continues.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Release);
    }

    fn start_watches(&self) -> Result<(), StepError> {
        let shared = Arc::clone(&self.shared);
        spawn("fleet-list", move || run_list_watch(&shared))?;
        let shared = Arc::clone(&self.shared);
        spawn("fleet-map", move || run_map_watch(&shared))
    }

    fn start_planner(&self) -> Result<(), StepError> {
        let probes = Arc::new(ProbeTable::default());
        let (sender, receiver) = crossbeam_channel::bounded(PROBE_QUEUE);
        for _ in 0..PROBERS {
            let (shared, probes, queue) = (
                Arc::clone(&self.shared),
                Arc::clone(&probes),
                receiver.clone(),
            );
            spawn("fleet-probe", move || run_prober(&shared, &probes, &queue))?;
        }
        let map_store = MapStore::new(Arc::clone(&self.shared.store), SHARD);
        let planner = Planner::new(Arc::clone(&self.shared), map_store, probes, sender);
        spawn("fleet-plan", move || planner.run())
    }
}

impl FleetService {
    fn start_jobs(&self, workers: &Arc<dyn WorkerPort>) -> Result<(), StepError> {
        let (sender, receiver) = crossbeam_channel::bounded(CALL_QUEUE);
        for _ in 0..CALLERS {
            let (workers, queue) = (Arc::clone(workers), receiver.clone());
            let clock = Arc::clone(&self.shared.clock);
            let lease = self.shared.job_policy.lease;
            spawn("fleet-call", move || {
                run_caller(&workers, &clock, lease, &queue);
            })?;
        }
        let keeper = || {
            let (shared, job_service) = (Arc::clone(&self.shared), Arc::clone(&self.job_service));
            JobKeeper::new(shared, job_service, sender.clone())
        };
        let (own, takeovers) = (keeper(), keeper());
        let job_service = Arc::clone(&self.job_service);
        spawn("fleet-cancel", move || job_service.run_cancels())?;
        spawn("fleet-jobs", move || own.run_own_logs())?;
        spawn("fleet-takeover", move || takeovers.run_takeovers())
    }
}

impl Drop for FleetService {
    fn drop(&mut self) {
        self.stop();
    }
}

impl TargetSource for FleetService {
    fn pool_targets(&self, pool: &PoolId) -> Arc<Vec<TargetHost>> {
        self.shared.targets.load().pool(pool)
    }

    fn service_targets(&self, service: &ServiceId) -> Arc<Vec<TargetHost>> {
        let config = self.shared.config.current();
        let Some(spec) = config.manifest.services.get(service) else {
            return Arc::default();
        };
        self.pool_targets(&spec.pool)
    }
}

impl StatusSource for FleetService {
    fn hosts(&self) -> Vec<HostStatus> {
        self.shared.targets.load().statuses()
    }
}

impl JobSink for FleetService {
    fn submit(&self, request: JobRequest) -> Result<JobView, JobError> {
        self.job_service.submit(request)
    }

    fn find(&self, team: &TeamId, request: &RequestId) -> Option<JobView> {
        self.job_service.find(team, request)
    }

    fn view(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError> {
        self.job_service.view(team, job)
    }

    fn cancel(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError> {
        self.job_service.cancel(team, job)
    }
}

fn into_shared(options: FleetOptions) -> FleetShared {
    let port = options.port.unwrap_or_else(|| Arc::new(HttpPort::new()));
    FleetShared {
        store: options.store,
        hosts: options.hosts,
        config: options.config,
        members: options.members,
        clock: options.clock,
        audit: options.audit,
        quota: options.quota,
        port,
        job_timing: options.job_timing,
        job_policy: options.job_policy,
        own_log: Mutex::default(),
        delayed_permits: Mutex::default(),
        finished_logs: Mutex::default(),
        timing: options.timing,
        limits: options.limits,
        snapshot: Mutex::new(MapSnapshot::default()),
        list: ArcSwap::from_pointee(ListView::default()),
        targets: ArcSwap::from_pointee(TargetView::default()),
        stopping: AtomicBool::new(false),
    }
}

/// Follows the pool map with one watch at a time; the store counts each as one call.
fn run_map_watch(shared: &Arc<FleetShared>) {
    let map_store = MapStore::new(Arc::clone(&shared.store), SHARD);
    while !shared.is_stopping() {
        let known = shared.snapshot.lock().clone();
        match map_store.watch(&known, shared.timing.watch_timeout) {
            Ok(Some(snapshot)) => shared.adopt_snapshot(snapshot),
            Ok(None) => {}
            Err(e) => {
                log::debug!(target: "E0608", "pool-map-unread cause={e}");
                shared.pause(shared.timing.list_interval);
            }
        }
    }
}

fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> Result<(), StepError> {
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_SIZE)
        .spawn(duty)
        .map(|_| ())
        .map_err(|e| StepError::new("start thread", name, e))
}
