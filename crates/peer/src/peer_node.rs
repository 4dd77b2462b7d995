use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crossbeam_channel::Receiver;
use model::{Incarnation, MemberId, PeerSetting, StepError, event as log_event};
use nng::{
    Error, Listener, ListenerBuilder, Protocol, Socket,
    options::{
        LocalAddr, Options, RecvMaxSize, RecvTimeout,
        transport::tcp::{BoundPort, NoDelay},
    },
};
use parking_lot::{Mutex, RwLock};
use ports::{InboundMessage, LinkError, PeerLink};
use wire::peer::{Envelope, envelope::Body};

use crate::{BodyKind, event, inbound_router::InboundRouter, outbound_link::OutboundLink};

/// Maximum size of a received message in bytes. The largest message sent is a whole
/// configuration, which the store limits to 1 MB.
const MESSAGE_LIMIT: usize = 2 * 1024 * 1024;

/// Interval at which the receiving thread checks whether the node is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

const THREAD_STACK: usize = 256 * 1024;

/// Traffic of a node over its open links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerTraffic {
    /// Number of messages passed to links.
    pub sent_messages: u64,
    /// Bytes of those messages, without the framing of the transport.
    pub sent_bytes: u64,
}

/// Endpoint of this entry host: one listening socket, and one dialing socket per peer.
///
/// Links are one-way; responses arrive over the link that the peer dials. So messages can arrive
/// from a peer that this host can't dial, and the code must not assume otherwise.
pub struct PeerNode {
    own: MemberId,
    incarnation: AtomicU64,
    address: String,
    overrides: BTreeMap<MemberId, String>,
    links: RwLock<BTreeMap<MemberId, Arc<OutboundLink>>>,
    router: Arc<InboundRouter>,
    socket: Socket,
    stopping: Arc<AtomicBool>,
    receiver: Mutex<Option<JoinHandle<()>>>,
    _listener: Listener,
}

impl PeerNode {
    /// Listens on `listen`, as `ip:port` with port 0 for a free one, and dials `peers`.
    ///
    /// # Errors
    /// If the address can't be bound or a peer's address is malformed.
    pub fn start(
        own: MemberId,
        incarnation: Incarnation,
        listen: &str,
        peers: Vec<PeerSetting>,
    ) -> Result<Self, StepError> {
        let fail = |error: Error| StepError::new("listen for peers", listen, error);
        let socket = Socket::new(Protocol::Pull0).map_err(fail)?;
        socket
            .set_opt::<RecvTimeout>(Some(STOP_CHECK_INTERVAL))
            .map_err(fail)?;
        let builder = ListenerBuilder::new(&socket, &format!("tcp://{listen}")).map_err(fail)?;
        builder
            .set_opt::<RecvMaxSize>(MESSAGE_LIMIT)
            .map_err(fail)?;
        builder.set_opt::<NoDelay>(true).map_err(fail)?;
        let listener = builder.start().map_err(|(_, error)| fail(error))?;
        let address = bound_address(&listener).map_err(fail)?;

        let router = Arc::new(InboundRouter::new(own.clone()));
        let stopping = Arc::new(AtomicBool::new(false));
        let receiver = spawn_receiver(&socket, &router, &stopping)?;
        let node = Self {
            own,
            incarnation: AtomicU64::new(incarnation),
            address,
            overrides: peers
                .into_iter()
                .map(|peer| (peer.member, peer.address))
                .collect(),
            links: RwLock::default(),
            router,
            socket,
            stopping,
            receiver: Mutex::new(Some(receiver)),
            _listener: listener,
        };
        for (member, address) in node.overrides.clone() {
            node.dial(&member, &address)?;
        }
        Ok(node)
    }

    /// The address on which this host listens for peers, with the bound port.
    #[must_use]
    pub fn peer_address(&self) -> &str {
        &self.address
    }

