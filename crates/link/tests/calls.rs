//! Calls over keep-alive connections, and the errors of calls without a response.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use hyper::Method;
use link::{
    CallClient, HttpCall, HttpCallError, HttpReply, HttpRequest, HttpService, ReplyFuture,
    ServerLimits, ShutdownSignal, serve_http,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::LocalSet,
    time::{Instant, sleep},
};

/// Responds with the length of the request body after a pause.
struct LengthService {
    pause: Duration,
    answered: Rc<Cell<usize>>,
}

impl HttpService for LengthService {
    fn answer(&self, request: HttpRequest) -> ReplyFuture {
        let (pause, answered) = (self.pause, self.answered.clone());
        Box::pin(async move {
            sleep(pause).await;
            answered.set(answered.get() + 1);
            HttpReply::json(200, request.body.len().to_string())
        })
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.unwrap_or_else(|error| panic!("no runtime: {error}"));
    LocalSet::new().block_on(&runtime, test);
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0");
    let address = listener.and_then(|listener| listener.local_addr());
    address.unwrap_or_else(|error| panic!("no free port: {error}"))
}

fn call(address: SocketAddr, body: &'static [u8]) -> HttpCall {
    let timeout = Duration::from_millis(300);
    HttpCall::new("ask", address.to_string(), Method::POST, "/", timeout).with_body(body)
}

async fn serve(pause: Duration, shutdown: ShutdownSignal) -> (SocketAddr, Rc<Cell<usize>>) {
    let address = free_address();
    let answered = Rc::new(Cell::new(0));
    let service = Rc::new(LengthService {
        pause,
        answered: answered.clone(),
    });
    let limits = ServerLimits {
        body_bytes: 8,
        ..ServerLimits::default()
    };
    tokio::task::spawn_local(async move {
        let _ = serve_http(address, service, limits, shutdown).await;
    });
    tokio::task::yield_now().await;
    (address, answered)
}

#[test]
fn call_answered() {
    run(async {
        let (address, _) = serve(Duration::ZERO, ShutdownSignal::default()).await;
        let client = CallClient::default();
        for body in [b"".as_slice(), b"four"] {
            let reply = client.call(call(address, body)).await;
            let text = reply.map(|reply| reply.body).unwrap_or_default();
            assert_eq!(text, body.len().to_string());
        }
        let large = client.call(call(address, b"more than eight")).await;
        assert_eq!(large.map(|reply| reply.status).ok(), Some(413));
    });
}

/// No server listens, so the call can't have had an effect.
#[test]
fn call_refused_is_not_sent() {
    run(async {
        let fault = CallClient::default().call(call(free_address(), b"")).await;
        assert!(matches!(fault, Err(HttpCallError::NotSent(_))));
    });
}

/// A process is suspended between a decision and its order. Without the check of the deadline, the
/// order would reach a target after the next owner has taken over.
#[test]
fn call_after_deadline_not_sent() {
    run(async {
        let (address, answered) = serve(Duration::ZERO, ShutdownSignal::default()).await;
        let client = CallClient::default();
        let pending_call =
            tokio::task::spawn_local(async move { client.call(call(address, b"")).await });
        // The call is waiting for its connection at this point.
        tokio::task::yield_now().await;
        std::thread::sleep(Duration::from_millis(400));
        let outcome = pending_call.await;
        assert!(
            matches!(outcome, Ok(Err(HttpCallError::NotSent(_)))),
            "{outcome:?}"
        );
        sleep(Duration::from_millis(100)).await;
        assert_eq!(answered.get(), 0);
    });
}

/// An open connection stops delivering for good while new ones work. The call on it times out with
/// an unknown outcome, and the next call opens a new connection.
#[test]
fn call_drops_dead_connection() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.unwrap_or_else(|error| panic!("no listener: {error}"));
        let address = listener
            .local_addr()
            .unwrap_or_else(|error| panic!("no address: {error}"));
        tokio::task::spawn_local(async move {
            let mut open_streams = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 1024];
                let _ = stream.read(&mut request).await;
                let _ = stream
                    .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                    .await;
                // The connection stays open but never responds again.
                open_streams.push(stream);
            }
        });
        let client = CallClient::default();
        assert!(client.call(call(address, b"")).await.is_ok());
        let unanswered = client.call(call(address, b"")).await;
        assert!(matches!(unanswered, Err(HttpCallError::Unanswered(_))));
        let started = Instant::now();
        assert!(client.call(call(address, b"")).await.is_ok());
        assert!(started.elapsed() < Duration::from_millis(200));
    });
}

/// Serves one connection with a response body of six bytes, with a pause before each byte. Only the
/// first `sent` bytes are sent.
async fn serve_slowly(pause: Duration, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.unwrap_or_else(|error| panic!("no listener: {error}"));
    let address = listener
        .local_addr()
        .unwrap_or_else(|error| panic!("no address: {error}"));
    tokio::task::spawn_local(async move {
        let Ok((mut stream, _)) = listener.accept().await else {
            return;
        };
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).await;
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n";
        let _ = stream.write_all(head).await;
        for part in b"answer".chunks(1).take(sent) {
            sleep(pause).await;
            let _ = stream.write_all(part).await;
        }
        std::future::pending::<()>().await;
    });
    address
}

/// A new owner reads the log over a slow link. The response takes longer than the timeout although
/// its bytes keep arriving. If it were cut off, each retry would fail in the same way.
#[test]
fn call_body_arrives_slowly() {
    run(async {
        let address = serve_slowly(Duration::from_millis(100), 6).await;
        let reply = CallClient::default().call(call(address, b"")).await;
        let text = reply.map(|reply| reply.body).unwrap_or_default();
        assert_eq!(text, "answer".as_bytes());
    });
}

/// A connection stops delivering in the middle of a response. The call fails one timeout after the
/// last bytes.
#[test]
fn call_body_stalls() {
    run(async {
        let address = serve_slowly(Duration::from_millis(100), 3).await;
        let started = Instant::now();
        let reply = CallClient::default().call(call(address, b"")).await;
        assert!(matches!(reply, Err(HttpCallError::Unanswered(_))));
        assert!(started.elapsed() >= Duration::from_millis(600));
        assert!(started.elapsed() < Duration::from_millis(1000));
    });
}

/// A shutdown begins while a request is in progress. The response is sent completely before the
/// connection closes.
#[test]
fn shutdown_finishes_responses() {
    run(async {
        let shutdown = ShutdownSignal::default();
        let (address, answered) = serve(Duration::from_millis(100), shutdown.clone()).await;
        let client = CallClient::default();
        let calling = client.clone();
        let pending =
            tokio::task::spawn_local(async move { calling.call(call(address, b"four")).await });
        sleep(Duration::from_millis(30)).await;
        shutdown.begin();
        let reply = pending.await.ok().and_then(Result::ok);
        assert_eq!(reply.map(|reply| reply.status), Some(200));
        assert_eq!(answered.get(), 1);
        sleep(Duration::from_millis(100)).await;
        let after = client.call(call(address, b"")).await;
        assert!(matches!(after, Err(HttpCallError::NotSent(_))));
    });
}
