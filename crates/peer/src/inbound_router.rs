use crate::event;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use model::event as log_event;
use model::{Incarnation, MemberId};
use ports::InboundMessage;
use prost::Message as _;
use wire::peer::{Envelope, envelope::Body};

use crate::BodyKind;

/// Maximum number of queued messages of one kind.
///
/// If the reading thread falls behind, new messages are dropped. This bounds the memory; senders
/// repeat or replace all messages.
const QUEUE_LENGTH: usize = 1024;

/// Decodes messages and puts each into the queue of its kind.
pub(crate) struct InboundRouter {
    own: MemberId,
    senders: Vec<Sender<InboundMessage>>,
    receivers: Vec<Receiver<InboundMessage>>,
}

impl InboundRouter {
    /// Creates a router with an empty queue for each kind.
    pub(crate) fn new(own: MemberId) -> Self {
        let (senders, receivers): (Vec<_>, Vec<_>) =
            BodyKind::ALL.iter().map(|_| bounded(QUEUE_LENGTH)).unzip();
        Self {
            own,
            senders,
            receivers,
        }
    }

    /// The queue of `kind`; kinds that one thread handles share a queue.
    pub(crate) fn receiver(&self, kind: BodyKind) -> Receiver<InboundMessage> {
        self.receivers[kind.queue_kind().index()].clone()
    }

    /// Decodes `bytes` and queues the message, or counts it as dropped with the reason.
    pub(crate) fn route(&self, bytes: &[u8]) {
        metrics::counter!("lws_peer_received_messages").increment(1);
        metrics::counter!("lws_peer_received_bytes").increment(bytes.len() as u64);
        let Ok(envelope) = Envelope::decode(bytes) else {
            return self.drop_message("broken", "");
        };
        if envelope.from.is_empty() || envelope.from == self.own.as_str() {
            return self.drop_message("misdirected", &envelope.from);
        }
        let from = MemberId::from(envelope.from);
        let bodies = envelope.earlier.into_iter().map(|earlier| earlier.body);
        for body in bodies.chain([envelope.body]) {
            self.queue(&from, envelope.incarnation, body);
        }
    }

    fn queue(&self, from: &MemberId, incarnation: Incarnation, body: Option<Body>) {
        let Some(body) = body else {
            return self.drop_message("unknown-body", from);
        };
        let kind = BodyKind::of(&body);
        let message = InboundMessage {
            from: from.clone(),
            incarnation,
            body,
        };
        match self.senders[kind.queue_kind().index()].try_send(message) {
            Ok(()) => {}
            Err(TrySendError::Full(message) | TrySendError::Disconnected(message)) => {
                self.drop_message("queue-full", &message.from);
            }
        }
    }

    fn drop_message(&self, reason: &'static str, from: &str) {
        metrics::counter!("lws_peer_dropped_messages", "reason" => reason).increment(1);
        log_event::debug(
            &event::PEER_MESSAGE_DROPPED,
            format_args!("from={from} reason={reason}"),
        );
    }
}
