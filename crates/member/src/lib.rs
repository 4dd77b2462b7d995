//! Member list, serving lease, configuration in force and team quotas of an entry host.
//!
//! Start with [`MemberService`]: it runs the threads and implements the traits of `ports`. The
//! decisions are made in the crate `decide`; this crate has the threads, the store calls and the
//! messages. The design is explained in `docs/design/01-membership.md`,
//! `docs/design/02-configuration.md` and `docs/design/05-quotas.md`.

pub mod event;

mod change_submission;
mod config_holder;
mod heartbeat_loop;
mod incarnation;
mod local_quota;
mod member_options;
mod member_service;
mod probe_loop;
mod quota_call;
mod quota_loop;
mod quota_store_loop;
mod shared_state;
mod store_key;
mod store_loop;
mod watch_loop;

pub use incarnation::claim_incarnation;
pub use member_options::MemberOptions;
pub use member_service::MemberService;
