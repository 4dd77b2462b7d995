//! Member list, serving lease, configuration in force and team quotas of an entry host.
//!
//! Start with [`MemberService`]: it runs the duties and offers the traits of `ports`. What
//! it decides is in the crate `decide`; here are only the threads, the store calls and the
//! messages. The reasons are in `docs/design/01-membership.md`,
//! `docs/design/02-configuration.md` and `docs/design/05-quotas.md`.

pub mod event;

mod beat_duty;
mod change_submit;
mod config_holder;
mod incarnation;
mod member_options;
mod member_service;
mod probe_duty;
mod quota_book;
mod quota_call;
mod quota_duty;
mod quota_store_duty;
mod shared_state;
mod store_duty;
mod store_key;
mod watch_duty;

pub use incarnation::claim_incarnation;
pub use member_options::MemberOptions;
pub use member_service::MemberService;
