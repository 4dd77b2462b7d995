use std::{collections::BTreeMap, sync::Arc, time::Duration};

use anyhow::Result;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{
    CallHandler, FakeReply, FakeServer, HttpCall, ReplyFuture, StoreFaults, StoreHistory,
    StoreWrite, boot_nanos,
    hex_text::encode_hex,
    store_call::{StoreCallKind, WriteRefusal},
    store_state::StoreState,
};

/// A stand-in of the platform's configuration store.
///
/// The calls are those of `docs/PLATFORM.md`. A client may put `/view/NAME` before the
/// path: faults can be set for one view alone, and calls are counted by view, which tells
/// entry hosts apart. `POST /fake/faults[?view=NAME]`, `GET /fake/counts` and
/// `GET /fake/history?after=N` are for tests.
#[derive(Debug)]
pub struct StoreFake {
    server: FakeServer,
    handler: Arc<StoreHandler>,
}

/// Calls of the store by kind; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreCalls {
    /// Reads of one key.
    pub read: u64,
    /// Writes, conflicts included.
    pub swap: u64,
    /// Removals.
    pub remove: u64,
    /// Watches.
    pub watch: u64,
    /// Listings.
    pub list: u64,
    /// Calls of all kinds that were refused because of a rate ceiling.
    pub over_rate: u64,
}

/// Calls of the store by view; the empty view holds calls without one.
pub type ViewCalls = BTreeMap<String, StoreCalls>;

impl StoreFake {
    /// Answers at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// If the address can't be listened on.
    pub fn start(address: &str) -> Result<Self> {
        let handler = Arc::new(StoreHandler::default());
        let server = FakeServer::start(address, Arc::<StoreHandler>::clone(&handler))?;
        Ok(Self { server, handler })
    }

    /// Base URL for clients.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// The server that answers.
    pub fn server(&self) -> &FakeServer {
        &self.server
    }

    /// Replaces the faults of all views that have none of their own.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.handler.set_faults("", faults);
    }

    /// Replaces the faults of one view.
    pub fn set_view_faults(&self, view: &str, faults: StoreFaults) {
        self.handler.set_faults(view, faults);
    }

    /// Calls so far by view.
    pub fn calls(&self) -> ViewCalls {
        self.handler.state.lock().calls.clone()
    }

    /// Writes that took effect, from index `after` on.
    pub fn history(&self, after: u64) -> StoreHistory {
        self.handler.state.lock().history_after(after)
    }
}

#[derive(Debug, Default)]
struct StoreHandler {
    state: Mutex<StoreState>,
    written: Notify,
}

/// A call of a client, its view taken off the path.
struct StoreCall {
    view: String,
    path: String,
    call: HttpCall,
}

impl StoreCall {
    fn new(call: HttpCall) -> Self {
        let Some(rest) = call.path.strip_prefix("/view/") else {
            let path = call.path.clone();
            return Self {
                view: String::new(),
                path,
                call,
            };
        };
        let (view, path) = rest.split_once('/').unwrap_or((rest, ""));
        Self {
            view: view.to_owned(),
            path: format!("/{path}"),
            call,
        }
    }

    fn key(&self) -> Option<&str> {
        self.path.strip_prefix("/v1/keys/")
    }

    fn is_watch(&self) -> bool {
        self.call.method == "GET" && self.call.query_value("after").is_some()
    }
}

impl CallHandler for StoreHandler {
    fn handle(self: Arc<Self>, call: HttpCall) -> ReplyFuture {
        if call.path.starts_with("/fake/") {
            let reply = self.control(&call);
            return Box::pin(async move { reply });
        }
        Box::pin(self.serve(StoreCall::new(call)))
    }
}

impl StoreHandler {
    fn set_faults(&self, view: &str, faults: StoreFaults) {
        self.state.lock().set_faults(view, faults);
        self.written.notify_waiters();
    }

