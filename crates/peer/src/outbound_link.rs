use std::{
    collections::VecDeque,
    io,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use model::{MemberId, event as log_event};
use parking_lot::Mutex;
use ports::LinkError;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::mpsc::{Receiver, Sender, channel},
    time::{sleep, timeout},
};
use wire::peer::{Envelope, envelope::Body};

use crate::{
    event,
    frame::{LinkSide, encode_frame},
};

/// Maximum number of messages queued while the peer is unreachable. The queue is short, because
/// queued messages are stale by the time the peer is back.
const QUEUE_LENGTH: usize = 64;

/// Maximum number of deferred messages, which are sent with the next one; the oldest are dropped.
const MAX_DEFERRED: usize = 32;

/// First pause before the peer is dialled again.
const REDIAL_MIN: Duration = Duration::from_millis(50);

/// Maximum pause before the peer is dialled again. It is well below a lease, so that a restored
/// link carries heartbeats before the lease expires.
const REDIAL_MAX: Duration = Duration::from_millis(400);

/// Timeout of a dial, with the exchange of headers.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long sent bytes may stay unacknowledged before the connection is closed. Otherwise a link
/// that was cut would wait for its next retransmission, which may be as far off as the cut was long.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);

/// The link for messages to one peer. [`PeerDialer`] carries them.
pub(crate) struct OutboundLink {
    peer: MemberId,
    address: String,
    queue: Sender<Vec<u8>>,
    sequence: AtomicU64,
    sent_bytes: AtomicU64,
    deferred: Mutex<VecDeque<Envelope>>,
}

impl OutboundLink {
    /// Creates a link and the task that dials the peer until the link is dropped.
    pub(crate) fn new(peer: &MemberId, address: &str) -> (Self, PeerDialer) {
        let (sender, receiver) = channel(QUEUE_LENGTH);
        let link = Self {
            peer: peer.clone(),
            address: address.to_owned(),
            queue: sender,
            sequence: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            deferred: Mutex::default(),
        };
        let dialer = PeerDialer {
            peer: peer.clone(),
            address: address.to_owned(),
            queue: receiver,
        };
        (link, dialer)
    }

    /// The address that the link dials.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Number of messages and bytes queued so far.
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
        let frame = encode_frame(&envelope);
        let length = frame.len() as u64;
        self.sent_bytes.fetch_add(length, Ordering::Relaxed);
        metrics::counter!("lws_peer_sent_messages").increment(1);
        metrics::counter!("lws_peer_sent_bytes").increment(length);
        self.queue.try_send(frame).map_err(|error| {
            metrics::counter!("lws_peer_unsent_messages").increment(1);
            log_event::debug(
                &event::PEER_LINK_FULL,
                format_args!("peer={} cause=\"{error}\"", self.peer),
            );
            LinkError::Full(self.peer.clone())
        })
    }
}

/// Keeps the connection of an [`OutboundLink`], and writes what is queued.
pub(crate) struct PeerDialer {
    peer: MemberId,
    address: String,
    queue: Receiver<Vec<u8>>,
}

impl PeerDialer {
    /// Runs until the link is dropped and its queue is written, or the peer is unreachable then.
    pub(crate) async fn run(mut self) {
        let mut pause = REDIAL_MIN;
        while !self.queue.is_closed() || !self.queue.is_empty() {
            let dialled = timeout(DIAL_TIMEOUT, self.dial()).await;
            let cause = match dialled {
                Ok(Ok(stream)) => {
                    pause = REDIAL_MIN;
                    match self.write_queue(stream).await {
                        Ok(()) => return,
                        Err(error) => error.to_string(),
                    }
                }
                Ok(Err(error)) => error.to_string(),
                Err(_) => "timed out".to_owned(),
            };
            log_event::debug(
                &event::PEER_LINK_DOWN,
                format_args!("peer={} cause=\"{cause}\"", self.peer),
            );
            if self.queue.is_closed() {
                return;
            }
            sleep(pause).await;
            pause = (pause * 2).min(REDIAL_MAX);
            self.drop_queue();
        }
    }

    async fn dial(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address.as_str()).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
        LinkSide::Sender.shake_hands(&mut stream).await?;
        Ok(stream)
    }

    /// Writes what is queued until the link is dropped.
    ///
    /// # Errors
    /// If the connection ends. The message that was being written is lost.
    async fn write_queue(&mut self, mut stream: TcpStream) -> io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let mut unexpected = [0; 1];
        loop {
            tokio::select! {
                frame = self.queue.recv() => match frame {
                    Some(frame) => writer.write_all(&frame).await?,
                    None => return writer.shutdown().await,
                },
                // A receiver sends nothing, so this is the end of the connection.
                read = reader.read(&mut unexpected) => {
                    read?;
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
        }
    }

    /// Drops the messages that were queued while the peer was unreachable. The protocols repeat
    /// them or have replaced them.
    fn drop_queue(&mut self) {
        while self.queue.try_recv().is_ok() {
            metrics::counter!("lws_peer_unsent_messages").increment(1);
        }
    }
}
