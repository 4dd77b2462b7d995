use std::{
    collections::BTreeMap,
    fmt,
    io::Error,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use crossbeam_channel::Receiver;
use model::{Incarnation, MemberId, PeerSetting, StepError, event as log_event};
use parking_lot::RwLock;
use ports::{InboundMessage, LinkError, PeerLink};
use wire::peer::{Envelope, envelope::Body};

use crate::{
    BodyKind, event, inbound_router::InboundRouter, outbound_link::OutboundLink,
    peer_loop::PeerLoop,
};

/// Traffic of a node over its open links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerTraffic {
    /// Number of messages passed to links.
    pub sent_messages: u64,
    /// Bytes of those messages, without the framing of the transport.
    pub sent_bytes: u64,
}

/// Endpoint of this entry host: one listening socket, and one connection to each peer.
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
    peer_loop: PeerLoop,
    stopping: AtomicBool,
}

impl PeerNode {
    /// Listens on `listen`, as `ip:port` with port 0 for a free one, and dials `peers`.
    ///
    /// # Errors
    /// If the address can't be bound, a peer's address has no port, or the thread can't be started.
    pub fn start(
        own: MemberId,
        incarnation: Incarnation,
        listen: &str,
        peers: Vec<PeerSetting>,
    ) -> Result<Self, StepError> {
        let fail = |error: Error| StepError::new("listen for peers", listen, error);
        let listener = TcpListener::bind(listen).map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?.to_string();
        let router = Arc::new(InboundRouter::new(own.clone()));
        let peer_loop = PeerLoop::start(listener, router.clone())?;
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
            peer_loop,
            stopping: AtomicBool::new(false),
        };
        for (member, address) in &node.overrides {
            node.dial(member, address)?;
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
    /// If the address has no port.
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

    /// Stops receiving and sending. Messages that are queued already are still sent to the peers
    /// that are reached.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.links.write().clear();
        self.peer_loop.stop();
    }

    fn dial(&self, member: &MemberId, address: &str) -> Result<(), StepError> {
        if !has_port(address) {
            let peer = format!("{member} at {address}");
            return Err(StepError::new("dial peer", peer, "no port"));
        }
        let (link, dialer) = OutboundLink::new(member, address);
        let mut links = self.links.write();
        // Threads of the host may still learn of peers while the node stops.
        if self.stopping.load(Ordering::Acquire) {
            return Ok(());
        }
        self.peer_loop.run_dialer(dialer);
        links.insert(member.clone(), Arc::new(link));
        log_event::info(
            &event::PEER_DIALLED,
            format_args!("peer={member} address={address}"),
        );
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

fn has_port(address: &str) -> bool {
    let port = address
        .rsplit_once(':')
        .map(|(_, port)| port.parse::<u16>());
    matches!(port, Some(Ok(_)))
}