    fn control(&self, call: &HttpCall) -> FakeReply {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/fake/faults") => {
                let Some(faults) = call.json::<StoreFaults>() else {
                    return FakeReply::status(400);
                };
                self.set_faults(call.query_value("view").unwrap_or_default(), faults);
                FakeReply::status(200)
            }
            ("GET", "/fake/counts") => FakeReply::json(&self.state.lock().calls),
            ("GET", "/fake/history") => {
                let after = call.query_number("after").unwrap_or_default();
                FakeReply::json(&self.state.lock().history_after(after))
            }
            _ => FakeReply::status(404),
        }
    }

    async fn serve(self: Arc<Self>, call: StoreCall) -> FakeReply {
        let admitted = self
            .state
            .lock()
            .admit(&call.view, kind_of(&call), boot_nanos());
        if !admitted {
            return FakeReply::status(503);
        }
        let faults = self.state.lock().faults(&call.view);
        if faults.silent {
            return std::future::pending().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if self.state.lock().faults(&call.view).down {
            return FakeReply::status(503);
        }
        match call.call.method.as_str() {
            "GET" if call.path == "/v1/list" => self.list(&call),
            "GET" if call.is_watch() => self.watch(&call).await,
            "GET" => self.read(&call),
            "PUT" | "DELETE" => self.write(&call),
            _ => FakeReply::status(405),
        }
    }

    fn list(&self, call: &StoreCall) -> FakeReply {
        let prefix = call.call.query_value("prefix").unwrap_or_default();
        FakeReply::json(&self.state.lock().list(prefix))
    }

    fn read(&self, call: &StoreCall) -> FakeReply {
        let Some(key) = call.key() else {
            return FakeReply::status(404);
        };
        match self.state.lock().read(&call.view, key) {
            Some((version, value)) => valued(version, value),
            None => FakeReply::status(404),
        }
    }

    async fn watch(&self, call: &StoreCall) -> FakeReply {
        let Some(key) = call.key() else {
            return FakeReply::status(404);
        };
        let after = call.call.query_number("after").unwrap_or_default();
        let wait = call.call.query_number("wait_ms").unwrap_or_default();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait);
        loop {
            let written = self.written.notified();
            let (newer, faults) = {
                let state = self.state.lock();
                (state.newer(key, after), state.faults(&call.view))
            };
            if faults.down {
                return FakeReply::status(503);
            }
            let blind = faults.watch_stale || faults.watch_hang || faults.watch_old;
            if !blind && let Some((version, value)) = newer {
                return valued(version, value);
            }
            if tokio::time::timeout_at(deadline, written).await.is_err() {
                break;
            }
        }
        let faults = self.state.lock().faults(&call.view);
        if faults.watch_hang {
            return std::future::pending().await;
        }
        let old = self.state.lock().replaced(key);
        match old.filter(|_| faults.watch_old) {
            Some((version, value)) => valued(version, value),
            None => FakeReply::status(204),
        }
    }

    fn write(&self, call: &StoreCall) -> FakeReply {
        let Some(key) = call.key() else {
            return FakeReply::status(404);
        };
        let Some(expect) = call.call.header_number("If-Version") else {
            return FakeReply::status(400);
        };
        if !call.call.whole {
            return FakeReply::status(400);
        }
        let value = (call.call.method == "PUT").then_some(call.call.body.as_slice());
        let mut state = self.state.lock();
        let result = state.write(&call.view, key, expect, value);
        let lost = result.is_ok() && state.loses_answer(&call.view);
        drop(state);
        if result.is_ok() {
            self.written.notify_waiters();
        }
        if lost {
            return FakeReply::lost();
        }
        match result {
            Ok(version) => FakeReply::status(200).with_header("Version", &version),
            Err(WriteRefusal::Conflict(current)) => {
                FakeReply::status(409).with_header("Version", &current)
            }
            Err(WriteRefusal::TooLarge) => FakeReply::status(413),
        }
    }
}

fn kind_of(call: &StoreCall) -> StoreCallKind {
    match call.call.method.as_str() {
        "PUT" => StoreCallKind::Swap,
        "DELETE" => StoreCallKind::Remove,
        _ if call.path == "/v1/list" => StoreCallKind::List,
        _ if call.is_watch() => StoreCallKind::Watch,
        _ => StoreCallKind::Read,
    }
}

fn valued(version: u64, value: Vec<u8>) -> FakeReply {
    FakeReply::status(200)
        .with_header("Version", &version)
        .with_body(value)
}

impl StoreWrite {
    pub(crate) fn new(
        view: &str,
        key: &str,
        before: u64,
        after: u64,
        value: Option<&[u8]>,
    ) -> Self {
        Self {
            at_ns: boot_nanos(),
            view: view.to_owned(),
            key: key.to_owned(),
            before,
            after,
            removed: value.is_none(),
            value: encode_hex(value.unwrap_or_default()),
        }
    }
}
