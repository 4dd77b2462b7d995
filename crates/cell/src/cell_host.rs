use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
};

use link::{CallClient, ServerLimits, ShutdownSignal, serve_http};
use metrics_exporter_prometheus::PrometheusHandle;
use model::{StepError, event as log_event};
use ports::CallerService;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    caller_gateway::CallerGateway,
    cell_options::CellOptions,
    cell_ports::CellPorts,
    election::Candidate,
    election_promise::ElectionPromise,
    event,
    fleet_view::FleetView,
    loop_watch::watch_loop,
    member_directory::MemberDirectory,
    metrics_service::MetricsService,
    owner_client::OwnerClient,
    owner_view::OwnerView,
    peer_service::{CurrentTerm, PeerService},
    prefix_watch::watch_prefix,
    stored_cancellation::CancellationWriter,
    term::TermContext,
    watch_timeout::WatchTimeout,
};

/// How often histogram samples are folded into their distributions. Until then each sample takes
/// memory.
const METRICS_UPKEEP_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// A delay of the event loop is logged if it is at least the lease divided by this.
const LOGGED_LEASE_FRACTION: u32 = 4;

/// Everything that one process of the cell does, except for the protocol of callers.
pub struct CellHost {
    options: Rc<CellOptions>,
    ports: CellPorts,
    view: Rc<FleetView>,
    owners: Rc<OwnerView>,
    current_term: CurrentTerm,
    owner_client: Rc<OwnerClient>,
    members: Rc<MemberDirectory>,
    promise: Rc<ElectionPromise>,
    cancellation_writer: Rc<CancellationWriter>,
    /// Begins when connections of callers should finish.
    stopping: ShutdownSignal,
    /// Begins when the process no longer campaigns.
    retired: ShutdownSignal,
    /// Set when new connections should go to other processes.
    draining: Rc<Cell<bool>>,
}

impl CellHost {
    /// Creates a process with its ports. All its calls to other processes go through `client`.
    pub fn new(options: CellOptions, ports: CellPorts, client: CallClient) -> Self {
        let owners = OwnerView::new(options.owner_key());
        let options = Rc::new(options);
        let cancellation_writer = CancellationWriter::new(ports.store.clone(), options.clone());
        Self {
            cancellation_writer: Rc::new(cancellation_writer),
            view: Rc::new(FleetView::new(ports.codec.clone(), options.watch_timeout)),
            owners: Rc::new(owners),
            members: Rc::new(MemberDirectory::new(options.clone(), client.clone())),
            options,
            ports,
            current_term: Rc::new(RefCell::new(None)),
            promise: Rc::default(),
            owner_client: Rc::new(OwnerClient::new(client)),
            stopping: ShutdownSignal::default(),
            retired: ShutdownSignal::default(),
            draining: Rc::new(Cell::new(false)),
        }
    }

    /// Answers callers; used by the platform's server of the callers' protocol.
    pub fn service(&self) -> Rc<dyn CallerService> {
        Rc::new(CallerGateway {
            options: self.options.clone(),
            view: self.view.clone(),
            owners: self.owners.clone(),
            current_term: self.current_term.clone(),
            owner_client: self.owner_client.clone(),
            draining: self.draining.clone(),
            members: self.members.clone(),
            cancellation_writer: self.cancellation_writer.clone(),
        })
    }

    /// A signal that begins when connections of callers should finish.
    pub fn stopping(&self) -> ShutdownSignal {
        self.stopping.clone()
    }

    /// Starts all tasks of the process on the current event loop.
    pub fn start(&self, metrics: PrometheusHandle) {
        log_event::info(
            &event::CELL_STARTED,
            format_args!(
                "member={} peers={} metrics={}",
                self.options.member, self.options.peer_address, self.options.metrics_address
            ),
        );
        tokio::task::spawn_local(watch_loop(
            self.options.scheduler.owner_lease / LOGGED_LEASE_FRACTION,
        ));
        self.watch();
        let registering = self
            .members
            .clone()
            .keep_registered(self.ports.store.clone());
        tokio::task::spawn_local(registering);
        let following = self.members.clone().watch_entries(self.ports.store.clone());
        tokio::task::spawn_local(following);
        self.serve(metrics);
        let candidate = Candidate {
            context: TermContext {
                options: self.options.clone(),
                ports: self.ports.clone(),
                view: self.view.clone(),
                members: self.members.clone(),
                log_cache: Rc::default(),
            },
            owners: self.owners.clone(),
            current_term: self.current_term.clone(),
            stopping: self.retired.clone(),
            promise: self.promise.clone(),
            campaign_not_before: Cell::default(),
        };
        tokio::task::spawn_local(candidate.campaign());
    }

    /// Shuts down: reports not ready, hands ownership over and lets connections finish with their
    /// last responses. Returns once `served` has completed and all pending cancellations are
    /// stored, or after the stop timeout.
    pub async fn stop(&self, served: impl Future<Output = ()>) {
        let deadline = Instant::now() + self.options.stop_timeout;
        log_event::info(
            &event::CELL_STOPPING,
            format_args!("member={}", self.options.member),
        );
        self.draining.set(true);
        let term = self.current_term.borrow().clone();
        self.retired.begin();
        if let Some(term) = term {
            term.hand_over().await;
        }
        sleep(self.options.drain_period).await;
        self.stopping.begin();
        let settled = async {
            served.await;
            self.cancellation_writer.flush().await;
        };
        let cut = timeout_at(deadline, settled).await.is_err();
        log_event::info(
            &event::CELL_STOPPED,
            format_args!("member={} limit_reached={cut}", self.options.member),
        );
    }

    fn watch(&self) {
        let (store, view) = (self.ports.store.clone(), self.view.clone());
        let prefix = self.ports.codec.operator_prefix();
        tokio::task::spawn_local(async move {
            watch_prefix(store, prefix, &view.watch_timeout, &*view).await;
        });
        let (store, owners) = (self.ports.store.clone(), self.owners.clone());
        let key = self.options.owner_key();
        let timeout = WatchTimeout::new(self.options.watch_timeout);
        tokio::task::spawn_local(async move {
            watch_prefix(store, &key, &timeout, &*owners).await;
        });
    }

    fn serve(&self, metrics: PrometheusHandle) {
        let peers = Rc::new(PeerService {
            current_term: self.current_term.clone(),
            owners: self.owners.clone(),
            store: self.ports.store.clone(),
            owner_key: self.options.owner_key(),
            promise: self.promise.clone(),
            advice: self.ports.advice.clone(),
        });
        // Peers are served until the process exits, because their callers wait for the answers.
        let (address, never) = (self.options.peer_address, ShutdownSignal::default());
        tokio::task::spawn_local(async move {
            let served = serve_http(address, peers, ServerLimits::default(), never).await;
            report("serve peers", address.to_string(), served);
        });
        let upkeep = metrics.clone();
        let (address, never) = (self.options.metrics_address, ShutdownSignal::default());
        tokio::task::spawn_local(async move {
            let service = MetricsService::service(metrics);
            let served = serve_http(address, service, ServerLimits::default(), never).await;
            report("serve metrics", address.to_string(), served);
        });
        tokio::task::spawn_local(async move {
            loop {
                sleep(METRICS_UPKEEP_INTERVAL).await;
                upkeep.run_upkeep();
            }
        });
    }
}

fn report(step: &'static str, peer: String, served: std::io::Result<()>) {
    if let Err(error) = served {
        log::error!("{}", StepError::new(step, peer, error));
    }
}
