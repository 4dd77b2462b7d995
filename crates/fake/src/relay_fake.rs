use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Result;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};

use crate::{CallHandler, FakeReply, FakeServer, HttpCall, ReplyFuture};

/// Bytes carried at once.
const CHUNK: usize = 64 * 1024;
/// Bytes carried at once over a link of bounded rate, so that connections take turns.
const NARROW_CHUNK: usize = 1024;
/// How often a silent link looks whether it carries again.
const SILENT_TICK: Duration = Duration::from_millis(10);

/// How a link treats what it carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkMode {
    /// Bytes pass.
    #[default]
    Open,
    /// Nothing passes and nothing closes, as when a switch drops packets.
    Silent,
    /// What is sent arrives, and no answer comes back.
    Unanswered,
    /// Connections are closed, and new ones too.
    Closed,
}

/// State of a link, as set and as shown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkState {
    /// Name of the link.
    pub name: String,
    /// Where it leads, as `ip:port`.
    pub to: String,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// How it treats what it carries.
    pub mode: LinkMode,
    /// Delay one way, in milliseconds.
    pub delay_ms: u64,
    /// Bytes a second in each direction, shared by all connections; 0 for no bound.
    pub bytes_per_s: u64,
}

/// Forwards TCP connections over links that can be cut and delayed.
///
/// `POST /fake/links` with name and destination makes a link and answers its state;
/// `POST /fake/mode` with name, mode and delay changes it; `GET /fake/links` lists them.
#[derive(Debug)]
pub struct RelayFake {
    server: FakeServer,
}

impl RelayFake {
    /// Answers its controls at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// If the address can't be listened on.
    pub fn start(address: &str) -> Result<Self> {
        let server = FakeServer::start(address, Arc::new(RelayHandler::default()))?;
        Ok(Self { server })
    }

    /// The server that answers its controls.
    pub fn server(&self) -> &FakeServer {
        &self.server
    }
}

/// A link, and when each of its directions has carried what was sent so far.
#[derive(Debug)]
struct RelayLink {
    state: Mutex<LinkState>,
    free_at: [Mutex<Instant>; 2],
}

type SharedLink = Arc<RelayLink>;

/// Way of bytes over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkWay {
    There,
    Back,
}

impl RelayLink {
    fn new(state: LinkState) -> SharedLink {
        let now = Instant::now();
        Arc::new(Self {
            state: Mutex::new(state),
            free_at: [Mutex::new(now), Mutex::new(now)],
        })
    }

    /// When bytes that are sent now have arrived.
    fn arrival(&self, way: LinkWay, count: usize) -> Instant {
        let (rate, delay_ms) = {
            let state = self.state.lock();
            (state.bytes_per_s, state.delay_ms)
        };
        let now = Instant::now();
        let delay = Duration::from_millis(delay_ms);
        let Some(nanos) = (count as u64 * 1_000_000_000).checked_div(rate) else {
            return now + delay;
        };
        let mut free_at = self.free_at[usize::from(way == LinkWay::Back)].lock();
        *free_at = (*free_at).max(now) + Duration::from_nanos(nanos);
        *free_at + delay
    }
}

#[derive(Debug, Default)]
struct RelayHandler {
    links: Mutex<BTreeMap<String, SharedLink>>,
}

impl CallHandler for RelayHandler {
    fn handle(self: Arc<Self>, call: HttpCall) -> ReplyFuture {
        Box::pin(async move {
            match (call.method.as_str(), call.path.as_str()) {
                ("POST", "/fake/links") => self.add(&call).await,
                ("POST", "/fake/mode") => self.change(&call),
                ("GET", "/fake/links") => {
                    let links = self.links.lock();
                    let states: Vec<_> = links
                        .values()
                        .map(|link| link.state.lock().clone())
                        .collect();
                    FakeReply::json(&states)
                }
                _ => FakeReply::status(404),
            }
        })
    }
}

impl RelayHandler {
    async fn add(&self, call: &HttpCall) -> FakeReply {
        let Some(mut state) = call.json::<LinkState>() else {
            return FakeReply::status(400);
        };
        let Ok(to) = state.to.parse::<SocketAddr>() else {
            return FakeReply::status(400);
        };
        let wanted = if state.address.is_empty() {
            "127.0.0.1:0"
        } else {
            state.address.as_str()
        };
        let Ok(listener) = TcpListener::bind(wanted).await else {
            return FakeReply::status(500);
        };
        let Ok(address) = listener.local_addr() else {
            return FakeReply::status(500);
        };
        state.address = address.to_string();
        let reply = FakeReply::json(&state);
        let name = state.name.clone();
        let link = RelayLink::new(state);
        self.links.lock().insert(name, Arc::clone(&link));
        tokio::task::spawn_local(accept(listener, to, link));
        reply
    }

    fn change(&self, call: &HttpCall) -> FakeReply {
        let Some(wanted) = call.json::<LinkState>() else {
            return FakeReply::status(400);
        };
        let links = self.links.lock();
        let Some(link) = links.get(&wanted.name) else {
            return FakeReply::status(404);
        };
        let mut state = link.state.lock();
        state.mode = wanted.mode;
        state.delay_ms = wanted.delay_ms;
        state.bytes_per_s = wanted.bytes_per_s;
        FakeReply::status(200)
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, link: SharedLink) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            tokio::time::sleep(SILENT_TICK).await;
            continue;
        };
        tokio::task::spawn_local(carry(near, to, Arc::clone(&link)));
    }
}

async fn carry(near: TcpStream, to: SocketAddr, link: SharedLink) {
    if !passes(&link, LinkWay::There).await {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    tokio::select! {
        () = copy(&near, &far, &link, LinkWay::There) => {}
        () = copy(&far, &near, &link, LinkWay::Back) => {}
        () = closed(&link) => {}
    }
}

/// Waits until the link carries; false once it is closed.
async fn passes(link: &SharedLink, way: LinkWay) -> bool {
    loop {
        match link.state.lock().mode {
            LinkMode::Open => return true,
            LinkMode::Unanswered if way == LinkWay::There => return true,
            LinkMode::Closed => return false,
            LinkMode::Silent | LinkMode::Unanswered => {}
        }
        tokio::time::sleep(SILENT_TICK).await;
    }
}

async fn closed(link: &SharedLink) {
    while link.state.lock().mode != LinkMode::Closed {
        tokio::time::sleep(SILENT_TICK).await;
    }
}

async fn copy(from: &TcpStream, to: &TcpStream, link: &SharedLink, way: LinkWay) {
    let mut chunk = vec![0; CHUNK];
    loop {
        if from.readable().await.is_err() {
            return;
        }
        let narrow = link.state.lock().bytes_per_s > 0;
        let most = if narrow { NARROW_CHUNK } else { CHUNK };
        let count = match from.try_read(&mut chunk[..most]) {
            Ok(0) => return,
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return,
        };
        if !passes(link, way).await {
            return;
        }
        tokio::time::sleep_until(link.arrival(way, count)).await;
        if write_all(to, &chunk[..count]).await.is_err() {
            return;
        }
    }
}

async fn write_all(to: &TcpStream, mut rest: &[u8]) -> std::io::Result<()> {
    while !rest.is_empty() {
        to.writable().await?;
        match to.try_write(rest) {
            Ok(count) => rest = &rest[count..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
