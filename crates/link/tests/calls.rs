//! Calls over kept connections, and what is known of a call that brought no answer.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use hyper::Method;
use link::{
    CallClient, CallError, HttpCall, HttpReply, HttpRequest, HttpService, ReplyFuture,
    ServerLimits, ShutdownSignal, serve_http,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::LocalSet,
    time::{Instant, sleep},
};

/// Answers with the length of the body, after a while.
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
fn call_is_answered() {
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

/// Nothing listens, so nothing can have been done.
#[test]
fn call_refused_is_not_sent() {
    run(async {
        let fault = CallClient::default().call(call(free_address(), b"")).await;
        assert!(matches!(fault, Err(CallError::NotSent(_))));
    });
}

/// A process stands still between a decision and its order. What it sends when it goes on would
/// reach a target in the time of the next owner.
#[test]
fn call_held_up_is_not_sent() {
    run(async {
        let (address, answered) = serve(Duration::ZERO, ShutdownSignal::default()).await;
        let client = CallClient::default();
        let asked = tokio::task::spawn_local(async move { client.call(call(address, b"")).await });
        // The call waits for its connection meanwhile.
        tokio::task::yield_now().await;
        std::thread::sleep(Duration::from_millis(400));
        let outcome = asked.await;
        assert!(
            matches!(outcome, Ok(Err(CallError::NotSent(_)))),
            "{outcome:?}"
        );
        sleep(Duration::from_millis(100)).await;
        assert_eq!(answered.get(), 0);
    });
}

/// A kept connection goes silent for good while new ones work. The call on it times out, with
/// nobody knowing whether it was carried out; the next call opens a connection of its own.
#[test]
fn call_leaves_silent_connection() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.unwrap_or_else(|error| panic!("no listener: {error}"));
        let address = listener
            .local_addr()
            .unwrap_or_else(|error| panic!("no address: {error}"));
        tokio::task::spawn_local(async move {
            let mut silent = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 1024];
                let _ = stream.read(&mut request).await;
                let _ = stream
                    .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                    .await;
                // It stays open and never answers again.
                silent.push(stream);
            }
        });
        let client = CallClient::default();
        assert!(client.call(call(address, b"")).await.is_ok());
        let silent = client.call(call(address, b"")).await;
        assert!(matches!(silent, Err(CallError::Unanswered(_))));
        let begun = Instant::now();
        assert!(client.call(call(address, b"")).await.is_ok());
        assert!(begun.elapsed() < Duration::from_millis(200));
    });
}

/// Serves one connection with an answer of six bytes, of which each comes after a pause; `sent` of
/// them come at all.
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

/// A new owner reads the log through a narrow link. The answer takes longer than the timeout,
/// though its bytes keep coming; cut off there it would be asked for again, and never be read.
#[test]
fn call_body_arrives_slowly() {
    run(async {
        let address = serve_slowly(Duration::from_millis(100), 6).await;
        let reply = CallClient::default().call(call(address, b"")).await;
        let text = reply.map(|reply| reply.body).unwrap_or_default();
        assert_eq!(text, "answer".as_bytes());
    });
}

/// A connection goes silent in the middle of an answer. The call ends one timeout after the last
/// bytes.
#[test]
fn call_body_stalls() {
    run(async {
        let address = serve_slowly(Duration::from_millis(100), 3).await;
        let begun = Instant::now();
        let reply = CallClient::default().call(call(address, b"")).await;
        assert!(matches!(reply, Err(CallError::Unanswered(_))));
        assert!(begun.elapsed() >= Duration::from_millis(600));
        assert!(begun.elapsed() < Duration::from_millis(1000));
    });
}

/// A process is told to stop while it works on a request. The request is answered whole, and
/// only then does the connection end.
#[test]
fn shutdown_finishes_answers() {
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
        assert!(matches!(after, Err(CallError::NotSent(_))));
    });
}
