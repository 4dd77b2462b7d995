use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use crossbeam_channel::Sender;
use model::{HostId, JobId, MemberId, PoolId, ServiceId, TeamId};
use parking_lot::Mutex;
use ports::{
    ActiveConfig, ConfigSource, InboundMessage, JobError, JobRequest, JobSink, JobView, LinkError,
    MemberInfo, MemberSource, NotServing, PeerLink, PoolDemand, QuotaPermit, QuotaSource,
    ServingGate, SlotLease, SlotSource, TargetHost, TargetSlots, TargetSource, TargetState,
    TeamUse,
};
use store::{BootClock, Clock};
use wire::peer::envelope::Body;

pub struct ConfigStub(pub ArcSwap<ActiveConfig>);

impl ConfigSource for ConfigStub {
    fn current(&self) -> Arc<ActiveConfig> {
        self.0.load_full()
    }
}

/// A gate with a settable state that runs a hook on each check.
#[derive(Default)]
pub struct GateStub(pub Mutex<Option<NotServing>>, pub Mutex<Option<GateHook>>);

pub type GateHook = Box<dyn FnMut() + Send>;

/// The system clock plus an offset, as after a pause of the process.
#[derive(Default)]
pub struct JumpClock(pub Mutex<Duration>);

impl Clock for JumpClock {
    fn boot_now(&self) -> Duration {
        BootClock.boot_now() + *self.0.lock()
    }
    fn unix_now(&self) -> Duration {
        BootClock.unix_now() + *self.0.lock()
    }
}

/// A clock that advances by explicit steps and, in between, at a fraction of real time.
/// Waiting for a CPU on a busy machine hardly moves it.
pub struct StepClock {
    started: Duration,
    steps: Mutex<Duration>,
}

/// How many times slower than the system clock it advances by itself.
const STEP_CLOCK_SLOWNESS: u32 = 20;

impl Default for StepClock {
    fn default() -> Self {
        Self {
            started: BootClock.boot_now(),
            steps: Mutex::default(),
        }
    }
}

impl StepClock {
    /// Advances the clock.
    pub fn step(&self, time: Duration) {
        *self.steps.lock() += time;
    }
}

impl Clock for StepClock {
    fn boot_now(&self) -> Duration {
        let passed = BootClock.boot_now().saturating_sub(self.started) / STEP_CLOCK_SLOWNESS;
        self.started + passed + *self.steps.lock()
    }
    fn unix_now(&self) -> Duration {
        BootClock.unix_now()
    }
}

impl ServingGate for GateStub {
    fn check(&self) -> Result<(), NotServing> {
        if let Some(hook) = self.1.lock().as_mut() {
            hook();
        }
        match self.0.lock().clone() {
            None => Ok(()),
            Some(cause) => Err(cause),
        }
    }
    fn leave(&self) {
        *self.0.lock() = Some(NotServing::Leaving);
    }
}

/// Counts the units in use and refuses those above the limit.
#[derive(Default)]
pub struct QuotaStub {
    pub limits: Mutex<HashMap<TeamId, u32>>,
    pub used: Arc<Mutex<HashMap<TeamId, u32>>>,
    pub most_used: Mutex<HashMap<TeamId, u32>>,
    pub waiting: Mutex<HashMap<TeamId, u32>>,
}

impl QuotaStub {
    pub fn used_by(&self, team: &str) -> u32 {
        self.used.lock().get(team).copied().unwrap_or_default()
    }
}

impl QuotaSource for QuotaStub {
    fn try_take_for(&self, team: &TeamId, _length: Duration) -> Option<QuotaPermit> {
        let limit = self.limits.lock().get(team).copied().unwrap_or(u32::MAX);
        let mut used = self.used.lock();
        let mine = used.entry(team.clone()).or_default();
        if *mine >= limit {
            return None;
        }
        *mine += 1;
        let mut most = self.most_used.lock();
        let peak = most.entry(team.clone()).or_default();
        *peak = (*peak).max(*mine);
        let used = Arc::clone(&self.used);
        let team = team.clone();
        Some(QuotaPermit::new(move || {
            if let Some(mine) = used.lock().get_mut(&team) {
                *mine -= 1;
            }
        }))
    }

    fn report_waiting(&self, team: &TeamId, waiting: u32) {
        self.waiting.lock().insert(team.clone(), waiting);
    }
}

#[derive(Default)]
pub struct TargetStub(pub ArcSwap<Vec<TargetHost>>);

impl TargetStub {
    pub fn set_state(&self, host: &str, state: TargetState) {
        let mut targets = self.0.load().as_ref().clone();
        for target in targets.iter_mut().filter(|target| target.host == host) {
            target.state = state;
        }
        self.0.store(Arc::new(targets));
    }
}

