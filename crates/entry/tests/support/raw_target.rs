use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use parking_lot::Mutex;

/// A request as received by the target.
#[derive(Clone, Debug, Default)]
pub struct TargetCall {
    pub path: String,
    pub request: String,
    pub team: String,
    pub idempotent: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

/// How the target responds to a request.
pub enum TargetReply {
    /// 200 with the request's id.
    Answer(Vec<u8>),
    /// Any status with the request's id.
    Status(u16, Vec<u8>),
    /// 200 with the id of another request.
    Crossed(Vec<u8>, String),
    /// 200 with a content length larger than the body, then closes.
    Truncated(Vec<u8>, usize),
    /// 503 with the header `Not-Run`.
    NotRun,
    /// Closes the connection without a response.
    Hangup,
    /// Sends nothing for the given time, then closes the connection.
    Silence(Duration),
}

type Behaviour = dyn Fn(&TargetCall) -> TargetReply + Send + Sync;

/// A minimal HTTP target with one thread per connection.
pub struct RawTarget {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<TargetCall>>>,
    pub connections: Arc<AtomicUsize>,
    pub most_connections: Arc<AtomicUsize>,
    pub running: Arc<AtomicUsize>,
    pub most_running: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl RawTarget {
    pub fn start(behaviour: impl Fn(&TargetCall) -> TargetReply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let target = Self {
            address,
            calls: Arc::default(),
            connections: Arc::default(),
            most_connections: Arc::default(),
            running: Arc::default(),
            most_running: Arc::default(),
            stop: Arc::default(),
        };
        let shared = target.share(Arc::new(behaviour));
        let stop = Arc::clone(&target.stop);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        target
    }

    /// A target that responds with the body of the request.
    pub fn echo() -> Self {
        Self::start(|call| TargetReply::Answer(call.body.clone()))
    }

    pub fn call_count(&self) -> usize {
        self.calls.lock().len()
    }

    /// Stops listening, and returns once connections are refused.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        // Each connection wakes the listener thread, and the first one makes it exit.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn share(&self, behaviour: Arc<Behaviour>) -> TargetShare {
        TargetShare {
            behaviour,
            calls: Arc::clone(&self.calls),
            connections: Arc::clone(&self.connections),
            most_connections: Arc::clone(&self.most_connections),
            running: Arc::clone(&self.running),
            most_running: Arc::clone(&self.most_running),
        }
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.stop();
    }
}

#[derive(Clone)]
struct TargetShare {
    behaviour: Arc<Behaviour>,
    calls: Arc<Mutex<Vec<TargetCall>>>,
    connections: Arc<AtomicUsize>,
    most_connections: Arc<AtomicUsize>,
    running: Arc<AtomicUsize>,
    most_running: Arc<AtomicUsize>,
}

impl TargetShare {
    fn serve(&self, stream: TcpStream) {
        let now = self.connections.fetch_add(1, Ordering::AcqRel) + 1;
        self.most_connections.fetch_max(now, Ordering::AcqRel);
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_call(&mut reader) {
            if !self.answer(&call, reader.get_mut()) {
                break;
            }
        }
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    fn answer(&self, call: &TargetCall, stream: &mut TcpStream) -> bool {
        self.calls.lock().push(call.clone());
        let now = self.running.fetch_add(1, Ordering::AcqRel) + 1;
        self.most_running.fetch_max(now, Ordering::AcqRel);
        let reply = (self.behaviour)(call);
        self.running.fetch_sub(1, Ordering::AcqRel);
        match reply {
            TargetReply::Answer(body) => write(stream, 200, &call.request, &body, body.len()),
            TargetReply::Status(status, body) => {
                write(stream, status, &call.request, &body, body.len())
            }
            TargetReply::Crossed(body, echo) => write(stream, 200, &echo, &body, body.len()),
            TargetReply::Truncated(body, announced) => {
                write(stream, 200, &call.request, &body, announced);
                false
            }
            TargetReply::NotRun => {
                let head = "HTTP/1.1 503 Busy\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(head.as_bytes()).is_ok()
            }
            TargetReply::Hangup => false,
            TargetReply::Silence(time) => {
                thread::sleep(time);
                false
            }
        }
    }
}

fn write(stream: &mut TcpStream, status: u16, echo: &str, body: &[u8], announced: usize) -> bool {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nRequest-Id: {echo}\r\nContent-Type: text/plain\r\n\
         Content-Length: {announced}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<TargetCall> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let mut call = TargetCall {
        path: line.split(' ').nth(1)?.to_owned(),
        ..TargetCall::default()
    };
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let value = value.trim().to_owned();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "request-id" => call.request = value,
            "team" => call.team = value,
            "idempotent" => call.idempotent = value,
            "deadline-ms" => call.deadline_ms = value.parse().ok()?,
            _ => {}
        }
    }
    call.body = vec![0; length];
    reader.read_exact(&mut call.body).ok()?;
    Some(call)
}
