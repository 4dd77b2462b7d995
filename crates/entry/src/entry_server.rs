use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, Sender, bounded};
use decide::retry::RetryBudget;
use model::{HostId, ServeSettings, StepError, event::info};
use parking_lot::Mutex;
use ports::{
    ConfigSource, HostStatus, InboundMessage, JobSink, MemberSource, PeerLink, QuotaSource,
    ServingGate, SlotSource, StatusSource, TargetSource,
};
use store::Clock;
use tokio::{net::TcpListener, runtime::Builder, sync::watch};

use crate::{
    ClaimService, EntryTuning,
    admission::{
        AdmissionConfig, AdmissionInbox, AdmissionLoop, LoopCommand, RunningCounts, TargetTable,
    },
    caller::{
        BodyBudget, CallerPort, ConnectionLimiter, JobRunner, JobThreadPool, PortPhase, serve_port,
    },
    dispatch::{AttemptRunner, DispatchPool},
    event,
};

/// Capacity of the channel from the caller port to the admission thread.
const ADMISSION_QUEUE_LEN: usize = 1024;
/// Stack size of the admission thread and the port thread, in bytes.
const THREAD_STACK: usize = 1024 * 1024;
/// Minimum time for which the port keeps responding after a shutdown has started. Callers
/// with open connections learn from a response that theirs will be closed. Only a caller
/// that sends nothing for this long can still send a request just as its connection is
/// closed.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_secs(1);
/// Maximum time for callers to read their last responses after all requests have ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Dependencies and settings of an entry server.
pub struct EntryConfig {
    /// Addresses, limits and the id of this host.
    pub settings: ServeSettings,
    /// Limits that are not part of the settings.
    pub tuning: EntryTuning,
    /// The active configuration.
    pub config: Arc<dyn ConfigSource>,
    /// Whether this host may accept new requests.
    pub gate: Arc<dyn ServingGate>,
    /// Units of the team limits.
    pub quotas: Arc<dyn QuotaSource>,
    /// Targets of each pool.
    pub targets: Arc<dyn TargetSource>,
    /// Slots that this host may use.
    pub slots: Arc<dyn SlotSource>,
    /// The entry hosts.
    pub members: Arc<dyn MemberSource>,
    /// Records jobs.
    pub jobs: Arc<dyn JobSink>,
    /// Sends claims to other entry hosts.
    pub link: Arc<dyn PeerLink>,
    /// Claims and replies to claims from other entry hosts; other messages are ignored.
    pub inbound: Receiver<InboundMessage>,
    /// The clocks.
    pub clock: Arc<dyn Clock>,
}

/// The caller interface of one entry host, with its queues and its dispatch to targets.
///
/// Dropping it without [`EntryServer::shutdown`] refuses queued requests and aborts running
/// ones.
pub struct EntryServer {
    caller_address: SocketAddr,
    clock: Arc<dyn Clock>,
    claims: Arc<ClaimService>,
    counts: RunningCounts,
    leaving: Arc<AtomicBool>,
    phase: watch::Sender<PortPhase>,
    commands: Sender<LoopCommand>,
    threads: Mutex<ServerThreads>,
}

#[derive(Default)]
struct ServerThreads {
    admission: Option<JoinHandle<()>>,
    port: Option<JoinHandle<()>>,
}

impl EntryServer {
    /// Opens the caller port and starts all threads.
    ///
    /// # Errors
    /// If the caller address can't be bound or a thread can't be started.
    pub fn start(config: EntryConfig) -> Result<Self, StepError> {
        let claims = Arc::new(ClaimService::new(
            Arc::clone(&config.members),
            Arc::clone(&config.link),
            config.tuning.open_ids,
        ));
        claims.start(config.inbound.clone())?;
        let leaving = Arc::new(AtomicBool::new(false));
        let counts = RunningCounts::default();
        let budget = BodyBudget::new(config.tuning.body_memory);
        let (work_sender, requests) = bounded(ADMISSION_QUEUE_LEN);
        let (commands, command_receiver) = bounded(4);
        let runner = JobRunner {
            sink: Arc::clone(&config.jobs),
            claims: Arc::clone(&claims),
            claim_timeout: config.tuning.claim_timeout,
        };
        let port = CallerPort {
            tuning: config.tuning.clone(),
            max_body: config.settings.max_body,
            max_deadline: config.settings.max_deadline,
            config: Arc::clone(&config.config),
            gate: Arc::clone(&config.gate),
            targets: Arc::clone(&config.targets),
            clock: Arc::clone(&config.clock),
            claims: Arc::clone(&claims),
            jobs: JobThreadPool::start(&runner, config.tuning.job_threads)?,
            admission: work_sender,
            budget,
            connections: ConnectionLimiter::new(
                config.settings.max_connections,
                (config.settings.max_connections * config.tuning.address_percent / 100).max(1),
            ),
            leaving: Arc::clone(&leaving),
        };
        let (phase, phase_receiver) = watch::channel(PortPhase::Open);
        let (caller_address, port_thread) =
            start_port(port, &config.settings.caller_address, phase_receiver)?;
        let (dispatch, reports) = start_dispatch(&config, &claims);
        let inbox = AdmissionInbox {
            requests,
            reports,
            commands: command_receiver,
        };
        let table = TargetTable::new(
            config.settings.data_centre.clone(),
            config.tuning.connect_timeout,
            Arc::clone(&counts),
        );
        let clock = Arc::clone(&config.clock);
        let admission = start_admission(config, inbox, dispatch, table)?;
        info(
            &event::CALLER_PORT_OPEN,
            format_args!("address={caller_address}"),
        );
        Ok(Self {
            caller_address,
            clock,
            claims,
            counts,
            leaving,
            phase,
            commands,
            threads: Mutex::new(ServerThreads {
                admission: Some(admission),
                port: Some(port_thread),
            }),
        })
    }

