//! The interfaces between the areas of the system.
//!
//! Each trait here is implemented by one crate and used by others as a trait object, so that
//! the crates depend on this one and not on each other. `ARCHITECTURE.md` shows which
//! crate implements which trait.

mod advice_port;
mod audit;
mod caller_service;
mod change;
mod claim;
mod config;
mod fleet_codec;
mod gate;
mod host_control;
mod job;
mod lease_store;
mod link;
mod member;
mod quota;
mod slot;
mod status;
mod target;
mod target_port;

pub use advice_port::{AdvicePort, AdviceTicket};
pub use audit::{AuditRecord, AuditSink};
pub use caller_service::{CallerAction, CallerAnswer, CallerCall, CallerService, JobProgress};
pub use change::{ChangeError, ChangeOutcome, ChangeRequest, ChangeSink};
pub use claim::{ClaimSource, ClaimVerdict};
pub use config::{ActiveConfig, ConfigSource};
pub use fleet_codec::FleetCodec;
pub use gate::{NotServing, ServingGate};
pub use host_control::HostControl;
pub use job::{JobError, JobRequest, JobSink, JobView};
pub use lease_store::{
    LeaseId, LeaseStore, LeaseStoreError, PortFuture, StoreChange, StoreChanges, StoreEvent,
    StoreItem, StoreOutcome, StorePage, StoreRevision, StoreWrite,
};
pub use link::{InboundMessage, LinkError, PeerLink};
pub use member::{MemberInfo, MemberSource};
pub use quota::{QuotaPermit, QuotaSource};
pub use slot::{PoolDemand, SlotLease, SlotSource, TargetSlots, TeamDemand, TeamUse};
pub use status::{HostStatus, MemberStatus, StatusSource, TeamStatus};
pub use target::{TargetHost, TargetSource, TargetState};
pub use target_port::TargetPort;
