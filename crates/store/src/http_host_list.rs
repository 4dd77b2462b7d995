use std::time::Duration;

use model::HostRole;
use parking_lot::Mutex;
use serde::Deserialize;

use crate::{
    HostEntry, HostList, HostListError,
    http_caller::{CallError, CallPlan, HttpCaller},
};

/// Maximum size of the list in bytes, enough for some 20,000 hosts.
const MAX_ANSWER: u64 = 8 * 1024 * 1024;
const NOT_MODIFIED: u16 = 304;

/// The platform's host list over HTTP, as `docs/PLATFORM.md` describes it.
///
/// At 1,200 hosts the list has some 240 KB and is read each second, far more than the network
/// budget of a node for control traffic. The request is therefore conditional: the server sends
/// the list only if it changed since the last read.
#[derive(Debug)]
pub struct HttpHostList {
    caller: HttpCaller,
    url: String,
    timeout: Duration,
    last: Mutex<Option<TaggedList>>,
}

#[derive(Debug)]
struct TaggedList {
    tag: String,
    hosts: Vec<HostEntry>,
}

impl HttpHostList {
    /// Creates a client of the list at `base`, such as `http://10.0.0.1:7001`; `base` may end in
    /// `/v1/hosts`.
    pub fn new(base: &str, timeout: Duration) -> Self {
        let base = base.trim_end_matches('/').trim_end_matches("/v1/hosts");
        Self {
            caller: HttpCaller::new("host-list"),
            url: format!("{base}/v1/hosts"),
            timeout,
            last: Mutex::new(None),
        }
    }
}

impl HostList for HttpHostList {
    fn hosts(&self) -> Result<Vec<HostEntry>, HostListError> {
        let mut last = self.last.lock();
        let plan = CallPlan {
            method: "GET",
            url: self.url.clone(),
            if_version: None,
            if_none_match: last.as_ref().map(|list| list.tag.as_str()),
            body: &[],
            timeout: self.timeout,
            max_answer: MAX_ANSWER,
        };
        let answer = self.caller.call(&plan).map_err(|error| match error {
            CallError::NotSent(cause) | CallError::NoAnswer(cause) => HostListError(cause),
        })?;
        if answer.status == NOT_MODIFIED
            && let Some(list) = last.as_ref()
        {
            return Ok(list.hosts.clone());
        }
        if answer.status != 200 {
            return Err(HostListError(format!("status {}", answer.status)));
        }
        let rows: Vec<HostRow> = serde_json::from_slice(&answer.body)
            .map_err(|error| HostListError(format!("unreadable answer: {error}")))?;
        let hosts: Vec<HostEntry> = rows.into_iter().map(HostEntry::from).collect();
        // A list without an `ETag` can't be cached and is read in full each time.
        *last = answer.tag.map(|tag| TaggedList {
            tag,
            hosts: hosts.clone(),
        });
        Ok(hosts)
    }
}

/// One host in the JSON form of the list.
#[derive(Debug, Deserialize)]
struct HostRow {
    host: String,
    address: String,
    role: RoleName,
    #[serde(default)]
    service: String,
    #[serde(default)]
    data_centre: String,
    #[serde(default)]
    rack: String,
    #[serde(default)]
    cores: u32,
    #[serde(default)]
    memory_mb: u64,
    #[serde(default)]
    accelerators: u32,
    #[serde(default)]
    leaving: bool,
}

/// Role of a host in the JSON form of the list.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RoleName {
    Executor,
    Worker,
}

impl From<HostRow> for HostEntry {
    fn from(row: HostRow) -> Self {
        let role = match row.role {
            RoleName::Executor => HostRole::Executor,
            RoleName::Worker => HostRole::Worker,
        };
        Self {
            host: row.host.into(),
            address: row.address,
            role,
            service: row.service.into(),
            data_centre: row.data_centre.into(),
            rack: row.rack.into(),
            cores: row.cores,
            memory_mb: row.memory_mb,
            accelerators: row.accelerators,
            leaving: row.leaving,
        }
    }
}
