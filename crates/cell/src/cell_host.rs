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
    caller_front::CallerFront,
    cell_options::CellOptions,
    cell_ports::CellPorts,
    election::Candidate,
    event,
    fleet_view::FleetView,
    kept_cancellation::CancellationKeeper,
    member_book::MemberBook,
    metrics_port::MetricsPort,
    owner_view::OwnerView,
    peer_port::{PeerPort, TermSlot},
    prefix_watch::watch_prefix,
    stand_pledge::StandPledge,
    term::TermParts,
};

/// How often samples of histograms are folded into their distributions; until then each takes
/// memory.
const METRICS_UPKEEP: std::time::Duration = std::time::Duration::from_secs(5);

/// Everything that one process of the system does, but for the callers' protocol.
pub struct CellHost {
    options: Rc<CellOptions>,
    ports: CellPorts,
    view: Rc<FleetView>,
    owners: Rc<OwnerView>,
    slot: TermSlot,
    client: CallClient,
    members: Rc<MemberBook>,
    pledge: Rc<StandPledge>,
    keeper: Rc<CancellationKeeper>,
    /// Begins when connections are to finish.
    stopping: ShutdownSignal,
    /// Begins when the process no longer stands for election.
    retired: ShutdownSignal,
    /// Set when new connections are to go elsewhere.
    draining: Rc<Cell<bool>>,
}

impl CellHost {
    /// A host with its ports; `client` is the one that all calls of the process go through.
    pub fn new(options: CellOptions, ports: CellPorts, client: CallClient) -> Self {
        let owners = OwnerView::new(options.owner_key());
        let options = Rc::new(options);
        let keeper = CancellationKeeper::new(ports.store.clone(), options.clone());
        Self {
            keeper: Rc::new(keeper),
            view: Rc::new(FleetView::new(ports.codec.clone())),
            owners: Rc::new(owners),
            members: Rc::new(MemberBook::new(options.clone(), client.clone())),
            options,
            ports,
            slot: Rc::new(RefCell::new(None)),
            pledge: Rc::default(),
            client,
            stopping: ShutdownSignal::default(),
            retired: ShutdownSignal::default(),
            draining: Rc::new(Cell::new(false)),
        }
    }

    /// Answers callers; for the platform's server of the callers' protocol.
    pub fn desk(&self) -> Rc<dyn CallerService> {
        Rc::new(CallerFront {
            options: self.options.clone(),
            view: self.view.clone(),
            owners: self.owners.clone(),
            slot: self.slot.clone(),
            client: self.client.clone(),
            draining: self.draining.clone(),
            members: self.members.clone(),
            keeper: self.keeper.clone(),
        })
    }

    /// Begins when callers' connections are to finish.
    pub fn stopping(&self) -> ShutdownSignal {
        self.stopping.clone()
    }

    /// Starts all duties on the present event loop.
    pub fn start(&self, metrics: PrometheusHandle) {
        log_event::info(
            &event::CELL_STARTED,
            format_args!(
                "member={} peers={} metrics={}",
                self.options.member, self.options.peer_address, self.options.metrics_address
            ),
        );
        self.watch();
        let keeping = self.members.clone().keep(self.ports.store.clone());
        tokio::task::spawn_local(keeping);
        let following = self.members.clone().follow(self.ports.store.clone());
        tokio::task::spawn_local(following);
        self.serve(metrics);
        let candidate = Candidate {
            parts: TermParts {
                options: self.options.clone(),
                ports: self.ports.clone(),
                view: self.view.clone(),
                members: self.members.clone(),
                copy: Rc::default(),
            },
            owners: self.owners.clone(),
            slot: self.slot.clone(),
            stopping: self.retired.clone(),
            pledge: self.pledge.clone(),
            aside_until: Cell::default(),
        };
        tokio::task::spawn_local(candidate.stand());
    }

    /// Shuts down: new callers are led elsewhere, ownership is handed over, connections end
    /// with the answers that they carry. Returns when `served` has and all cancellations are kept
    /// that the store could not take, or at the limit.
    pub async fn stop(&self, served: impl Future<Output = ()>) {
        let deadline = Instant::now() + self.options.stop_limit;
        log_event::info(
            &event::CELL_STOPPING,
            format_args!("member={}", self.options.member),
        );
        self.draining.set(true);
        let term = self.slot.borrow().clone();
        self.retired.begin();
        if let Some(term) = term {
            term.hand_over().await;
        }
        sleep(self.options.drain_wait).await;
        self.stopping.begin();
        let settled = async {
            served.await;
            self.keeper.settle().await;
        };
        let cut = timeout_at(deadline, settled).await.is_err();
        log_event::info(
            &event::CELL_STOPPED,
            format_args!("member={} limit_reached={cut}", self.options.member),
        );
    }

    fn watch(&self) {
        let (store, view) = (self.ports.store.clone(), self.view.clone());
        let patience = self.options.watch_patience;
        let prefix = self.ports.codec.operator_prefix();
        tokio::task::spawn_local(async move {
            watch_prefix(store, prefix, patience, &*view).await;
        });
        let (store, owners) = (self.ports.store.clone(), self.owners.clone());
        let key = self.options.owner_key();
        tokio::task::spawn_local(async move {
            watch_prefix(store, &key, patience, &*owners).await;
        });
    }

    fn serve(&self, metrics: PrometheusHandle) {
        let peers = Rc::new(PeerPort {
            slot: self.slot.clone(),
            owners: self.owners.clone(),
            store: self.ports.store.clone(),
            owner_key: self.options.owner_key(),
            pledge: self.pledge.clone(),
        });
        // Peers go on being answered until the process ends: their callers wait.
        let (address, never) = (self.options.peer_address, ShutdownSignal::default());
        tokio::task::spawn_local(async move {
            let served = serve_http(address, peers, ServerLimits::default(), never).await;
            report("serve peers", address.to_string(), served);
        });
        let upkeep = metrics.clone();
        let (address, never) = (self.options.metrics_address, ShutdownSignal::default());
        tokio::task::spawn_local(async move {
            let service = MetricsPort::service(metrics);
            let served = serve_http(address, service, ServerLimits::default(), never).await;
            report("serve metrics", address.to_string(), served);
        });
        tokio::task::spawn_local(async move {
            loop {
                sleep(METRICS_UPKEEP).await;
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
