use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use crossbeam_channel::bounded;
use entry::{EntryConfig, EntryServer, EntryTuning};
use model::{Manifest, PoolSpec, ServeSettings, ServiceSpec, TeamSpec};
use ports::{ActiveConfig, MemberInfo, TargetHost};
use sha2::{Digest, Sha256};
use store::{BootClock, Clock};
use wire::state::KeyRecord;

use super::{
    http_call::Caller,
    port_stubs::{
        ClaimLink, ConfigStub, GateStub, JobStub, LinkMesh, MemberStub, QuotaStub, SlotStub,
        TargetStub,
    },
    raw_target::RawTarget,
};

pub const SERVICE: &str = "quotes";
pub const TEAM: &str = "panels";
pub const OTHER_TEAM: &str = "planners";
pub const KEY: &str = "k1.secret-one";
pub const OTHER_KEY: &str = "k2.secret-two";
const POOL: &str = "quoting";

/// Settings of an entry server under test.
pub struct FixtureSetup {
    pub settings: ServeSettings,
    pub tuning: EntryTuning,
    pub slots: u32,
    pub members: Vec<(&'static str, u64)>,
    pub own: usize,
    pub mesh: Arc<LinkMesh>,
    pub pool: PoolSpec,
    pub clock: Arc<dyn Clock>,
}

impl Default for FixtureSetup {
    fn default() -> Self {
        Self {
            settings: ServeSettings::default(),
            tuning: EntryTuning::default(),
            slots: 8,
            members: vec![("e1", 1)],
            own: 0,
            mesh: Arc::default(),
            pool: PoolSpec::default(),
            clock: Arc::new(BootClock),
        }
    }
}

/// An entry server whose dependencies are stubs.
pub struct EntryFixture {
    pub server: EntryServer,
    pub config: Arc<ConfigStub>,
    pub gate: Arc<GateStub>,
    pub quotas: Arc<QuotaStub>,
    pub targets: Arc<TargetStub>,
    pub slots: Arc<SlotStub>,
    pub jobs: Arc<JobStub>,
    pub members: Arc<MemberStub>,
}

impl EntryFixture {
    pub fn start(targets: &[&RawTarget]) -> Self {
        Self::start_with(targets, FixtureSetup::default())
    }

    pub fn start_with(targets: &[&RawTarget], setup: FixtureSetup) -> Self {
        let addresses: Vec<String> = targets
            .iter()
            .map(|target| target.address.to_string())
            .collect();
        Self::start_at(&addresses, setup)
    }

    /// Starts with targets at the given addresses.
    pub fn start_at(addresses: &[String], setup: FixtureSetup) -> Self {
        let hosts: Vec<TargetHost> = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| TargetHost {
                host: format!("t{index}").into(),
                address: address.clone(),
                pool: POOL.into(),
                ..TargetHost::default()
            })
            .collect();
        let slots = SlotStub::default();
        for host in &hosts {
            slots.slots.lock().insert(host.host.clone(), setup.slots);
        }
        slots.renew(POOL);
        let (own, incarnation) = setup.members[setup.own];
        let list = setup
            .members
            .iter()
            .map(|(member, incarnation)| MemberInfo {
                member: (*member).into(),
                incarnation: *incarnation,
                reachable: true,
                ..MemberInfo::default()
            });
        let members = MemberStub {
            own: own.into(),
            incarnation,
            list: ArcSwap::from_pointee(list.collect()),
        };
        let (inbox, inbound) = bounded(1024);
        setup.mesh.inboxes.lock().insert(own.into(), inbox);
        let config = ConfigStub(ArcSwap::from_pointee(active_config(setup.pool)));
        let fixture = EntryParts {
            config: Arc::new(config),
            gate: Arc::default(),
            quotas: Arc::default(),
            targets: Arc::new(TargetStub(ArcSwap::from_pointee(hosts))),
            slots: Arc::new(slots),
            jobs: Arc::default(),
            members: Arc::new(members),
        };
        let link = ClaimLink {
            mesh: setup.mesh,
            own: own.into(),
            incarnation,
        };
        let server = EntryServer::start(EntryConfig {
            settings: setup.settings,
            tuning: setup.tuning,
            config: fixture.config.clone(),
            gate: fixture.gate.clone(),
            quotas: fixture.quotas.clone(),
            targets: fixture.targets.clone(),
            slots: fixture.slots.clone(),
            members: fixture.members.clone(),
            jobs: fixture.jobs.clone(),
            link: Arc::new(link),
            inbound,
            clock: setup.clock,
        });
        fixture.with_server(server.unwrap())
    }

    pub fn caller(&self) -> Caller {
        Caller::new(self.server.caller_address())
    }

    /// Changes the active configuration.
    pub fn change(&self, edit: impl FnOnce(&mut ActiveConfig)) {
        let mut config = self.config.0.load().as_ref().clone();
        edit(&mut config);
        self.config.0.store(Arc::new(config));
    }

    /// Publishes the slot lease with the current slots.
    pub fn renew_slots(&self) {
        self.slots.renew(POOL);
    }
}

struct EntryParts {
    config: Arc<ConfigStub>,
    gate: Arc<GateStub>,
    quotas: Arc<QuotaStub>,
    targets: Arc<TargetStub>,
    slots: Arc<SlotStub>,
    jobs: Arc<JobStub>,
    members: Arc<MemberStub>,
}

impl EntryParts {
    fn with_server(self, server: EntryServer) -> EntryFixture {
        EntryFixture {
            server,
            config: self.config,
            gate: self.gate,
            quotas: self.quotas,
            targets: self.targets,
            slots: self.slots,
            jobs: self.jobs,
            members: self.members,
        }
    }
}

fn active_config(pool: PoolSpec) -> ActiveConfig {
    let mut manifest = Manifest::default();
    manifest.pools.insert(POOL.into(), pool);
    manifest.services.insert(
        SERVICE.into(),
        ServiceSpec {
            pool: POOL.into(),
            worker_pool: "workers".into(),
        },
    );
    manifest.teams.insert(TEAM.into(), TeamSpec::default());
    manifest
        .teams
        .insert(OTHER_TEAM.into(), TeamSpec::default());
    let mut config = ActiveConfig {
        manifest,
        ..ActiveConfig::default()
    };
    for record in [
        key_record("k1", "secret-one", TEAM, Duration::ZERO),
        key_record("k2", "secret-two", OTHER_TEAM, Duration::ZERO),
        key_record("old", "secret-old", TEAM, Duration::from_secs(1)),
        KeyRecord {
            admin: true,
            ..key_record("root", "secret-root", "", Duration::ZERO)
        },
    ] {
        config.keys.insert(record.key_id.as_str().into(), record);
    }
    config
}

pub fn key_record(key: &str, secret: &str, team: &str, expires: Duration) -> KeyRecord {
    let salt = b"salt".to_vec();
    let mut hasher = Sha256::new();
    hasher.update(&salt);
    hasher.update(secret);
    KeyRecord {
        key_id: key.to_owned(),
        team: team.to_owned(),
        salt,
        digest: hasher.finalize().to_vec(),
        granted_unix_ms: u64::try_from(BootClock.unix_now().as_millis()).unwrap(),
        expires_unix_ms: u64::try_from(expires.as_millis()).unwrap(),
        ..KeyRecord::default()
    }
}
