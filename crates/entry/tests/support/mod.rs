//! Stubs for the dependencies of an entry server, and a target that fails on demand.
#![allow(
    dead_code,
    unused_imports,
    missing_docs,
    clippy::unwrap_used,
    reason = "each test file uses a part of it"
)]

mod entry_fixture;
mod http_call;
mod port_stubs;
mod raw_target;

pub use entry_fixture::{
    EntryFixture, FixtureSetup, KEY, OTHER_KEY, OTHER_TEAM, SERVICE, TEAM, key_record,
};
pub use http_call::{CallReply, Caller, raw_exchange};
pub use port_stubs::{
    ClaimLink, JobStub, JumpClock, LinkMesh, QuotaStub, SlotStub, StepClock, TargetStub,
};
pub use raw_target::{RawTarget, TargetCall, TargetReply};
