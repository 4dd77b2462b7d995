//! Bytes of a link: a header from each side, then messages behind their lengths.
//!
//! This is the pipeline (push and pull) of the Scalability Protocols over TCP, which hosts of earlier
//! versions use as well.

use std::io::{Error, ErrorKind, Result};

use prost::Message as _;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use wire::peer::Envelope;

/// Maximum size of a received message in bytes. The largest message sent is a whole
/// configuration, which the store limits to 1 MB.
pub(crate) const MESSAGE_LIMIT: usize = 2 * 1024 * 1024;

const SENDER_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
const RECEIVER_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// Side of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkSide {
    /// It dialled and sends messages.
    Sender,
    /// It listens and receives them.
    Receiver,
}

impl LinkSide {
    /// Exchanges headers.
    ///
    /// # Errors
    /// If the connection is lost, or the other side is no counterpart of this one.
    pub(crate) async fn shake_hands(
        self,
        stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    ) -> Result<()> {
        let (own, expected) = match self {
            Self::Sender => (SENDER_HEADER, RECEIVER_HEADER),
            Self::Receiver => (RECEIVER_HEADER, SENDER_HEADER),
        };
        stream.write_all(&own).await?;
        let mut header = [0; 8];
        stream.read_exact(&mut header).await?;
        match header == expected {
            true => Ok(()),
            false => Err(Error::new(ErrorKind::InvalidData, "no link of a peer")),
        }
    }
}

/// Encodes a message with its length.
pub(crate) fn encode_frame(envelope: &Envelope) -> Vec<u8> {
    let body = envelope.encode_to_vec();
    let mut frame = Vec::with_capacity(size_of::<u64>() + body.len());
    frame.extend_from_slice(&(body.len() as u64).to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Reads the next message into `body`.
///
/// # Errors
/// If the connection ends, or the message is larger than [`MESSAGE_LIMIT`].
pub(crate) async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    body: &mut Vec<u8>,
) -> Result<()> {
    let length = stream.read_u64().await?;
    let Some(length) = usize::try_from(length)
        .ok()
        .filter(|length| *length <= MESSAGE_LIMIT)
    else {
        return Err(Error::new(ErrorKind::InvalidData, "message too large"));
    };
    body.clear();
    body.resize(length, 0);
    stream.read_exact(body).await?;
    Ok(())
}
