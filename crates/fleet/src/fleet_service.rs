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

/// The one shard of the pool map, see `docs/design/07-fleet.md` on why one is enough.
const SHARD: &str = "0";

/// Threads that probe hosts.
const PROBERS: usize = 6;

/// Probes that may wait; more are dropped and come back in the next round.
const PROBE_QUEUE: usize = 64;

/// Threads that call workers.
const CALLERS: usize = 6;

/// Calls to workers that may wait; more are made in a later turn.
const CALL_QUEUE: usize = 1024;

/// Stack of a thread of the fleet, in bytes.
const STACK_SIZE: usize = 256 * 1024;

/// What the fleet needs of its surroundings.
#[derive(Clone)]
pub struct FleetOptions {
    /// The configuration store.
    pub store: Arc<dyn KeyStore>,
    /// The platform's host list.
    pub hosts: Arc<dyn HostList>,
    /// The manifest in force.
    pub config: Arc<dyn ConfigSource>,
    /// The entry hosts, which share out the duties.
    pub members: Arc<dyn MemberSource>,
    /// The machine's clocks.
    pub clock: Arc<dyn Clock>,
    /// Where changes of the pool map are noted.
    pub audit: Option<Arc<dyn AuditSink>>,
    /// Units of team limits, one for each running task.
    pub quota: Arc<dyn QuotaSource>,
    /// Calls to hosts; `None` for HTTP.
    pub port: Option<Arc<dyn HostPort>>,
    /// Calls to workers; `None` for HTTP.
    pub workers: Option<Arc<dyn WorkerPort>>,
    /// Intervals of the duties.
    pub timing: FleetTiming,
    /// Intervals of job holders.
    pub job_timing: JobTiming,
    /// How often and how soon jobs are tried again.
    pub job_policy: JobPolicy,
    /// Times and counts by which hosts are judged.
    pub limits: FleetLimits,
}

impl FleetOptions {
    /// Options with the usual intervals and limits, and hosts called over HTTP.
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

    /// Notes changes of the pool map in `audit`.
    #[must_use]
    pub fn with_audit(mut self, audit: Arc<dyn AuditSink>) -> Self {
        self.audit = Some(audit);
        self
    }

    /// Calls hosts through `port`.
    #[must_use]
    pub fn with_port(mut self, port: Arc<dyn HostPort>) -> Self {
        self.port = Some(port);
        self
    }

    /// Calls workers through `workers`.
    #[must_use]
    pub fn with_workers(mut self, workers: Arc<dyn WorkerPort>) -> Self {
        self.workers = Some(workers);
        self
    }

    /// Uses other intervals and another policy for jobs.
    #[must_use]
    pub fn with_jobs(mut self, timing: JobTiming, policy: JobPolicy) -> Self {
        self.job_timing = timing;
        self.job_policy = policy;
        self
    }

    /// Uses other intervals.
    #[must_use]
    pub fn with_timing(mut self, timing: FleetTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Uses other limits.
    #[must_use]
    pub fn with_limits(mut self, limits: FleetLimits) -> Self {
        self.limits = limits;
        self
    }
}

/// Pools, hosts and jobs of this entry host. Its threads end when it is dropped.
pub struct FleetService {
    shared: Arc<FleetShared>,
    job_service: Arc<JobService>,
}

impl FleetService {
    /// Starts the threads of the fleet.
    ///
    /// # Errors
    /// If a thread can't be started. A store or a host list that is down is no error.
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

    /// Stops all threads soon; what hosts run goes on.
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

/// Follows the pool map with one watch at a time, which the store counts as one call.
fn run_map_watch(shared: &Arc<FleetShared>) {
    let map_store = MapStore::new(Arc::clone(&shared.store), SHARD);
    while !shared.is_stopping() {
        let known = shared.snapshot.lock().clone();
        match map_store.watch(&known, shared.timing.watch_timeout) {
            Ok(Some(snapshot)) => shared.adopt(snapshot),
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
