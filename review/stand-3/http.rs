//! HTTP/1.1 over kept connections, a thread for each connection; and calls of a client.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::json::Json;

#[derive(Clone)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map_or("", |row| &row.1)
    }

    pub fn query(&self, name: &str) -> &str {
        let mut query = self.query.iter();
        query.find(|(key, _)| key == name).map_or("", |row| &row.1)
    }

    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

pub enum Reply {
    Answer(u16, String),
    /// Nothing more comes on this connection, which stays open.
    Silent,
}

impl Reply {
    pub fn json(status: u16, body: Json) -> Self {
        Self::Answer(status, body.to_string())
    }
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Serves on a free port of the loopback address; returns `ip:port`.
pub fn serve(handler: Handler) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("address").to_string();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

pub fn spawn(work: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(256 << 10);
    thread.spawn(work).expect("start a thread");
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("clone a socket");
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silent => {
                // What the peer still sends is taken and not answered.
                let mut bytes = [0; 4096];
                while reader.read(&mut bytes).is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (_, target) = (words.next()?, words.next()?.to_owned());
    let (headers, body) = read_rest(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|row| row.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: query
            .map(|(key, value)| (key.to_owned(), percent_decode(value)))
            .collect(),
        headers,
        body,
    })
}

type Rest = (Vec<(String, String)>, Vec<u8>);

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<Rest> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
        if name == "content-length" {
            length = value.parse().ok()?;
        }
        headers.push((name, value));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, body))
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8(digits).unwrap_or_default();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8(bytes).unwrap_or_default()
}

/// Sends one call over a new connection; `None` without an answer in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let address: SocketAddr = address.parse().ok()?;
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    let mut writer = stream.try_clone().ok()?;
    writer.write_all((head + "\r\n" + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}
