use std::{
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::Arc,
    time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use model::event::debug;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{
    caller_port::CallerPort,
    caller_stream::CallerStream,
    connection_limiter::{ConnectionLimiter, ConnectionPermit},
    routes,
};
use crate::event;

/// Maximum size of a request head, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum number of refusals sent concurrently; further connections over the limit are
/// closed without a response.
const MAX_REFUSALS: usize = 64;
/// Maximum time for sending a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Response to a connection over the limit.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\
Content-Length: 115\r\nRetry-After: 1\r\nConnection: close\r\n\r\n\
{\"problem\":\"not-serving\",\"fate\":\"not-run\",\"detail\":\"too many \
connections to this entry host\",\"retry_after_ms\":1000}";

/// Phase of the shutdown of the caller port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PortPhase {
    /// Accepts connections.
    Open,
    /// Finishes the requests in progress, then closes each connection.
    Closing,
    /// Drops the remaining connections.
    Closed,
}

/// Accepts connections until `phase` leaves `Open`, and returns when all connections are
/// closed.
pub(crate) async fn serve_port(
    port: Arc<CallerPort>,
    listener: TcpListener,
    mut phase: watch::Receiver<PortPhase>,
) {
    // Every connection task holds a sender; the receiver ends when the last task has ended.
    let (open_task, mut all_ended) = tokio::sync::mpsc::channel::<()>(1);
    let refusals = ConnectionLimiter::new(MAX_REFUSALS, MAX_REFUSALS);
    loop {
        let open = *phase.borrow_and_update() == PortPhase::Open;
        // Connections waiting in the listen queue would be reset when the listener closes,
        // so all of them are accepted first.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.changed(), if open => continue,
            () = std::future::ready(()), if !open => break,
        };
        let Ok((stream, peer)) = accepted else {
            // For example out of file descriptors: wait instead of spinning.
            metrics::counter!("lws_accept_errors").increment(1);
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Some(permit) = port.connections.try_acquire(peer.ip()) else {
            metrics::counter!("lws_connections_refused").increment(1);
            refuse_connection(stream, peer.ip(), &refusals);
            continue;
        };
        metrics::gauge!("lws_connections").set(port.connections.open_count() as f64);
        let serving = serve_connection(
            Arc::clone(&port),
            stream,
            peer,
            permit,
            phase.clone(),
            open_task.clone(),
        );
        tokio::spawn(serving);
    }
    drop(listener);
    drop(open_task);
    let closed = async {
        while *phase.borrow_and_update() != PortPhase::Closed {
            if phase.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        _ = all_ended.recv() => {}
        () = closed => {}
    }
}

async fn serve_connection(
    port: Arc<CallerPort>,
    stream: TcpStream,
    peer: SocketAddr,
    permit: ConnectionPermit,
    mut phase: watch::Receiver<PortPhase>,
    _open_task: tokio::sync::mpsc::Sender<()>,
) {
    // Without this, a small response could wait for the caller's ACK of the previous one.
    let _ = stream.set_nodelay(true);
    let tuning = &port.tuning;
    let stream = CallerStream::new(stream, tuning.write_window, tuning.min_write_bytes);
    let head_timeout = tuning.head_timeout;
    let service = service_fn(|request| {
        let port = Arc::clone(&port);
        async move { Ok::<_, Infallible>(routes::handle_request(&port, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_HEAD)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    if *phase.borrow_and_update() != PortPhase::Open {
        connection.as_mut().graceful_shutdown();
    }
    let ended = loop {
        tokio::select! {
            ended = connection.as_mut() => break ended,
            changed = phase.changed() => {
                if changed.is_err() || *phase.borrow_and_update() != PortPhase::Open {
                    connection.as_mut().graceful_shutdown();
                    break connection.await;
                }
            }
        }
    };
    if let Err(cause) = ended {
        debug(
            &event::CONNECTION_ENDED,
            format_args!("peer={peer} cause=\"{cause}\""),
        );
    }
    drop(permit);
}

/// Sends a refusal to a connection over the limit; the number of such connections and their
/// time are bounded.
fn refuse_connection(stream: TcpStream, address: IpAddr, refusals: &Arc<ConnectionLimiter>) {
    let Some(permit) = refusals.try_acquire(address) else {
        return;
    };
    let writing = async move {
        if stream.writable().await.is_ok() {
            let _ = stream.try_write(REFUSAL);
        }
        // Closing with unread bytes would reset the connection before the caller reads the
        // refusal.
        let mut discarded = [0_u8; 4096];
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut discarded) {
                Ok(0) => return,
                Ok(_) => {}
                Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    tokio::spawn(async move {
        let _ = tokio::time::timeout(REFUSAL_TIMEOUT, writing).await;
        drop(permit);
    });
}
