//! Generated types of the messages between entry hosts and of the records in the store.
//!
//! Start with [`peer::Envelope`] for what entry hosts send each other, [`state`] for
//! what they agree on, and [`fleet`] for hosts and jobs. The sources are the files in
//! `crates/wire/proto`; `cargo run -p codegen` writes the code below `generated/`.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/peer.rs"]
pub mod peer;

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/state.rs"]
pub mod state;

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/fleet.rs"]
pub mod fleet;

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/work.rs"]
pub mod work;
