use std::{
    convert::Infallible,
    future::Future,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use anyhow::{Context, Result};
use http_body_util::{BodyExt, Limited};
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Socket, Type};
use tokio::{net::TcpStream, sync::Notify, task::LocalSet};

use crate::{FakeReply, HttpCall, fake_reply::ReplyBody};

/// Largest body that a stand-in reads.
const MAX_BODY: usize = 16 * 1024 * 1024;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// How often the server looks whether its host still accepts connections.
const ACCEPT_TICK: Duration = Duration::from_millis(10);

/// What a stand-in does with a call.
pub type ReplyFuture = Pin<Box<dyn Future<Output = FakeReply>>>;

/// The part of a stand-in that answers calls.
pub trait CallHandler: Send + Sync {
    /// Answers one call; may wait. Dropped when the caller goes away, so that work which
    /// must go on runs in a task of its own.
    fn handle(self: Arc<Self>, call: HttpCall) -> ReplyFuture;

    /// Most connections held at once; one above it is closed and counted.
    fn max_connections(&self) -> usize {
        usize::MAX
    }

    /// Told of each connection that was closed because there were too many.
    fn note_over_connections(&self) {}

    /// False while the host pretends to be gone: new connections are refused, and those
    /// that stood break.
    fn accepts(&self) -> bool {
        true
    }
}

/// An HTTP server on a thread of its own that a stand-in answers through.
///
/// `hyper` in place of `tiny_http`, because faults need the connection in hand: to close
/// it without an answer, to cut an answer short, and to refuse it above a limit.
/// Dropping the server closes every connection.
#[derive(Debug)]
pub struct FakeServer {
    address: SocketAddr,
    stop: Arc<Notify>,
    thread: Option<thread::JoinHandle<()>>,
}

impl FakeServer {
    /// Answers at `address` (port 0 takes a free one) with `handler`.
    ///
    /// # Errors
    /// If the address can't be listened on.
    pub fn start(address: &str, handler: Arc<dyn CallHandler>) -> Result<Self> {
        let wanted: SocketAddr = address
            .parse()
            .with_context(|| format!("address {address}, expected ip:port"))?;
        let listener = listen(wanted).with_context(|| format!("listen on {address}"))?;
        let address = listener.local_addr()?;
        let stop = Arc::new(Notify::new());
        let stopped = Arc::clone(&stop);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::Builder::new()
            .name("fake-server".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, async {
                    tokio::select! {
                        () = stopped.notified() => {}
                        () = serve(address, listener, handler) => {}
                    }
                });
            })?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL of it.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn bound(address: SocketAddr) -> Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = bound(address)?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

async fn serve(address: SocketAddr, listener: TcpListener, handler: Arc<dyn CallHandler>) {
    let mut listener = listener;
    loop {
        accept_while_up(listener, &handler).await;
        // A bound socket that does not listen keeps the port and refuses connections.
        let port = bound(address);
        while !handler.accepts() {
            tokio::time::sleep(ACCEPT_TICK).await;
        }
        listener = loop {
            match listen(address) {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(ACCEPT_TICK).await,
            }
        };
        drop(port);
    }
}

/// Accepts until the host goes down; then every connection breaks.
async fn accept_while_up(listener: TcpListener, handler: &Arc<dyn CallHandler>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let open = Arc::new(AtomicUsize::new(0));
    let down = Arc::new(Notify::new());
    while handler.accepts() {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(stream, handler, &open, &down),
                Err(_) => tokio::time::sleep(ACCEPT_TICK).await,
            },
            () = tokio::time::sleep(ACCEPT_TICK) => {}
        }
    }
    down.notify_waiters();
}

fn admit(
    stream: TcpStream,
    handler: &Arc<dyn CallHandler>,
    open: &Arc<AtomicUsize>,
    down: &Arc<Notify>,
) {
    if open.load(Ordering::Relaxed) >= handler.max_connections() {
        handler.note_over_connections();
        return;
    }
    open.fetch_add(1, Ordering::Relaxed);
    let (handler, open, down) = (Arc::clone(handler), Arc::clone(open), Arc::clone(down));
    tokio::task::spawn_local(async move {
        tokio::select! {
            () = serve_connection(stream, handler) => {}
            () = down.notified() => {}
        }
        open.fetch_sub(1, Ordering::Relaxed);
    });
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn CallHandler>) {
    let _ = stream.set_nodelay(true);
    let lost = Arc::new(Notify::new());
    let service = service_fn(|request| answer(request, Arc::clone(&handler), Arc::clone(&lost)));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = lost.notified() => {}
    }
}

/// A lost answer ends the connection while the answer is still owed: the call was handled
/// in full, and the caller can't tell.
async fn answer(
    request: Request<Incoming>,
    handler: Arc<dyn CallHandler>,
    lost: Arc<Notify>,
) -> Result<hyper::Response<ReplyBody>, Infallible> {
    let call = read_call(request).await;
    let reply = handler.handle(call).await;
    if let Some(response) = reply.into_response() {
        return Ok(response);
    }
    lost.notify_one();
    std::future::pending().await
}

async fn read_call(request: Request<Incoming>) -> HttpCall {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY).collect().await;
    HttpCall {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        whole: body.is_ok(),
        body: body
            .map(|body| body.to_bytes().to_vec())
            .unwrap_or_default(),
    }
}
