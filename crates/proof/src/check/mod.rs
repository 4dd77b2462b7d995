mod drain_check;
mod force_check;
mod grant_check;
mod key_check;
mod limit_check;
mod member_check;
mod once_check;
mod pool_check;
mod refusal_check;
mod revision_check;
mod whole_check;

pub use drain_check::DrainCheck;
pub use force_check::ForceCheck;
pub use grant_check::GrantCheck;
pub use key_check::KeyCheck;
pub use limit_check::LimitCheck;
pub use member_check::MemberCheck;
pub use once_check::OnceCheck;
pub use pool_check::PoolCheck;
pub use refusal_check::RefusalCheck;
pub use revision_check::{
    KeyRegisterSpec, RegisterOp, RevisionCheck, RevisionOp, RevisionSpec, RevisionState,
    is_linearizable,
};
pub use whole_check::WholeCheck;
