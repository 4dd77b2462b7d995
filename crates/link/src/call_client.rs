use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
};
use hyper_util::rt::TokioIo;
use model::StepError;
use tokio::{net::TcpStream, time::timeout_at};

use crate::{HttpCall, HttpCallError, HttpReply};

/// Timeout for opening a connection. Round trips between hosts take at most a few milliseconds.
/// A lost SYN packet is retransmitted only after a second; opening a new connection is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections that were idle for this long are not reused. Peers close idle connections after
/// 15 s, and a request sent while the peer closes must be repeated.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body, in bytes. The store sends at most a megabyte per page, and base64
/// makes that larger by a third.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Upper limit on the time for a response body, even if its bytes keep arriving.
const MAX_BODY_TIME: Duration = Duration::from_secs(10);

type RequestSender = SendRequest<Full<Bytes>>;

/// HTTP client that keeps connections to its peers alive.
///
/// An open connection may stop delivering for good while new connections work. Therefore a call
/// that times out drops its connection and all idle ones to that peer, and the next call opens a
/// new connection.
#[derive(Clone, Default)]
pub struct CallClient {
    idle: Rc<RefCell<HashMap<CompactString, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    sender: RequestSender,
    idle_since: Instant,
}

impl CallClient {
    /// Sends a call and waits for the complete response.
    ///
    /// # Errors
    /// [`HttpCallError::NotSent`] if the peer can't have received the call, otherwise
    /// [`HttpCallError::Unanswered`].
    pub async fn call(&self, call: HttpCall) -> Result<HttpReply, HttpCallError> {
        let deadline = tokio::time::Instant::now() + call.timeout;
        let mut request = build_request(&call)?;
        while let Some(mut sender) = self.take_idle(&call.address) {
            check_deadline(&call, deadline)?;
            match timeout_at(deadline, sender.try_send_request(request)).await {
                Err(_) => return Err(self.timeout_error(&call)),
                Ok(Ok(response)) => return self.read_response(&call, sender, response).await,
                Ok(Err(mut error)) => match error.take_message() {
                    // The idle connection was closed before the request was sent.
                    Some(unsent) => request = unsent,
                    None => return Err(unanswered_error(&call, error.into_error())),
                },
            }
        }
        let mut sender = connect(&call, deadline).await?;
        check_deadline(&call, deadline)?;
        match timeout_at(deadline, sender.try_send_request(request)).await {
            Err(_) => Err(self.timeout_error(&call)),
            Ok(Ok(response)) => self.read_response(&call, sender, response).await,
            Ok(Err(mut error)) => match error.take_message() {
                Some(_) => Err(not_sent_error(&call, error.into_error())),
                None => Err(unanswered_error(&call, error.into_error())),
            },
        }
    }

    /// Drops the idle connections to a peer, for example one that is gone.
    pub fn drop_idle(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    fn take_idle(&self, address: &str) -> Option<RequestSender> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if connection.idle_since.elapsed() < IDLE_TIMEOUT && !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    async fn read_response(
        &self,
        call: &HttpCall,
        sender: RequestSender,
        response: hyper::Response<Incoming>,
    ) -> Result<HttpReply, HttpCallError> {
        let status = response.status().as_u16();
        let retry_after = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Duration::from_secs);
        let body = self.read_body(call, response.into_body()).await?;
        self.return_idle(&call.address, sender);
        Ok(HttpReply {
            status,
            body,
            retry_after,
        })
    }

    /// Reads the body of a response for as long as its bytes keep arriving.
    ///
    /// A large response on a slow link takes longer than any fixed timeout that detects a dead
    /// connection early enough. With a fixed timeout a large list of keys would be cut off on every
    /// retry and never be read. So the timeout restarts with each received frame.
    async fn read_body(&self, call: &HttpCall, body: Incoming) -> Result<Bytes, HttpCallError> {
        let limit = tokio::time::Instant::now() + MAX_BODY_TIME;
        let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
        let mut bytes = BytesMut::new();
        loop {
            let frame_deadline = limit.min(tokio::time::Instant::now() + call.timeout);
            let frame = match timeout_at(frame_deadline, body.frame()).await {
                Err(_) => return Err(self.timeout_error(call)),
                Ok(None) => return Ok(bytes.freeze()),
                Ok(Some(Err(error))) => return Err(unanswered_error(call, error)),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Some(part) = frame.data_ref() {
                bytes.extend_from_slice(part);
            }
        }
    }

    fn return_idle(&self, address: &CompactString, sender: RequestSender) {
        if sender.is_closed() {
            return;
        }
        let connection = IdleConnection {
            sender,
            idle_since: Instant::now(),
        };
        let mut idle = self.idle.borrow_mut();
        idle.entry(address.clone()).or_default().push(connection);
    }

    fn timeout_error(&self, call: &HttpCall) -> HttpCallError {
        self.drop_idle(&call.address);
        unanswered_error(call, "timed out")
    }
}

async fn connect(
    call: &HttpCall,
    deadline: tokio::time::Instant,
) -> Result<RequestSender, HttpCallError> {
    let limit = deadline.min(tokio::time::Instant::now() + CONNECT_TIMEOUT);
    let stream = match timeout_at(limit, TcpStream::connect(call.address.as_str())).await {
        Err(_) => return Err(not_sent_error(call, "timed out while connecting")),
        Ok(Err(error)) => return Err(not_sent_error(call, error)),
        Ok(Ok(stream)) => stream,
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("nodelay to {}: {error}", call.address);
    }
    let handshake = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream));
    let (sender, connection) = handshake
        .await
        .map_err(|error| not_sent_error(call, error))?;
    tokio::task::spawn_local(async move {
        // The call that uses the connection reports the error to its caller.
        if let Err(error) = connection.await {
            log::trace!("connection ended: {error}");
        }
    });
    Ok(sender)
}

/// Fails if the deadline of a call passed before it was sent.
///
/// A process that was suspended finds its connections still open when it resumes. The order it was
/// about to send is outdated by then, and the caller no longer waits for the response.
fn check_deadline(call: &HttpCall, deadline: tokio::time::Instant) -> Result<(), HttpCallError> {
    if tokio::time::Instant::now() >= deadline {
        return Err(not_sent_error(call, "held up until its time was over"));
    }
    Ok(())
}

fn build_request(call: &HttpCall) -> Result<Request<Full<Bytes>>, HttpCallError> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call
        .path
        .parse()
        .map_err(|error: hyper::http::uri::InvalidUri| not_sent_error(call, error))?;
    let host = HeaderValue::from_str(&call.address).map_err(|error| not_sent_error(call, error))?;
    let headers = request.headers_mut();
    headers.extend(call.headers.clone());
    headers.entry(HOST).or_insert(host);
    if !call.body.is_empty() {
        headers
            .entry(CONTENT_TYPE)
            .or_insert(HeaderValue::from_static("application/json"));
    }
    Ok(request)
}

fn not_sent_error(
    call: &HttpCall,
    cause: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> HttpCallError {
    HttpCallError::NotSent(StepError::new(call.step, call.address.as_str(), cause))
}

fn unanswered_error(
    call: &HttpCall,
    cause: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> HttpCallError {
    HttpCallError::Unanswered(StepError::new(call.step, call.address.as_str(), cause))
}
