//! Drains and maintenance of a small fleet in one process, with stand-ins for store,
//! host list and hosts.
#![allow(clippy::expect_used)]

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{FakeFleet, FixedConfig, FixedMembers, FreeQuota, MemoryStore, wait_for};
use decide::{
    budget::{FleetMap, HostPhase},
    wave::FleetLimits,
};
use fleet::{FleetOptions, FleetService, FleetTiming};
use model::{HostRole, Manifest, PoolSpec, ServiceSpec, WindowSpec};
use platform::BootClock;
use ports::{StatusSource, TargetSource, TargetState};
use prost::Message;
use wire::fleet::FleetRecord;

const DAY: Duration = Duration::from_secs(24 * 3600);

fn manifest(window: &str) -> Manifest {
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
        watch_patience: Duration::from_millis(500),
        round_interval: Duration::from_millis(20),
        takeover: Duration::from_millis(50),
        ..FleetTiming::default()
    }
}

fn limits() -> FleetLimits {
    FleetLimits {
        settle: Duration::from_millis(200),
        ..FleetLimits::default()
    }
}

struct Scene {
    store: Arc<MemoryStore>,
    fleet: Arc<FakeFleet>,
    config: Arc<FixedConfig>,
    service: Arc<FleetService>,
}

impl Scene {
    fn start(manifest: Manifest, fleet: FakeFleet) -> Self {
        Self::with_limits(manifest, fleet, limits())
    }

    fn with_limits(manifest: Manifest, fleet: FakeFleet, limits: FleetLimits) -> Self {
        let store = Arc::new(MemoryStore::default());
        let fleet = Arc::new(fleet);
        let config = FixedConfig::new(manifest);
        let service = start_member(&store, &fleet, &config, limits);
        Self {
            store,
            fleet,
            config,
            service,
        }
    }

    fn serving(&self) -> usize {
        let targets = self.service.service_targets(&"quote".into());
        let serving = targets.iter().filter(|t| t.state == TargetState::Serving);
        serving.count()
    }

    /// Every map that the store ever held.
    fn maps(&self) -> Vec<FleetMap> {
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
}

fn start_member(
    store: &Arc<MemoryStore>,
    fleet: &Arc<FakeFleet>,
    config: &Arc<FixedConfig>,
    limits: FleetLimits,
) -> Arc<FleetService> {
    let options = FleetOptions::new(
        store.clone(),
        fleet.clone(),
        config.clone(),
        FixedMembers::alone("e1"),
        Arc::new(BootClock),
        Arc::new(FreeQuota),
    )
    .with_port(fleet.clone())
    .with_timing(timing())
    .with_limits(limits);
    FleetService::start(options).expect("threads start")
}

fn eight_hosts() -> FakeFleet {
    let fleet = FakeFleet {
        reboot_time: Duration::from_millis(50),
        ..FakeFleet::default()
    };
    fleet.add("q", HostRole::Executor, "quote", 8);
    fleet
}

#[test]
fn join_hosts_become_targets() {
    let scene = Scene::start(manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    assert_eq!(scene.service.hosts().len(), 8);
}

#[test]
fn wave_every_host_reboots_once_within_budget() {
    // Operators open a window; each host is rebooted while callers keep getting answers.
    // Hosts run work when they are told to drain, and a reboot before that ended would
    // cut it off.
    let scene = Scene::start(manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    for host in scene.fleet.hosts.lock().values_mut() {
        host.running = 2;
    }
    scene.config.change(|manifest| {
        let pool = manifest.pools.get_mut("quotes").expect("pool");
        pool.window = "always".to_owned();
    });
    let all_rebooted = || {
        let mut hosts = scene.fleet.hosts.lock();
        for host in hosts.values_mut().filter(|host| host.draining) {
            host.running = host.running.saturating_sub(1);
        }
        hosts.values().all(|host| host.reboots > 0)
    };
    wait_for("all rebooted", all_rebooted);
    assert!(scene.fleet.hosts.lock().values().all(|host| host.cut == 0));
    for map in scene.maps().iter().skip_while(|map| count(map) < 8) {
        assert!(count(map) >= 5, "revision {} below budget", map.revision);
    }
}

#[test]
fn leaving_host_gets_no_new_work() {
    // The platform takes a host away. Its callers must not see it as a target any more,
    // even if the store is down and nothing can be written about it.
    let scene = Scene::start(manifest(""), eight_hosts());
    wait_for("eight targets", || scene.serving() == 8);
    scene.store.down.store(true, Ordering::SeqCst);
    scene
        .fleet
        .with_host("q-03", |host| host.entry.leaving = true);
    wait_for("seven targets", || scene.serving() == 7);
}

fn count(map: &FleetMap) -> usize {
    let serving = map.hosts.values();
    serving
        .filter(|host| host.phase == HostPhase::Serving)
        .count()
}
