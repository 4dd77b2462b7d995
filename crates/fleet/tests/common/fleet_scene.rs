use std::{sync::Arc, time::Duration};

use decide::{
    budget::{FleetMap, HostPhase},
    wave::FleetLimits,
};
use fleet::{FleetOptions, FleetService, FleetTiming};
use model::{HostRole, Manifest, PoolSpec, ServiceSpec, WindowSpec};
use parking_lot::Mutex;
use ports::{TargetSource, TargetState};
use prost::Message;
use store::BootClock;
use wire::fleet::FleetRecord;

use super::{AuditLog, FakeFleet, FixedConfig, FixedMembers, FreeQuota, MemoryStore};

const DAY: Duration = Duration::from_secs(24 * 3600);

/// A manifest with one pool of eight executors and a budget of five, maintained in `window`.
pub fn window_manifest(window: &str) -> Manifest {
    let mut manifest = Manifest::default();
    let pool = PoolSpec {
        size: 8,
        budget: 5,
        window: window.to_owned(),
        ..PoolSpec::default()
    };
    manifest.pools.insert("quotes".into(), pool);
    let service = ServiceSpec {
        pool: "quotes".into(),
        ..ServiceSpec::default()
    };
    manifest.services.insert("quote".into(), service);
    let window = WindowSpec {
        start: Duration::ZERO,
        length: DAY,
        every: Duration::from_millis(1),
        at_once: 2,
    };
    manifest.windows.insert("always".to_owned(), window);
    manifest
}

fn timing() -> FleetTiming {
    FleetTiming {
        list_interval: Duration::from_millis(50),
        watch_timeout: Duration::from_millis(500),
        round_interval: Duration::from_millis(20),
        takeover: Duration::from_millis(50),
        ..FleetTiming::default()
    }
}

pub fn short_limits() -> FleetLimits {
    FleetLimits {
        settle_time: Duration::from_millis(200),
        ..FleetLimits::default()
    }
}

pub fn eight_hosts() -> FakeFleet {
    let fleet = FakeFleet {
        reboot_time: Duration::from_millis(50),
        ..FakeFleet::default()
    };
    fleet.add("q", HostRole::Executor, "quote", 8);
    fleet
}

/// Dependencies of one or more entry hosts in this process.
pub struct FleetScene {
    pub store: Arc<MemoryStore>,
    pub fleet: Arc<FakeFleet>,
    pub config: Arc<FixedConfig>,
    pub audit_log: Arc<AuditLog>,
    pub limits: FleetLimits,
    /// The services started so far.
    pub services: Mutex<Vec<Arc<FleetService>>>,
}

impl FleetScene {
    /// Starts a scene with one entry host.
    pub fn start(manifest: Manifest, fleet: FakeFleet) -> Self {
        Self::with_limits(manifest, fleet, short_limits())
    }

    pub fn with_limits(manifest: Manifest, fleet: FakeFleet, limits: FleetLimits) -> Self {
        let scene = Self {
            store: Arc::default(),
            fleet: Arc::new(fleet),
            config: FixedConfig::new(manifest),
            audit_log: Arc::default(),
            limits,
            services: Mutex::default(),
        };
        scene.add_member("e1");
        scene
    }

    /// Starts another entry host, whose member list has only itself, so that it also plans.
    pub fn add_member(&self, member: &str) -> Arc<FleetService> {
        let options = FleetOptions::new(
            self.store.clone(),
            self.fleet.clone(),
            self.config.clone(),
            FixedMembers::alone(member),
            Arc::new(BootClock),
            Arc::new(FreeQuota),
        )
        .with_audit(self.audit_log.clone())
        .with_port(self.fleet.clone())
        .with_timing(timing())
        .with_limits(self.limits);
        let service = FleetService::start(options).expect("threads start");
        self.services.lock().push(Arc::clone(&service));
        service
    }

    /// Stops the entry host that was started first.
    pub fn stop_first(&self) {
        let service = self.services.lock().remove(0);
        service.stop();
    }

    /// Opens the window for the pool.
    pub fn open_window(&self) {
        self.set_window("always");
    }

    pub fn set_window(&self, window: &str) {
        self.config.change(|manifest| {
            let pool = manifest.pools.get_mut("quotes").expect("pool exists");
            pool.window = window.to_owned();
        });
    }

    /// Number of serving targets of the entry host that was started last.
    pub fn serving(&self) -> usize {
        let service = self.services.lock().last().cloned().expect("a service");
        let targets = service.service_targets(&"quote".into());
        let serving = targets.iter().filter(|t| t.state == TargetState::Serving);
        serving.count()
    }

    /// Every pool map that the store has held, in order.
    pub fn maps(&self) -> Vec<FleetMap> {
        let mut map = FleetMap::default();
        let heads = self.store.history("fleet/0");
        let heads = heads.iter().filter(|(key, _)| key == "fleet/0");
        heads
            .map(|(_, value)| {
                let head = FleetRecord::decode(value.as_slice()).expect("a record");
                map.catch_up(&head).expect("no gap in the history");
                map.clone()
            })
            .collect()
    }

    /// The current pool map in the store.
    pub fn map(&self) -> FleetMap {
        self.maps().pop().unwrap_or_default()
    }

    /// Checks the budget on every map since the pool was first complete.
    pub fn assert_budget(&self, budget: usize) {
        for map in self.maps().iter().skip_while(|map| serving_hosts(map) < 8) {
            let serving = serving_hosts(map);
            assert!(serving >= budget, "{serving} at revision {}", map.revision);
        }
    }

    /// Finishes one unit of work on each draining host.
    pub fn finish_work(&self) {
        let mut hosts = self.fleet.hosts.lock();
        for host in hosts.values_mut().filter(|host| host.draining) {
            host.running = host.running.saturating_sub(1);
        }
    }

    pub fn all_rebooted(&self) -> bool {
        let hosts = self.fleet.hosts.lock();
        hosts.values().all(|host| host.reboots > 0)
    }

    pub fn no_work_interrupted(&self) -> bool {
        self.fleet
            .hosts
            .lock()
            .values()
            .all(|host| host.interrupted == 0)
    }
}

impl Drop for FleetScene {
    fn drop(&mut self) {
        for service in self.services.lock().iter() {
            service.stop();
        }
    }
}

/// Number of serving hosts in a map.
pub fn serving_hosts(map: &FleetMap) -> usize {
    let hosts = map.hosts.values();
    hosts
        .filter(|host| host.phase == HostPhase::Serving)
        .count()
}
