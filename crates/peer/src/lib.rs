//! Sockets and messaging between entry hosts.
//!
//! Start with [`PeerNode`]: it listens for other entry hosts, dials each of them, and
//! implements [`ports::PeerLink`]. Messages are protobuf, see `crates/wire/proto/peer.proto`.
//! Delivery is not guaranteed, so the protocols above tolerate loss, delay and duplicates. The
//! design is explained in `docs/design/01-membership.md`.

pub mod event;

mod body_kind;
mod frame;
mod inbound_router;
mod outbound_link;
mod peer_loop;
mod peer_node;

pub use body_kind::BodyKind;
pub use peer_node::{PeerNode, PeerTraffic};
