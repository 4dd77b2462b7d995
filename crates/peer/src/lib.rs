//! Sockets and messages between entry hosts.
//!
//! Start with [`PeerNode`]: it listens for other entry hosts, dials each of them, and
//! offers [`ports::PeerLink`]. Messages are protobuf, see `crates/wire/proto/peer.proto`;
//! delivery is not guaranteed, which is why everything above survives loss, delay and
//! repetition. The reasons are in `docs/design/01-membership.md`.

pub mod event;

mod body_kind;
mod inbound_router;
mod outbound_link;
mod peer_node;

pub use body_kind::BodyKind;
pub use peer_node::{PeerNode, PeerTraffic};
