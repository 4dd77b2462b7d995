//! Claims of request ids, which ensure that a non-idempotent request runs at most once even
//! if its caller repeats it.
//!
//! Start with [`ClaimService`]. The state is `decide::claim::ClaimLedger`; this module
//! exchanges the messages.

mod claim_service;

pub use claim_service::ClaimService;