    /// The address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// The service that mints and claims request ids.
    pub fn claims(&self) -> Arc<ClaimService> {
        Arc::clone(&self.claims)
    }

    /// Number of requests that are running, or may be running, on a target.
    pub fn running(&self, host: &HostId) -> u32 {
        self.counts.lock().get(host).copied().unwrap_or_default()
    }

    /// Shuts down gracefully and returns when the shutdown is complete.
    ///
    /// New requests are refused immediately and the readiness check fails. Queued requests
    /// may start during the first half of `timeout` and are refused after that; running
    /// requests may finish until `timeout` is over. Call it before [`ServingGate::leave`],
    /// which prevents any request from starting.
    pub fn shutdown(&self, timeout: Duration) {
        if self.leaving.swap(true, Ordering::AcqRel) {
            return;
        }
        info(
            &event::CALLER_PORT_LEAVING,
            format_args!("patience_ms={}", timeout.as_millis()),
        );
        let accept_until = Instant::now() + timeout.min(MIN_SHUTDOWN_TIME);
        let now = self.clock.boot_now();
        let finish = LoopCommand::Finish {
            refuse_at: now + timeout / 2,
            end_at: now + timeout,
        };
        // A full channel means that a `Finish` command is already queued.
        let _ = self.commands.try_send(finish);
        let mut threads = self.threads.lock();
        if let Some(admission) = threads.admission.take() {
            // A panic of the thread has already been logged.
            let _ = admission.join();
        }
        thread::sleep(accept_until.saturating_duration_since(Instant::now()));
        let _ = self.phase.send(PortPhase::Closing);
        let until = Instant::now() + CLOSE_TIMEOUT;
        while threads
            .port
            .as_ref()
            .is_some_and(|port| !port.is_finished())
            && Instant::now() < until
        {
            thread::sleep(Duration::from_millis(2));
        }
        let _ = self.phase.send(PortPhase::Closed);
        if let Some(port) = threads.port.take() {
            let _ = port.join();
        }
        let cut: u32 = self.counts.lock().values().sum();
        info(&event::CALLER_PORT_CLOSED, format_args!("cut={cut}"));
    }
}

impl Drop for EntryServer {
    fn drop(&mut self) {
        self.shutdown(Duration::ZERO);
    }
}

impl StatusSource for EntryServer {
    fn hosts(&self) -> Vec<HostStatus> {
        let counts = self.counts.lock();
        let statuses = counts.iter().map(|(host, running)| HostStatus {
            host: host.clone(),
            running: *running,
            ..HostStatus::default()
        });
        statuses.collect()
    }
}

fn start_port(
    port: CallerPort,
    address: &str,
    phase: watch::Receiver<PortPhase>,
) -> Result<(SocketAddr, JoinHandle<()>), StepError> {
    let open_error = |cause| StepError::new("open caller port", address, cause);
    let listener = std::net::TcpListener::bind(address).map_err(open_error)?;
    listener.set_nonblocking(true).map_err(open_error)?;
    let local = listener.local_addr().map_err(open_error)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(open_error)?;
    let entered = runtime.enter();
    let listener = TcpListener::from_std(listener).map_err(open_error)?;
    drop(entered);
    let thread = thread::Builder::new()
        .name("entry-callers".to_owned())
        .stack_size(THREAD_STACK)
        .spawn(move || runtime.block_on(serve_port(Arc::new(port), listener, phase)))
        .map_err(open_error)?;
    Ok((local, thread))
}

fn start_dispatch(
    config: &EntryConfig,
    claims: &Arc<ClaimService>,
) -> (DispatchPool, Receiver<crate::dispatch::AttemptReport>) {
    let runner = AttemptRunner {
        claims: Arc::clone(claims),
        config: Arc::clone(&config.config),
        gate: Arc::clone(&config.gate),
        clock: Arc::clone(&config.clock),
        claim_timeout: config.tuning.claim_timeout,
        max_answer: config.settings.max_body,
        budget: BodyBudget::new(config.tuning.answer_memory),
    };
    DispatchPool::new(config.tuning.max_dispatch, Arc::new(runner))
}

fn start_admission(
    config: EntryConfig,
    inbox: AdmissionInbox,
    dispatch: DispatchPool,
    table: TargetTable,
) -> Result<JoinHandle<()>, StepError> {
    let admission = AdmissionConfig {
        config: config.config,
        quotas: config.quotas,
        targets: config.targets,
        slots: config.slots,
        members: config.members,
        clock: config.clock,
        max_queue: config.settings.max_queue,
        retries: RetryBudget::new(config.tuning.retry_percent, config.tuning.retry_burst),
    };
    thread::Builder::new()
        .name("entry-admission".to_owned())
        .stack_size(THREAD_STACK)
        .spawn(move || AdmissionLoop::new(admission, inbox, dispatch, table).run())
        .map_err(|cause| StepError::new("start admission thread", "", cause))
}
