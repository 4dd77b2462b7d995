use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use fleet::{HealthReport, HostPort};
use model::{HostId, HostRole, Incarnation, Manifest, MemberId, StepError, TeamId};
use parking_lot::Mutex;
use ports::{
    ActiveConfig, AuditRecord, AuditSink, ConfigSource, MemberInfo, MemberSource, QuotaPermit,
    QuotaSource,
};
use store::{HostEntry, HostList, HostListError};

/// Waits up to 30 seconds for `condition` and panics if it does not hold by then.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A fake host.
#[derive(Clone, Debug)]
pub struct FakeHost {
    pub entry: HostEntry,
    pub draining: bool,
    pub running: u32,
    pub down: bool,
    pub reboots: u32,
    /// Requests and tasks that a reboot interrupted; must stay zero.
    pub interrupted: u32,
    pub down_until: Option<Instant>,
    /// True if the host stays down after a reboot.
    pub never_returns: bool,
}

/// Fake hosts and their host list.
#[derive(Default)]
pub struct FakeFleet {
    pub hosts: Mutex<BTreeMap<HostId, FakeHost>>,
    pub list_down: AtomicBool,
    pub reboot_time: Duration,
}

impl FakeFleet {
    /// Adds `count` hosts, four to a rack.
    pub fn add(&self, prefix: &str, role: HostRole, service: &str, count: usize) {
        let mut hosts = self.hosts.lock();
        for index in 0..count {
            let host: HostId = format!("{prefix}-{index:02}").into();
            let entry = HostEntry {
                host: host.clone(),
                address: host.to_string(),
                role,
                service: service.into(),
                data_centre: "dc1".into(),
                rack: format!("{prefix}-r{}", index / 4).into(),
                cores: 16,
                memory_mb: 32 * 1024,
                accelerators: 0,
                leaving: false,
            };
            hosts.insert(host, FakeHost::new(entry));
        }
    }

    pub fn with_host<T>(&self, host: &str, f: impl FnOnce(&mut FakeHost) -> T) -> T {
        f(self.hosts.lock().get_mut(host).expect("host exists"))
    }

    fn answer<T>(&self, address: &str, f: impl FnOnce(&mut FakeHost) -> T) -> Result<T, StepError> {
        let mut hosts = self.hosts.lock();
        let Some(host) = hosts.get_mut(address) else {
            return Err(StepError::new("call", address, "no such host"));
        };
        if host.down_until.is_some_and(|until| Instant::now() >= until) {
            host.down_until = None;
            host.down = host.never_returns;
        }
        if host.down {
            return Err(StepError::new("call", address, "refused"));
        }
        Ok(f(host))
    }
}

impl FakeHost {
    fn new(entry: HostEntry) -> Self {
        Self {
            entry,
            draining: false,
            running: 0,
            down: false,
            reboots: 0,
            interrupted: 0,
            down_until: None,
            never_returns: false,
        }
    }
}

impl HostPort for FakeFleet {
    fn health(&self, address: &str) -> Result<HealthReport, StepError> {
        self.answer(address, |host| HealthReport {
            draining: host.draining,
            running: host.running,
        })
    }

    fn drain(&self, address: &str) -> Result<(), StepError> {
        self.answer(address, |host| host.draining = true)
    }

    fn undrain(&self, address: &str) -> Result<(), StepError> {
        self.answer(address, |host| host.draining = false)
    }

    fn reboot(&self, address: &str) -> Result<(), StepError> {
        let reboot_time = self.reboot_time;
        self.answer(address, |host| {
            host.reboots += 1;
            host.interrupted += host.running;
            host.running = 0;
            host.draining = false;
            host.down = true;
            host.down_until = Some(Instant::now() + reboot_time);
        })
    }
}

impl HostList for FakeFleet {
    fn hosts(&self) -> Result<Vec<HostEntry>, HostListError> {
        if self.list_down.load(Ordering::SeqCst) {
            return Err(HostListError("list is down".to_owned()));
        }
        let hosts = self.hosts.lock();
        Ok(hosts.values().map(|host| host.entry.clone()).collect())
    }
}

/// A configuration set by the test.
pub struct FixedConfig(pub Mutex<Arc<ActiveConfig>>);

impl FixedConfig {
    pub fn new(manifest: Manifest) -> Arc<Self> {
        let config = ActiveConfig {
            revision: 1,
            manifest,
            ..ActiveConfig::default()
        };
        Arc::new(Self(Mutex::new(Arc::new(config))))
    }

    pub fn change(&self, f: impl FnOnce(&mut Manifest)) {
        let mut held = self.0.lock();
        let mut config = ActiveConfig::clone(&held);
        config.revision += 1;
        f(&mut config.manifest);
        *held = Arc::new(config);
    }
}

impl ConfigSource for FixedConfig {
    fn current(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.0.lock())
    }
}

/// A member list set by the test, as seen by one member.
pub struct FixedMembers {
    pub own: MemberId,
    pub list: Arc<Mutex<Arc<Vec<MemberInfo>>>>,
}

impl FixedMembers {
    pub fn alone(own: &str) -> Arc<Self> {
        Self::with_others(own, &[])
    }

    /// A member that reaches all of `others`.
    pub fn with_others(own: &str, others: &[&str]) -> Arc<Self> {
        let names = others.iter().chain(std::iter::once(&own));
        let infos = names.map(|name| MemberInfo {
            member: (*name).into(),
            incarnation: 1,
            reachable: true,
            ..MemberInfo::default()
        });
        Arc::new(Self {
            own: own.into(),
            list: Arc::new(Mutex::new(Arc::new(infos.collect()))),
        })
    }

    /// Marks a member as unreachable.
    pub fn lose(&self, other: &str) {
        let mut list = self.list.lock();
        let mut infos = Vec::clone(&list);
        for info in infos.iter_mut().filter(|info| info.member == other) {
            info.reachable = false;
        }
        *list = Arc::new(infos);
    }
}

impl MemberSource for FixedMembers {
    fn own_id(&self) -> MemberId {
        self.own.clone()
    }

    fn own_incarnation(&self) -> Incarnation {
        1
    }

    fn members(&self) -> Arc<Vec<MemberInfo>> {
        Arc::clone(&self.list.lock())
    }
}

/// Collects the records of the audit trail.
#[derive(Default)]
pub struct AuditLog(pub Mutex<Vec<AuditRecord>>);

impl AuditSink for AuditLog {
    fn record(&self, record: AuditRecord) {
        self.0.lock().push(record);
    }
}

/// A quota without a limit.
pub struct FreeQuota;

impl QuotaSource for FreeQuota {
    fn try_take_for(&self, _team: &TeamId, _length: Duration) -> Option<QuotaPermit> {
        Some(QuotaPermit::new(|| {}))
    }

    fn report_waiting(&self, _team: &TeamId, _waiting: u32) {}
}