    /// Incarnation of this host that its messages carry.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Sets a new incarnation, after the previous one was removed from the member list.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::Release);
    }

    /// The queue of received messages of one kind; a single thread should read it.
    #[must_use]
    pub fn inbound(&self, kind: BodyKind) -> Receiver<InboundMessage> {
        self.router.receiver(kind)
    }

    /// Dials `member` at `address`, or at the address in the settings if there is one. Does nothing
    /// once the node stops.
    ///
    /// # Errors
    /// If the address is malformed.
    pub fn set_peer(&self, member: &MemberId, address: &str) -> Result<(), StepError> {
        let address = self.overrides.get(member).map_or(address, String::as_str);
        if *member == self.own || address.is_empty() {
            return Ok(());
        }
        let links = self.links.read();
        if links.get(member).is_some_and(|l| l.address() == address) {
            return Ok(());
        }
        drop(links);
        self.dial(member, address)
    }

    /// Closes the link to a member that left. A member in the settings stays dialled, because it
    /// is expected to return.
    pub fn remove_peer(&self, member: &MemberId) {
        if !self.overrides.contains_key(member) {
            self.links.write().remove(member);
        }
    }

    /// Traffic sent over the links that are open now.
    #[must_use]
    pub fn traffic(&self) -> PeerTraffic {
        let links = self.links.read();
        let sums = links.values().map(|link| link.sent());
        sums.fold(PeerTraffic::default(), |sum, (messages, bytes)| {
            PeerTraffic {
                sent_messages: sum.sent_messages + messages,
                sent_bytes: sum.sent_bytes + bytes,
            }
        })
    }

    /// Stops receiving and sending. Messages already queued in nng are still sent.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        let receiver = self.receiver.lock().take();
        if receiver.is_some_and(|r| r.join().is_err()) {
            log_event::error(
                &event::PEER_RECEIVER_FAILED,
                format_args!("member={}", self.own),
            );
        }
        self.links.write().clear();
        self.socket.close();
    }

    fn dial(&self, member: &MemberId, address: &str) -> Result<(), StepError> {
        let link = OutboundLink::dial(member, address)?;
        log_event::info(
            &event::PEER_DIALLED,
            format_args!("peer={member} address={address}"),
        );
        let mut links = self.links.write();
        // Threads of the host may still learn of peers while the node stops.
        if !self.stopping.load(Ordering::Acquire) {
            links.insert(member.clone(), Arc::new(link));
        }
        Ok(())
    }
}

impl PeerLink for PeerNode {
    fn send(&self, to: &MemberId, body: Body) -> Result<(), LinkError> {
        let Some(link) = self.links.read().get(to).cloned() else {
            return Err(LinkError::NoLink(to.clone()));
        };
        link.send(Envelope {
            from: self.own.to_string(),
            incarnation: self.incarnation(),
            body: Some(body),
            ..Envelope::default()
        })
    }

    fn send_with_next(&self, to: &MemberId, body: Body) -> Result<(), LinkError> {
        let links = self.links.read();
        let link = links.get(to).ok_or_else(|| LinkError::NoLink(to.clone()))?;
        link.send_with_next(body);
        Ok(())
    }

    fn peers(&self) -> Vec<MemberId> {
        self.links.read().keys().cloned().collect()
    }
}

impl Drop for PeerNode {
    fn drop(&mut self) {
        self.stop();
    }
}

impl fmt::Debug for PeerNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerNode")
            .field("own", &self.own)
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// The listening address with the bound port. The port of nng's `LocalAddr` is in network byte
/// order, so the port is read from the separate option `BoundPort`.
fn bound_address(listener: &Listener) -> Result<String, Error> {
    let port = listener.get_opt::<BoundPort>()?;
    match listener.get_opt::<LocalAddr>()? {
        nng::SocketAddr::Inet(address) => Ok(format!("{}:{port}", address.ip())),
        nng::SocketAddr::Inet6(address) => Ok(format!("[{}]:{port}", address.ip())),
        _ => Err(Error::AddressInvalid),
    }
}

fn spawn_receiver(
    socket: &Socket,
    router: &Arc<InboundRouter>,
    stopping: &Arc<AtomicBool>,
) -> Result<JoinHandle<()>, StepError> {
    let (socket, router, stopping) = (socket.clone(), router.clone(), stopping.clone());
    thread::Builder::new()
        .name("peer-receive".to_owned())
        .stack_size(THREAD_STACK)
        .spawn(move || receive_loop(&socket, &router, &stopping))
        .map_err(|error| StepError::new("start thread", "peer-receive", error))
}

fn receive_loop(socket: &Socket, router: &InboundRouter, stopping: &AtomicBool) {
    while !stopping.load(Ordering::Acquire) {
        match socket.recv() {
            Ok(message) => router.route(message.as_slice()),
            Err(Error::TimedOut) => {}
            Err(Error::Closed) => return,
            Err(error) => {
                log_event::warn(&event::PEER_RECEIVE_FAILED, format_args!("cause={error}"));
                thread::sleep(STOP_CHECK_INTERVAL);
            }
        }
    }
}
