//! The narrow interfaces at which the areas of the system meet.
//!
//! Each trait here is offered by one crate and used by others as a trait object, so that
//! the crates depend on this one and not on each other. `ARCHITECTURE.md` shows which
//! crate offers which.

mod audit;
mod change;
mod claim;
mod config;
mod gate;
mod job;
mod link;
mod member;
mod quota;
mod slot;
mod status;
mod target;

pub use audit::{AuditNote, AuditSink};
pub use change::{ChangeError, ChangeOutcome, ChangeRequest, ChangeSink};
pub use claim::{ClaimSource, ClaimVerdict};
pub use config::{ConfigSource, ForceConfig};
pub use gate::{NotServing, ServingGate};
pub use job::{JobError, JobRequest, JobSink, JobView};
pub use link::{InboundMessage, LinkError, PeerLink};
pub use member::{MemberInfo, MemberSource};
pub use quota::{QuotaPermit, QuotaSource};
pub use slot::{PoolDemand, SlotLease, SlotSource, TargetSlots, TeamDemand, TeamUse};
pub use status::{HostStatus, MemberStatus, StatusSource, TeamStatus};
pub use target::{TargetHost, TargetSource, TargetState};