impl TargetSource for TargetStub {
    fn pool_targets(&self, _pool: &PoolId) -> Arc<Vec<TargetHost>> {
        self.0.load_full()
    }
    fn service_targets(&self, _service: &ServiceId) -> Arc<Vec<TargetHost>> {
        self.0.load_full()
    }
}

/// Leases that never expire.
#[derive(Default)]
pub struct SlotStub {
    pub slots: Mutex<BTreeMap<HostId, u32>>,
    pub teams: Mutex<Vec<TeamUse>>,
    pub reports: Mutex<Vec<PoolDemand>>,
    lease: ArcSwap<SlotLease>,
}

impl SlotStub {
    /// Publishes a lease with the current slots.
    pub fn renew(&self, pool: &str) {
        let targets = self
            .slots
            .lock()
            .iter()
            .map(|(host, slots)| TargetSlots {
                host: host.clone(),
                slots: *slots,
            })
            .collect();
        self.lease.store(Arc::new(SlotLease {
            pool: pool.into(),
            expires: BootClock.boot_now() + Duration::from_secs(3600),
            targets,
            teams: self.teams.lock().clone(),
        }));
    }
}

impl SlotSource for SlotStub {
    fn lease(&self, _pool: &PoolId) -> Arc<SlotLease> {
        self.lease.load_full()
    }
    fn report(&self, demand: PoolDemand) {
        self.reports.lock().push(demand);
    }
}

pub struct MemberStub {
    pub own: MemberId,
    pub incarnation: u64,
    pub list: ArcSwap<Vec<MemberInfo>>,
}

impl MemberSource for MemberStub {
    fn own_id(&self) -> MemberId {
        self.own.clone()
    }
    fn own_incarnation(&self) -> u64 {
        self.incarnation
    }
    fn members(&self) -> Arc<Vec<MemberInfo>> {
        self.list.load_full()
    }
}

/// Delivers messages between the entry servers of a test.
#[derive(Default)]
pub struct LinkMesh {
    pub inboxes: Mutex<HashMap<MemberId, Sender<InboundMessage>>>,
    /// Number of messages still to be dropped.
    pub messages_to_drop: AtomicU32,
    /// Number of replies to claims still to be dropped.
    pub replies_to_drop: AtomicU32,
    pub sent: AtomicU64,
}

pub struct ClaimLink {
    pub mesh: Arc<LinkMesh>,
    pub own: MemberId,
    pub incarnation: u64,
}

impl PeerLink for ClaimLink {
    fn send(&self, to: &MemberId, body: Body) -> Result<(), LinkError> {
        self.mesh.sent.fetch_add(1, Ordering::AcqRel);
        let is_reply = matches!(body, Body::ClaimReply(_));
        if count_down(&self.mesh.messages_to_drop)
            || (is_reply && count_down(&self.mesh.replies_to_drop))
        {
            return Ok(());
        }
        let inboxes = self.mesh.inboxes.lock();
        let Some(inbox) = inboxes.get(to) else {
            return Err(LinkError::NoLink(to.clone()));
        };
        let message = InboundMessage {
            from: self.own.clone(),
            incarnation: self.incarnation,
            body,
        };
        inbox
            .try_send(message)
            .map_err(|_| LinkError::Full(to.clone()))
    }
    fn peers(&self) -> Vec<MemberId> {
        Vec::new()
    }
}

fn count_down(left: &AtomicU32) -> bool {
    left.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
        left.checked_sub(1)
    })
    .is_ok()
}

/// Records jobs, or returns the configured error.
#[derive(Default)]
pub struct JobStub {
    pub jobs: Mutex<Vec<JobRequest>>,
    pub fail: Mutex<Option<JobError>>,
}

impl JobStub {
    fn find(&self, team: &TeamId, job: &JobId, phase: &str) -> Result<JobView, JobError> {
        if let Some(cause) = self.fail.lock().clone() {
            return Err(cause);
        }
        let jobs = self.jobs.lock();
        let found = jobs
            .iter()
            .find(|known| known.team == *team && *job == format!("job-{}", known.request));
        let Some(found) = found else {
            return Err(JobError::NotFound);
        };
        Ok(JobView {
            job: job.clone(),
            team: found.team.clone(),
            phase: phase.to_owned(),
            ..JobView::default()
        })
    }
}

impl JobSink for JobStub {
    fn submit(&self, request: JobRequest) -> Result<JobView, JobError> {
        if let Some(cause) = self.fail.lock().clone() {
            return Err(cause);
        }
        let job = JobId::from(format!("job-{}", request.request));
        let team = request.team.clone();
        self.jobs.lock().push(request);
        self.find(&team, &job, "queued")
    }
    fn view(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError> {
        self.find(team, job, "queued")
    }
    fn cancel(&self, team: &TeamId, job: &JobId) -> Result<JobView, JobError> {
        self.find(team, job, "cancelled")
    }
}
