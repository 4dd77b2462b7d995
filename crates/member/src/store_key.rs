//! Keys of this crate in the store, and functions to read their values.

use model::{Revision, StepError, TeamId, event as log_event};
use prost::Message;
use store::{KeyStore, StoreError, StoreVersion};

use crate::event;

/// Key of the member list.
pub(crate) const MEMBERS: &str = "members";
/// Key of the newest configuration.
pub(crate) const CONFIG: &str = "config";
/// Prefix of the keys of configuration bases.
pub(crate) const CONFIG_BASES: &str = "config/base/";

/// Key of a new base. The suffix keeps two concurrent changes for the same revision from writing
/// the same key.
pub(crate) fn config_base(revision: Revision, suffix: &str) -> String {
    format!("{CONFIG_BASES}{revision:020}-{suffix}")
}

/// Key of a team's quota record.
pub(crate) fn quota_key(team: &TeamId) -> String {
    format!("quota/{team}")
}

/// Reads a record; an absent key yields an empty record at version 0.
pub(crate) fn read_record<M: Message + Default>(
    store: &dyn KeyStore,
    key: &str,
) -> Result<(StoreVersion, M), StoreError> {
    let Some(stored) = store.read(key)? else {
        return Ok((0, M::default()));
    };
    Ok((stored.version, decode_record(key, &stored.value)?))
}

/// Decodes a record. If that fails, the host keeps the state that it has, and the error is
/// logged.
pub(crate) fn decode_record<M: Message + Default>(
    key: &str,
    bytes: &[u8],
) -> Result<M, StoreError> {
    M::decode(bytes).map_err(|error| {
        log_event::error(
            &event::STORE_RECORD_BROKEN,
            format_args!("key={key} cause={error}"),
        );
        StoreError::Rejected(format!("record {key}: {error}"))
    })
}

/// Adds the failed step to a store error.
pub(crate) fn store_step_error(step: &'static str, error: StoreError) -> StepError {
    StepError::new(step, "store", error)
}
