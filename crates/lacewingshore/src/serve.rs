//! Wires and runs one entry host.
//!
//! [`run`] starts the services in the order of their dependencies, waits for a signal and
//! shuts them down, callers first. Every arrow of `ARCHITECTURE.md` inside a process is a trait
//! object passed here.

use std::{
    net::TcpListener,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use admin::{AdminConfig, AdminServer, AuditKeeper};
use anyhow::{Context, Result};
use entry::{EntryConfig, EntryServer, EntryTuning};
use fleet::{FleetOptions, FleetService};
use member::{MemberOptions, MemberService, claim_incarnation};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use model::{Incarnation, ServeSettings, event as log_event};
use peer::{BodyKind, PeerNode};
use ports::ServingGate as _;
use share::{ShareOptions, ShareService, ShareTimes};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use store::{BootClock, Clock, HttpHostList, HttpStore, KeyStore, RetryStore};

use crate::catalogue::event;

// Pause between two attempts to reach the store at startup.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(500);
// Interval between log lines while the startup waits for the store.
const START_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Runs an entry host until SIGTERM or SIGINT, and shuts it down gracefully.
pub fn run(settings: ServeSettings) -> Result<()> {
    let metrics = install_metrics()?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("register signals")?;
    let host = EntryHost::start(settings, metrics)?;
    host.print_ready_line();
    let signal = signals.forever().next();
    log_event::info(
        &event::PROCESS_STOPPING,
        format_args!("signal={}", signal.unwrap_or_default()),
    );
    host.stop();
    Ok(())
}

struct EntryHost {
    settings: ServeSettings,
    node: Arc<PeerNode>,
    members: Arc<MemberService>,
    shares: Arc<ShareService>,
    fleet: Arc<FleetService>,
    entry: Arc<EntryServer>,
    audit: Arc<AuditKeeper>,
    admin: AdminServer,
}

impl EntryHost {
    fn start(mut settings: ServeSettings, metrics: PrometheusHandle) -> Result<Self> {
        settings.caller_address = with_chosen_port(&settings.caller_address)?;
        let clock: Arc<dyn Clock> = Arc::new(BootClock);
        let client = HttpStore::new(&settings.store_url, settings.store_timeout);
        let store: Arc<dyn KeyStore> =
            Arc::new(RetryStore::new(Arc::new(client), Arc::clone(&clock)));
        let incarnation = wait_for_incarnation(store.as_ref());
        let node = Arc::new(PeerNode::start(
            settings.member.clone(),
            incarnation,
            &settings.peer_address,
            settings.peers.clone(),
        )?);
        let audit = Arc::new(AuditKeeper::start(
            Arc::clone(&store),
            Arc::clone(&clock),
            settings.member.clone(),
            incarnation,
        )?);
        let members = MemberService::start(MemberOptions {
            settings: settings.clone(),
            caller_address: settings.caller_address.clone(),
            node: Arc::clone(&node),
            store: Arc::clone(&store),
            clock: Arc::clone(&clock),
            audit: Some(audit.clone()),
        })?;
        let hosts = HttpHostList::new(&settings.host_list_url, settings.store_timeout);
        let fleet_options = FleetOptions::new(
            Arc::clone(&store),
            Arc::new(hosts),
            members.clone(),
            members.clone(),
            Arc::clone(&clock),
            members.clone(),
        );
        let fleet = FleetService::start(fleet_options.with_audit(audit.clone()))?;
        let shares = ShareService::start(ShareOptions {
            link: node.clone(),
            inbound: node.inbound(BodyKind::SlotDemand),
            members: members.clone(),
            config: members.clone(),
            targets: fleet.clone(),
            clock: Arc::clone(&clock),
            times: ShareTimes::default(),
        })?;
        let entry = Arc::new(EntryServer::start(EntryConfig {
            settings: settings.clone(),
            tuning: EntryTuning::default(),
            config: members.clone(),
            gate: members.clone(),
            quotas: members.clone(),
            targets: fleet.clone(),
            slots: shares.clone(),
            members: members.clone(),
            jobs: fleet.clone(),
            link: node.clone(),
            inbound: node.inbound(BodyKind::ClaimRequest),
            clock: Arc::clone(&clock),
        })?);
        let admin = AdminServer::start(AdminConfig {
            address: settings.admin_address.clone(),
            bootstrap_key: settings.bootstrap_key.clone(),
            config: members.clone(),
            changes: members.clone(),
            members: members.clone(),
            gate: members.clone(),
            statuses: vec![members.clone(), fleet.clone(), entry.clone()],
            store,
            audit: Arc::clone(&audit),
            clock,
            metrics,
        })?;
        Ok(Self {
            settings,
            node,
            members,
            shares,
            fleet,
            entry,
            audit,
            admin,
        })
    }

    // The parent process reads the addresses from this line when the settings have port 0.
    fn print_ready_line(&self) {
        println!(
            "ready member={} caller={} admin={} peer={}",
            self.settings.member,
            self.entry.caller_address(),
            self.admin.address(),
            self.node.peer_address()
        );
    }

    // The entry server drains first: running requests may finish, and no new ones start. Only
    // then does this host release what it holds and leave the member list.
    fn stop(mut self) {
        self.entry.shutdown(self.settings.max_deadline);
        self.members.leave();
        self.fleet.stop();
        drop(self.shares);
        self.members.stop();
        self.audit.stop();
        self.admin.stop();
        self.node.stop();
    }
}

fn install_metrics() -> Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).context("install metrics")?;
    Ok(handle)
}

// Replaces port 0 by a free port. The member list publishes the caller address, so the port
// must be known before the caller server opens it.
fn with_chosen_port(address: &str) -> Result<String> {
    if !address.ends_with(":0") {
        return Ok(address.to_owned());
    }
    let listener = TcpListener::bind(address).with_context(|| format!("bind {address}"))?;
    Ok(listener.local_addr()?.to_string())
}

// Retries until the store assigns an incarnation number: without one, this process can't be
// distinguished from its predecessor on the same host.
fn wait_for_incarnation(store: &dyn KeyStore) -> Incarnation {
    let mut logged: Option<Instant> = None;
    loop {
        let error = match claim_incarnation(store) {
            Ok(incarnation) => return incarnation,
            Err(error) => error,
        };
        if logged.is_none_or(|at| START_LOG_INTERVAL < at.elapsed()) {
            logged = Some(Instant::now());
            log_event::warn(&event::START_WAITS, format_args!("cause=\"{error}\""));
        }
        thread::sleep(STORE_RETRY_PAUSE);
    }
}
