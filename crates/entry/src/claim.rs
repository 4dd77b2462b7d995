//! Claims of request ids, so that a non-idempotent request runs at most once however its
//! caller repeats it.
//!
//! Start with [`ClaimService`]. The state is `decide::claim::ClaimLedger`; here are only the
//! messages around it.

mod claim_service;

pub use claim_service::ClaimService;
