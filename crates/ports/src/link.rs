use model::{Incarnation, MemberId};
use wire::peer::envelope::Body;

/// A message received from another entry host.
#[derive(Clone, Debug)]
pub struct InboundMessage {
    /// Sender.
    pub from: MemberId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Content of the message.
    pub body: Body,
}

/// Why a message was not sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// No address is known for the member.
    #[error("no link to {0}")]
    NoLink(MemberId),
    /// The outbound queue to the member is full; the message is dropped.
    #[error("link to {0} is full")]
    Full(MemberId),
}

/// Sends messages to other entry hosts. Delivery is not guaranteed.
pub trait PeerLink: Send + Sync {
    /// Queues `body` for `to` and returns at once.
    ///
    /// # Errors
    /// See [`LinkError`]. Success does not imply delivery.
    fn send(&self, to: &MemberId, body: Body) -> Result<(), LinkError>;
    /// Queues `body` to be sent along with the next message to `to`, at the latest the next
    /// heartbeat.
    ///
    /// A separate message of a few bytes costs several times its size in headers. One that can
    /// wait for a heartbeat interval costs only its own bytes.
    ///
    /// # Errors
    /// As for [`PeerLink::send`].
    fn send_with_next(&self, to: &MemberId, body: Body) -> Result<(), LinkError> {
        self.send(to, body)
    }
    /// Members that this host has a link to, itself excluded.
    fn peers(&self) -> Vec<MemberId>;
}
