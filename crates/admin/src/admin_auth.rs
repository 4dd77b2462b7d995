use std::sync::Arc;

use model::{KeyId, KeyText, event as log_event};
use ports::ConfigSource;
use store::Clock;
use subtle::ConstantTimeEq;
use wire::state::KeyRecord;

use crate::{event, key_secret::record_of_digest};

/// Checks administration keys against the configuration in force.
pub(crate) struct AdminAuth {
    config: Arc<dyn ConfigSource>,
    clock: Arc<dyn Clock>,
    bootstrap: Option<KeyRecord>,
}

impl AdminAuth {
    pub(crate) fn new(
        config: Arc<dyn ConfigSource>,
        clock: Arc<dyn Clock>,
        bootstrap_key: &str,
    ) -> Self {
        Self {
            config,
            clock,
            bootstrap: record_of_digest(bootstrap_key),
        }
    }

    /// The id of the granted key that `authorization` presents; `None` if it presents none.
    ///
    /// The bootstrap key counts only while no administration key is granted, so that it
    /// stops being a way in once operators have keys of their own, and is one again if
    /// they withdraw the last.
    pub(crate) fn check(&self, authorization: &str) -> Option<KeyId> {
        let key = KeyText::parse(authorization.strip_prefix("Bearer ")?.trim())?;
        let config = self.config.current();
        let now = u64::try_from(self.clock.unix_now().as_millis()).unwrap_or(u64::MAX);
        let counts = |record: &&KeyRecord| {
            record.admin && (record.expires_unix_ms == 0 || now < record.expires_unix_ms)
        };
        let granted = config.keys.get(&key.key_id).filter(counts);
        if let Some(record) = granted {
            return matches(&key, record).then_some(key.key_id);
        }
        if config.keys.values().any(|record| counts(&record)) {
            return None;
        }
        let record = self.bootstrap.as_ref()?;
        if record.key_id != key.key_id || !matches(&key, record) {
            return None;
        }
        log_event::warn(
            &event::BOOTSTRAP_KEY_USED,
            format_args!("key={}", key.key_id),
        );
        Some(key.key_id)
    }
}

/// Compares in constant time, so that answers do not tell how much of a digest fits.
fn matches(key: &KeyText, record: &KeyRecord) -> bool {
    key.digest(&record.salt)
        .ct_eq(record.digest.as_slice())
        .into()
}
