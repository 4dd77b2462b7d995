//! Claims of request ids, so that a non-idempotent request runs at most once however its
//! caller repeats it.
//!
//! Start with [`ClaimDesk`]. The state is `decide::claim::ClaimLedger`; here are only the
//! messages around it.

mod claim_desk;

pub use claim_desk::ClaimDesk;
