use std::{
    convert::Infallible,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use model::{KeyId, StepError};
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch},
    time::timeout,
};

use super::{AdminCall, AdminReply, HttpVerb};
use crate::{AdminProblem, ProblemCode};

/// Connections held at once.
const MAX_CONNECTIONS: u32 = 64;
/// Bodies read at once.
const MAX_BODIES: usize = 4;
/// Largest body; a manifest may have half a megabyte.
const MAX_BODY: usize = 600 * 1024;
/// Largest head of a call.
const MAX_HEAD: usize = 16 * 1024;
/// Longest text of a header that is looked at.
const MAX_HEADER: usize = 128;
/// Time to send a head, and to send a body.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time of a whole connection, with the wait for the answer and its sending.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that connections are given to end when the port closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);
const STACK_BYTES: usize = 1024 * 1024;

/// What the port hands calls to.
pub(crate) trait PortHandler: Send + Sync {
    /// Answers the open paths, which need no key, without waiting.
    fn open(&self, verb: HttpVerb, path: &str) -> Option<AdminReply>;
    /// The id of the administration key that a header presents.
    fn author(&self, authorization: &str, peer: SocketAddr) -> Option<KeyId>;
    /// Queues a call that was read whole.
    fn submit(&self, call: AdminCall) -> Result<oneshot::Receiver<AdminReply>, AdminProblem>;
}

/// The operators' port: one thread that holds all connections.
///
/// It stands on `hyper` and not on `tiny_http`, which reads bodies without a timeout, and on
/// dropping a call allocates and reads what the sender announced: any caller could stop
/// the workers with a few slow bodies, or the process with one large `Content-Length`. See
/// `docs/design/12-admin-interface.md`.
pub(crate) struct HttpPort {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl HttpPort {
    pub(crate) fn start(address: &str, handler: Arc<dyn PortHandler>) -> Result<Self, StepError> {
        let failed = |error: std::io::Error| StepError::new("open admin port", address, error);
        let listener = TcpListener::bind(address).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(failed)?;
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new()
            .name("admin-port".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || runtime.block_on(accept_loop(listener, handler, stopped)))
            .map_err(failed)?;
        Ok(Self {
            address,
            stop,
            thread,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more connections, lets those that are open end, and ends the thread.
    pub(crate) fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.thread.join();
    }
}

/// What all connections share.
struct PortState {
    handler: Arc<dyn PortHandler>,
    bodies: Semaphore,
}

async fn accept_loop(
    listener: TcpListener,
    handler: Arc<dyn PortHandler>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let state = Arc::new(PortState {
        handler,
        bodies: Semaphore::new(MAX_BODIES),
    });
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS as usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        let Ok((stream, peer)) = accepted else {
            // Out of descriptors, most likely: accepting again at once would spin.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        // A flood of connections is refused here, before it costs memory.
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            metrics::counter!("lws_admin_connections_refused").increment(1);
            continue;
        };
        tokio::spawn(serve_connection(stream, peer, Arc::clone(&state), permit));
    }
    drop(listener);
    let _ = timeout(CLOSE_TIMEOUT, connections.acquire_many(MAX_CONNECTIONS)).await;
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    state: Arc<PortState>,
    _permit: OwnedSemaphorePermit,
) {
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(show(state.answer(request, peer).await)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    let _ = timeout(CONNECTION_TIMEOUT, connection).await;
}

impl PortState {
    async fn answer(&self, request: Request<Incoming>, peer: SocketAddr) -> AdminReply {
        match self.try_answer(request, peer).await {
            Ok(reply) => reply,
            Err(problem) => problem.into(),
        }
    }

    async fn try_answer(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<AdminReply, AdminProblem> {
        let Some(verb) = HttpVerb::parse(request.method().as_str()) else {
            return Err(bad_request("only GET, PUT, POST and DELETE are known"));
        };
        if let Some(reply) = self.handler.open(verb, request.uri().path()) {
            return Ok(reply);
        }
        // The key is checked before the body is read, so that only operators can make this
        // host read anything long.
        let headers = request.headers();
        let authorization = header_text(headers, AUTHORIZATION.as_str())?;
        let Some(author) = self.handler.author(authorization, peer) else {
            return Err(AdminProblem::new(
                ProblemCode::KeyRefused,
                "an administration key is needed, as `Authorization: Bearer KEY`",
            ));
        };
        let mut call = AdminCall {
            verb,
            path: request.uri().path().to_owned(),
            query: request.uri().query().unwrap_or_default().to_owned(),
            author,
            change_id: header_text(headers, "Change-Id")?.into(),
            base_revision: header_number(headers, "Base-Revision")?,
            body: Vec::new(),
        };
        if verb != HttpVerb::Get {
            call.body = self.read_body(request.into_body()).await?;
        }
        let reply = self.handler.submit(call)?;
        reply
            .await
            .map_err(|_| AdminProblem::new(ProblemCode::Unavailable, "shutting down"))
    }

    async fn read_body(&self, body: Incoming) -> Result<Vec<u8>, AdminProblem> {
        let slow = || AdminProblem::new(ProblemCode::SlowSender, "the body came too slowly");
        let read = async {
            let _permit = self.bodies.acquire().await;
            Limited::new(body, MAX_BODY).collect().await
        };
        let collected = timeout(BODY_TIMEOUT, read).await.map_err(|_| slow())?;
        match collected {
            Ok(body) => Ok(body.to_bytes().to_vec()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                let detail = format!("the body is larger than {MAX_BODY} bytes");
                Err(AdminProblem::new(ProblemCode::TooLarge, detail))
            }
            Err(error) => Err(bad_request(format!("the body ended early: {error}"))),
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, AdminProblem> {
    let Some(value) = headers.get(name) else {
        return Ok("");
    };
    value
        .to_str()
        .ok()
        .filter(|text| text.len() <= MAX_HEADER)
        .ok_or_else(|| bad_request(format!("the header {name} is not readable")))
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, AdminProblem> {
    match header_text(headers, name)? {
        "" => Ok(None),
        text => text
            .parse()
            .map(Some)
            .map_err(|_| bad_request(format!("the header {name} is not a number"))),
    }
}

fn bad_request(detail: impl Into<String>) -> AdminProblem {
    AdminProblem::new(ProblemCode::BadRequest, detail)
}

fn show(reply: AdminReply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = hyper::StatusCode::from_u16(reply.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    if let Some(revision) = reply.revision {
        headers.insert("Revision", HeaderValue::from(revision));
    }
    if reply.status == 503 {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}
