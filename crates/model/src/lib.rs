//! Ids, manifest, settings, error types and the event catalogue shared by every crate.
//!
//! Start with [`Manifest`], the desired state that operators declare, and [`ServeSettings`],
//! the local settings of one process. Nothing here does I/O. The terms for hosts, pools and
//! teams are defined in `docs/GLOSSARY.md`.

mod cell_settings;
pub mod event;
mod id;
mod ini_text;
mod key_rule;
mod key_text;
mod manifest;
mod manifest_advice;
mod manifest_check;
mod manifest_text;
mod problem;
mod settings;
mod settings_text;
mod step_error;
mod text_error;
mod value_text;
pub mod work;

pub use cell_settings::CellSettings;
pub use event::{EventCode, EventInfo};
pub use id::{
    BootTime, ChangeId, DataCentreId, HostId, HostStrength, Incarnation, JobId, KeyId, MemberId,
    PoolId, RackId, RequestId, Revision, ServiceId, TeamId, WorkspaceId,
};
pub use key_rule::KeyInfo;
pub use key_text::{KEY_SALT_LEN, KeyText};
pub use manifest::{
    HostRole, Manifest, PoolSpec, ServiceSpec, TeamSpec, WindowSpec, WorkspaceSpec,
};
pub use manifest_advice::ManifestAdvice;
pub use manifest_text::{ManifestError, SectionTexts};
pub use problem::{ProblemKind, RunFate};
pub use settings::{PeerSetting, ServeSettings, SettingsError};
pub use step_error::StepError;
pub use text_error::{TextError, decode_utf8};
