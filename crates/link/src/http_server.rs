use std::{
    cell::Cell, convert::Infallible, future::Future, net::SocketAddr, pin::Pin, rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

use crate::{HttpReply, ShutdownSignal};

/// Pause after a failed accept, which happens when file descriptors run out. Also the interval at
/// which a server that shuts down checks for open connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Timeout for the body of a request, counted from the end of its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Default limit for request bodies. The platform's store accepts values of up to 1 MB, and the
/// content of a body must fit into one value together with other entries.
const MAX_BODY_BYTES: usize = 512 << 10;

/// Future of the response to a request.
pub type ReplyFuture = Pin<Box<dyn Future<Output = HttpReply>>>;

/// Handles the requests of an HTTP server.
pub trait HttpService {
    /// Handles one request, whose body has been read completely.
    fn answer(&self, request: HttpRequest) -> ReplyFuture;
}

/// A request with its complete body.
#[derive(Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// When the head of the request had been read.
    pub arrived: Instant,
}

/// Resource limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections. Further ones are closed right after accept.
    pub connections: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for the head of a request on a new connection.
    pub header_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 2048,
            body_bytes: MAX_BODY_BYTES,
            header_timeout: Duration::from_secs(15),
        }
    }
}

/// Serves HTTP on one address until the shutdown begins.
///
/// Then each connection finishes its current response, and the function returns once all
/// connections have ended.
///
/// # Errors
/// If the address can't be bound.
pub async fn serve_http(
    address: SocketAddr,
    service: Rc<dyn HttpService>,
    limits: ServerLimits,
    shutdown: ShutdownSignal,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            () = shutdown.wait() => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accept on {address}: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            continue;
        }
        open.set(open.get() + 1);
        let (open, service, shutdown) = (open.clone(), service.clone(), shutdown.clone());
        tokio::task::spawn_local(async move {
            serve_connection(stream, service, limits, shutdown).await;
            open.set(open.get() - 1);
        });
    }
    drop(listener);
    while open.get() > 0 {
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
    Ok(())
}

async fn serve_connection(
    stream: TcpStream,
    service: Rc<dyn HttpService>,
    limits: ServerLimits,
    shutdown: ShutdownSignal,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("nodelay on an accepted connection: {error}");
    }
    let answer = service_fn(move |request| handle_request(service.clone(), limits, request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .serve_connection(TokioIo::new(stream), answer);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = shutdown.wait() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::trace!("connection ended: {error}");
    }
}

async fn handle_request(
    service: Rc<dyn HttpService>,
    limits: ServerLimits,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let body = Limited::new(body, limits.body_bytes).collect();
    let reply = match timeout(BODY_TIMEOUT, body).await {
        Err(_) => HttpReply::status(408),
        Ok(Err(error)) if error.is::<LengthLimitError>() => HttpReply::status(413),
        Ok(Err(_)) => HttpReply::status(400),
        Ok(Ok(body)) => {
            let request = HttpRequest {
                method: head.method,
                uri: head.uri,
                headers: head.headers,
                body: body.to_bytes(),
                arrived,
            };
            service.answer(request).await
        }
    };
    Ok(build_response(reply))
}

fn build_response(reply: HttpReply) -> Response<Full<Bytes>> {
    let json = !reply.body.is_empty();
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() =
        hyper::StatusCode::from_u16(reply.status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if json {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(wait) = reply.retry_after {
        // The header holds whole seconds. Rounding down would make callers retry too early.
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
