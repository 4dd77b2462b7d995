//! The audit trail: who changed what, in the store, chained by digests.
//!
//! [`AuditKeeper`] writes it, [`AuditStore`] keeps it and [`verify_chain`] shows
//! tampering. `docs/design/11-audit.md` argues the layout.

mod audit_chain;
mod audit_keeper;
mod audit_store;
mod config_history;
mod trail_lane;

pub use audit_chain::{AuditDraft, ChainFault, append_entry, entry_digest, verify_chain};
pub use audit_keeper::{AuditKeeper, ConfigWatch};
pub use audit_store::{AuditBatch, AuditStore, TrailName};
pub use config_history::ConfigHistory;
