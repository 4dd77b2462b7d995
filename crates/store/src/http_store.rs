use std::{sync::Arc, time::Duration};

use serde::Deserialize;

use crate::{
    CallKind, KeyStore, StoreCounts, StoreError, StoreVersion, StoredValue,
    hex_text::decode_hex,
    http_caller::{CallAnswer, CallError, CallPlan, HttpCaller},
};

/// Maximum size of a value in bytes, set by the store.
const MAX_VALUE: usize = 1024 * 1024;
/// Maximum size of a response in bytes: a value and what surrounds it.
const MAX_ANSWER: u64 = MAX_VALUE as u64 + 64 * 1024;
/// Maximum size of a listing in bytes; values are hex encoded, which doubles their size.
const MAX_LISTING: u64 = 32 * 1024 * 1024;
/// Time that the response to a watch may take beyond the requested wait.
const WATCH_MARGIN: Duration = Duration::from_millis(800);

/// The platform's store over HTTP, as `docs/PLATFORM.md` describes it.
///
/// Each call is made once and ends within the timeout. `Unavailable` is returned only if the
/// store did nothing: no connection was made, or the status was 503. Any later failure is
/// `Unknown`. [`crate::RetryStore`] adds retries.
#[derive(Debug)]
pub struct HttpStore {
    caller: HttpCaller,
    base: String,
    timeout: Duration,
    counts: Arc<StoreCounts>,
}

impl HttpStore {
    /// Creates a client of the store at `base`, such as `http://10.0.0.1:7000`, that waits at
    /// most `timeout` for a response.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new("store"),
            base: base.trim_end_matches('/').to_owned(),
            timeout,
            counts: Arc::new(StoreCounts::default()),
        }
    }

    /// Counts of the calls that this client made.
    pub fn counts(&self) -> Arc<StoreCounts> {
        Arc::clone(&self.counts)
    }

    fn call(&self, kind: CallKind, plan: &CallPlan<'_>) -> Result<CallAnswer, StoreError> {
        self.counts.count_call(kind);
        let result = match self.caller.call(plan) {
            Ok(answer) => check_status(answer),
            Err(CallError::NotSent(cause)) => Err(StoreError::Unavailable(cause)),
            Err(CallError::NoAnswer(cause)) => Err(StoreError::Unknown(cause)),
        };
        match &result {
            Err(StoreError::Unavailable(_)) => StoreCounts::count_failure(kind, "unavailable"),
            Err(StoreError::Unknown(_)) => StoreCounts::count_failure(kind, "unknown"),
            Err(StoreError::Rejected(_)) => StoreCounts::count_failure(kind, "rejected"),
            _ => {}
        }
        result
    }

    fn plan<'a>(&self, method: &'static str, path: &str) -> CallPlan<'a> {
        CallPlan {
            method,
            url: format!("{}{path}", self.base),
            if_version: None,
            if_none_match: None,
            body: &[],
            timeout: self.timeout,
            max_answer: MAX_ANSWER,
        }
    }
}

impl KeyStore for HttpStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        check_key(key)?;
        let plan = self.plan("GET", &format!("/v1/keys/{key}"));
        stored_value(self.call(CallKind::Read, &plan)?)
    }

    fn swap(
        &self,
        key: &str,
        expect: StoreVersion,
        value: &[u8],
    ) -> Result<StoreVersion, StoreError> {
        check_key(key)?;
        if value.len() > MAX_VALUE {
            return Err(StoreError::Rejected(format!(
                "value of {} bytes, at most {MAX_VALUE} are allowed",
                value.len()
            )));
        }
        let mut plan = self.plan("PUT", &format!("/v1/keys/{key}"));
        plan.if_version = Some(expect);
        plan.body = value;
        let answer = self.call(CallKind::Swap, &plan)?;
        check_written(&answer)?;
        answer
            .version
            .ok_or_else(|| StoreError::Unknown("answer without a version".to_owned()))
    }

    fn remove(&self, key: &str, expect: StoreVersion) -> Result<(), StoreError> {
        check_key(key)?;
        let mut plan = self.plan("DELETE", &format!("/v1/keys/{key}"));
        plan.if_version = Some(expect);
        check_written(&self.call(CallKind::Remove, &plan)?)
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        max_wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        check_key(key)?;
        let wait = max_wait.as_millis();
        let mut plan = self.plan(
            "GET",
            &format!("/v1/keys/{key}?after={after}&wait_ms={wait}"),
        );
        plan.timeout = max_wait + WATCH_MARGIN.max(self.timeout);
        stored_value(self.call(CallKind::Watch, &plan)?)
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoredValue)>, StoreError> {
        check_key(prefix)?;
        let mut plan = self.plan("GET", &format!("/v1/list?prefix={prefix}"));
        plan.max_answer = MAX_LISTING;
        let answer = self.call(CallKind::List, &plan)?;
        let rows: Vec<ListRow> = serde_json::from_slice(&answer.body)
            .map_err(|error| invalid_answer(&error.to_string()))?;
        rows.into_iter().map(ListRow::into_entry).collect()
    }
}

/// One row of a listing.
#[derive(Debug, Deserialize)]
struct ListRow {
    key: String,
    version: StoreVersion,
    value: String,
}

impl ListRow {
    fn into_entry(self) -> Result<(String, StoredValue), StoreError> {
        let value = decode_hex(&self.value).ok_or_else(|| invalid_answer("value is not hex"))?;
        let stored = StoredValue {
            version: self.version,
            value,
        };
        Ok((self.key, stored))
    }
}

fn invalid_answer(cause: &str) -> StoreError {
    StoreError::Unknown(format!("unreadable answer: {cause}"))
}

/// Rejects keys with characters that have a meaning in a URL.
fn check_key(key: &str) -> Result<(), StoreError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_/".contains(&byte);
    if key.bytes().all(allowed) {
        return Ok(());
    }
    Err(StoreError::Rejected(format!(
        "key {key:?}: letters, digits, '.', '-', '_' and '/' are allowed"
    )))
}

fn check_status(answer: CallAnswer) -> Result<CallAnswer, StoreError> {
    let text = || format!("status {}", answer.status);
    match answer.status {
        200 | 204 | 404 | 409 => Ok(answer),
        503 => Err(StoreError::Unavailable(text())),
        400..=499 => Err(StoreError::Rejected(text())),
        _ => Err(StoreError::Unknown(text())),
    }
}

fn stored_value(answer: CallAnswer) -> Result<Option<StoredValue>, StoreError> {
    match (answer.status, answer.version) {
        (204 | 404, _) => Ok(None),
        (200, Some(version)) => Ok(Some(StoredValue {
            version,
            value: answer.body,
        })),
        (status, _) => Err(invalid_answer(&format!("status {status}"))),
    }
}

fn check_written(answer: &CallAnswer) -> Result<(), StoreError> {
    match (answer.status, answer.version) {
        (200, _) => Ok(()),
        (409, Some(current)) => Err(StoreError::Conflict { current }),
        (status, _) => Err(invalid_answer(&format!("status {status}"))),
    }
}
