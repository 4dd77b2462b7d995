use std::{collections::VecDeque, io::Write as _, sync::Arc};

use anyhow::Result;
use flate2::{Compression, write::GzEncoder};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{CallHandler, FakeReply, FakeServer, HttpCall, ReplyFuture, boot_nanos, digest_bytes};

const NANOS_PER_MILLI: u64 = 1_000_000;

/// One host as the list writes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostRow {
    /// Its id.
    pub host: String,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// `executor` or `worker`.
    pub role: String,
    /// Service whose requests it answers, for an executor.
    pub service: String,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Rack that it stands in.
    pub rack: String,
    /// Processors.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// True once the platform takes the host away.
    pub leaving: bool,
}

/// Behaviour of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListFaults {
    /// Age of what the list shows, in milliseconds.
    pub lag_ms: u64,
    /// Answers 503.
    pub down: bool,
}

/// A stand-in of the platform's host list, which lags.
///
/// `POST /fake/hosts` replaces the hosts, `POST /fake/faults` sets the lag.
#[derive(Debug)]
pub struct HostListFake {
    server: FakeServer,
    handler: Arc<HostListHandler>,
}

impl HostListFake {
    /// Answers at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// If the address can't be listened on.
    pub fn start(address: &str) -> Result<Self> {
        let handler = Arc::new(HostListHandler::default());
        let server = FakeServer::start(address, Arc::<HostListHandler>::clone(&handler))?;
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

    /// Replaces the hosts; the list shows them once the lag has passed.
    pub fn set_hosts(&self, hosts: Vec<HostRow>) {
        self.handler.set_hosts(hosts);
    }

    /// Replaces the behaviour.
    pub fn set_faults(&self, faults: HostListFaults) {
        self.handler.state.lock().faults = faults;
    }
}

#[derive(Debug, Default)]
struct HostListHandler {
    state: Mutex<HostListState>,
}

#[derive(Debug, Default)]
struct HostListState {
    faults: HostListFaults,
    /// What was set when, newest last.
    lists: VecDeque<(u64, Vec<HostRow>)>,
}

impl HostListState {
    fn shown(&mut self) -> Vec<HostRow> {
        let visible = boot_nanos().saturating_sub(self.faults.lag_ms * NANOS_PER_MILLI);
        while self.lists.get(1).is_some_and(|(at, _)| *at <= visible) {
            self.lists.pop_front();
        }
        match self.lists.front() {
            Some((at, hosts)) if *at <= visible => hosts.clone(),
            _ => Vec::new(),
        }
    }
}

impl HostListHandler {
    fn set_hosts(&self, hosts: Vec<HostRow>) {
        self.state.lock().lists.push_back((boot_nanos(), hosts));
    }

    fn reply(&self, call: &HttpCall) -> FakeReply {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/hosts") => {
                let mut state = self.state.lock();
                if state.faults.down {
                    return FakeReply::status(503);
                }
                tagged_list(call, &state.shown())
            }
            ("POST", "/fake/hosts") => match call.json::<Vec<HostRow>>() {
                Some(hosts) => {
                    self.set_hosts(hosts);
                    FakeReply::status(200)
                }
                None => FakeReply::status(400),
            },
            ("POST", "/fake/faults") => match call.json::<HostListFaults>() {
                Some(faults) => {
                    self.state.lock().faults = faults;
                    FakeReply::status(200)
                }
                None => FakeReply::status(400),
            },
            _ => FakeReply::status(404),
        }
    }
}

// Answers 304 to a client that has this list, and packs it for one that can unpack it.
fn tagged_list(call: &HttpCall, hosts: &[HostRow]) -> FakeReply {
    let reply = FakeReply::json(&hosts);
    let tag = format!("\"{:016x}\"", digest_bytes(&reply.body));
    if call.header("If-None-Match") == tag {
        return FakeReply::status(304).with_header("ETag", &tag);
    }
    let reply = reply.with_header("ETag", &tag);
    if !call.header("Accept-Encoding").contains("gzip") {
        return reply;
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    match encoder
        .write_all(&reply.body)
        .and_then(|()| encoder.finish())
    {
        Ok(packed) => reply
            .with_header("Content-Encoding", "gzip")
            .with_body(packed),
        Err(_) => reply,
    }
}

impl CallHandler for HostListHandler {
    fn handle(self: Arc<Self>, call: HttpCall) -> ReplyFuture {
        let reply = self.reply(&call);
        Box::pin(async move { reply })
    }
}
