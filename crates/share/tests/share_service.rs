//! Tests of the share services of several entry hosts, connected in memory.

#![allow(clippy::expect_used)]

use std::{
    collections::HashMap,
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crossbeam_channel::{Sender, bounded};
use model::{HostRole, Incarnation, MemberId, PoolId, PoolSpec, ServiceId, TeamSpec};
use parking_lot::Mutex;
use ports::{
    ActiveConfig, ConfigSource, InboundMessage, LinkError, MemberInfo, MemberSource, PeerLink,
    PoolDemand, SlotSource, TargetHost, TargetSource, TargetState, TeamDemand,
};
use share::{ShareOptions, ShareService, ShareTimes};
use store::{BootClock, Clock};
use wire::peer::envelope::Body;

const WAIT_LIMIT: Duration = Duration::from_secs(20);
const POOLS: [&str; 4] = ["p0", "p1", "p2", "p3"];
const TARGETS: usize = 3;
const SLOTS: u32 = 8;

type Mailboxes = Arc<Mutex<HashMap<MemberId, Sender<InboundMessage>>>>;

struct MemoryLink {
    own: MemberId,
    mailboxes: Mailboxes,
    cut: Arc<AtomicBool>,
}

impl PeerLink for MemoryLink {
    fn send(&self, to: &MemberId, body: Body) -> Result<(), LinkError> {
        let mailboxes = self.mailboxes.lock();
        let sender = mailboxes
            .get(to)
            .ok_or_else(|| LinkError::NoLink(to.clone()))?;
        if self.cut.load(Ordering::SeqCst) {
            return Ok(());
        }
        let message = InboundMessage {
            from: self.own.clone(),
            incarnation: 1,
            body,
        };
        sender
            .try_send(message)
            .map_err(|_| LinkError::Full(to.clone()))
    }

    fn peers(&self) -> Vec<MemberId> {
        self.mailboxes
            .lock()
            .keys()
            .filter(|id| **id != self.own)
            .cloned()
            .collect()
    }
}

struct FixedMembers {
    own: MemberId,
    list: Arc<Mutex<Arc<Vec<MemberInfo>>>>,
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

struct FixedConfig(Arc<ActiveConfig>);

impl ConfigSource for FixedConfig {
    fn current(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.0)
    }
}

struct FixedTargets;

impl TargetSource for FixedTargets {
    fn pool_targets(&self, pool: &PoolId) -> Arc<Vec<TargetHost>> {
        let target = |index: usize| TargetHost {
            host: format!("{pool}-x{index}").into(),
            pool: pool.clone(),
            state: TargetState::Serving,
            ..TargetHost::default()
        };
        Arc::new((0..TARGETS).map(target).collect())
    }

    fn service_targets(&self, service: &ServiceId) -> Arc<Vec<TargetHost>> {
        self.pool_targets(service)
    }
}

struct Fleet {
    services: Vec<Arc<ShareService>>,
    list: Arc<Mutex<Arc<Vec<MemberInfo>>>>,
    cuts: Vec<Arc<AtomicBool>>,
}

fn member_info(index: usize) -> MemberInfo {
    MemberInfo {
        member: format!("e{index}").into(),
        incarnation: 1,
        reachable: true,
        ..MemberInfo::default()
    }
}

fn start_fleet(count: usize) -> Fleet {
    let mut config = ActiveConfig::default();
    for pool in POOLS {
        let spec = PoolSpec {
            role: HostRole::Executor,
            slots: SLOTS,
            ..PoolSpec::default()
        };
        config.manifest.pools.insert(pool.into(), spec);
    }
    config
        .manifest
        .teams
        .insert("t".into(), TeamSpec::default());
    let config = Arc::new(config);
    let list = Arc::new(Mutex::new(Arc::new(
        (0..count).map(member_info).collect::<Vec<_>>(),
    )));
    let mailboxes: Mailboxes = Arc::default();
    let mut services = Vec::new();
    let mut cuts = Vec::new();
    for index in 0..count {
        let own = member_info(index).member;
        let (sender, inbound) = bounded(256);
        mailboxes.lock().insert(own.clone(), sender);
        let cut = Arc::new(AtomicBool::new(false));
        cuts.push(Arc::clone(&cut));
        let service = ShareService::start(ShareOptions {
            link: Arc::new(MemoryLink {
                own: own.clone(),
                mailboxes: Arc::clone(&mailboxes),
                cut,
            }),
            inbound,
            members: Arc::new(FixedMembers {
                own,
                list: Arc::clone(&list),
            }),
            config: Arc::new(FixedConfig(Arc::clone(&config))),
            targets: Arc::new(FixedTargets),
            clock: Arc::new(BootClock),
            times: ShareTimes::default(),
        });
        services.push(service.expect("start"));
    }
    Fleet {
        services,
        list,
        cuts,
    }
}

impl Fleet {
    fn slots(&self, index: usize, pool: &str) -> u32 {
        let lease = self.services[index].lease(&pool.into());
        if lease.expires <= BootClock.boot_now() {
            return 0;
        }
        lease.targets.iter().map(|target| target.slots).sum()
    }

    fn demand(&self, index: usize, pool: &str, queued: u32) {
        let team = TeamDemand {
            team: "t".into(),
            queued,
            ..TeamDemand::default()
        };
        let demand = PoolDemand {
            pool: pool.into(),
            teams: vec![team],
            ..PoolDemand::default()
        };
        self.services[index].report(demand);
    }

    fn wait(&self, what: &str, mut done: impl FnMut(&Self) -> bool) {
        let start = Instant::now();
        while !done(self) {
            assert!(start.elapsed() < WAIT_LIMIT, "timed out: {what}");
            thread::sleep(Duration::from_millis(5));
        }
        println!("{what}: {:?}", start.elapsed());
    }
}

#[test]
fn lease_covers_idle_pools() {
    let fleet = start_fleet(3);
    for pool in POOLS {
        fleet.wait("all slots leased", |fleet| {
            (0..3).map(|index| fleet.slots(index, pool)).sum::<u32>() == SLOTS * TARGETS as u32
        });
    }
}

#[test]
fn lease_follows_demand() {
    let fleet = start_fleet(3);
    fleet.wait("leased", |fleet| 0 < fleet.slots(1, "p0"));
    fleet.demand(1, "p0", 100);
    fleet.wait("all slots at one host", |fleet| {
        fleet.slots(1, "p0") == SLOTS * TARGETS as u32
    });
}

// An entry host that holds half of a pool is killed and removed from the member list. Its slots
// must be reassigned after lease and guard, and not before its own lease has expired; otherwise
// requests would wait forever or slots would be used twice.
#[test]
fn lease_returns_from_dead_host() {
    let fleet = start_fleet(2);
    fleet.wait("leased", |fleet| {
        0 < fleet.slots(0, "p0") && 0 < fleet.slots(1, "p0")
    });
    fleet.cuts[0].store(true, Ordering::SeqCst);
    *fleet.list.lock() = Arc::new(vec![member_info(1)]);
    fleet.demand(1, "p0", 100);
    fleet.wait("all slots at the remaining host", |fleet| {
        let total = fleet.slots(0, "p0") + fleet.slots(1, "p0");
        assert!(total <= SLOTS * TARGETS as u32, "{total} slots leased");
        fleet.slots(1, "p0") == SLOTS * TARGETS as u32
    });
}
