use std::{
    collections::VecDeque,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use model::{MemberId, StepError, event as log_event};
use nng::{
    Dialer, DialerBuilder, Error, Message, Protocol, Socket,
    options::{
        Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize, transport::tcp::NoDelay,
    },
};
use parking_lot::Mutex;
use ports::LinkError;
use prost::Message as _;
use wire::peer::{Envelope, envelope::Body};

use crate::event;

/// Maximum number of messages queued while the peer is unreachable. The queue is short, because
/// queued messages are stale by the time the peer is back.
const QUEUE_LENGTH: i32 = 64;

/// Maximum number of deferred messages, which are sent with the next one; the oldest are dropped.
const MAX_DEFERRED: usize = 32;

/// First pause before nng dials again.
const REDIAL_MIN: Duration = Duration::from_millis(50);

/// Maximum pause before nng dials again. It is well below a lease, so that a restored link
/// carries heartbeats before the lease expires.
const REDIAL_MAX: Duration = Duration::from_millis(400);

/// The socket for messages to one peer.
pub(crate) struct OutboundLink {
    peer: MemberId,
    address: String,
    socket: Socket,
    _dialer: Dialer,
    sequence: AtomicU64,
    sent_bytes: AtomicU64,
    deferred: Mutex<VecDeque<Envelope>>,
}

impl OutboundLink {
    /// Starts dialing `address`; nng redials until the link is dropped.
    pub(crate) fn dial(peer: &MemberId, address: &str) -> Result<Self, StepError> {
        let fail =
            |error: Error| StepError::new("dial peer", format!("{peer} at {address}"), error);
        let socket = Socket::new(Protocol::Push0).map_err(fail)?;
        socket
            .set_opt::<SendBufferSize>(QUEUE_LENGTH)
            .map_err(fail)?;
        let builder = DialerBuilder::new(&socket, &format!("tcp://{address}")).map_err(fail)?;
        builder
            .set_opt::<ReconnectMinTime>(Some(REDIAL_MIN))
            .map_err(fail)?;
        builder
            .set_opt::<ReconnectMaxTime>(Some(REDIAL_MAX))
            .map_err(fail)?;
        builder.set_opt::<NoDelay>(true).map_err(fail)?;
        let dialer = builder.start(true).map_err(|(_, error)| fail(error))?;
        Ok(Self {
            peer: peer.clone(),
            address: address.to_owned(),
            socket,
            _dialer: dialer,
            sequence: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            deferred: Mutex::default(),
        })
    }

    /// The address that the link dials.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Number of messages and bytes passed to nng so far.
    pub(crate) fn sent(&self) -> (u64, u64) {
        (
            self.sequence.load(Ordering::Relaxed),
            self.sent_bytes.load(Ordering::Relaxed),
        )
    }

    /// Defers `body` until the next message is sent.
    pub(crate) fn send_with_next(&self, body: Body) {
        let mut waiting = self.deferred.lock();
        if MAX_DEFERRED <= waiting.len() {
            waiting.pop_front();
        }
        waiting.push_back(Envelope {
            body: Some(body),
            ..Envelope::default()
        });
    }

    /// Queues `envelope` together with the deferred messages, without blocking.
    pub(crate) fn send(&self, mut envelope: Envelope) -> Result<(), LinkError> {
        envelope.sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        envelope.earlier = std::mem::take(&mut *self.deferred.lock()).into();
        self.send_bytes(&envelope.encode_to_vec())
    }

    fn send_bytes(&self, bytes: &[u8]) -> Result<(), LinkError> {
        self.sent_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        metrics::counter!("lws_peer_sent_messages").increment(1);
        metrics::counter!("lws_peer_sent_bytes").increment(bytes.len() as u64);
        match self.socket.try_send(Message::from(bytes)) {
            Ok(()) => Ok(()),
            Err((_, error)) => {
                metrics::counter!("lws_peer_unsent_messages").increment(1);
                log_event::debug(
                    &event::PEER_LINK_FULL,
                    format_args!("peer={} cause={error}", self.peer),
                );
                Err(LinkError::Full(self.peer.clone()))
            }
        }
    }
}
