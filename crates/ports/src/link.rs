use model::{Incarnation, MemberId};
use wire::peer::envelope::Body;

/// A message that arrived from another entry host.
#[derive(Clone, Debug)]
pub struct InboundMessage {
    /// Who sent it.
    pub from: MemberId,
    /// Which life of the sender.
    pub incarnation: Incarnation,
    /// What it says.
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

/// Sends messages to other entry hosts; delivery is not guaranteed.
pub trait PeerLink: Send + Sync {
    /// Queues `body` for `to` and returns at once.
    ///
    /// # Errors
    /// See [`LinkError`]; success does not mean delivery.
    fn send(&self, to: &MemberId, body: Body) -> Result<(), LinkError>;
    /// Queues `body` to go with the next message to `to`, which is a heartbeat at the latest.
    ///
    /// A message of a few bytes costs several times its size in headers; one that can wait
    /// for a heartbeat interval costs nothing but its bytes.
    ///
    /// # Errors
    /// As for [`PeerLink::send`].
    fn send_with_next(&self, to: &MemberId, body: Body) -> Result<(), LinkError> {
        self.send(to, body)
    }
    /// Members that a link exists to, self excluded.
    fn peers(&self) -> Vec<MemberId>;
}
