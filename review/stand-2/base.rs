//! Basics of the stand-ins: JSON, base64, HTTP/1.1, and the record of a run. Only the standard
//! library is used.

use std::{
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, OnceLock},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Str(value.into())
}

pub fn num(value: u64) -> Json {
    Json::Num(value as f64)
}

pub fn obj(fields: Vec<(&str, Json)>) -> Json {
    let fields = fields.into_iter();
    Json::Obj(
        fields
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn u64(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Num(value)) => *value as u64,
            _ => 0,
        }
    }

    pub fn str(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Str(value)) => value,
            _ => "",
        }
    }

    pub fn rows(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::Arr(rows)) => rows,
            _ => &[],
        }
    }

    pub fn as_str(&self) -> &str {
        match self {
            Json::Str(value) => value,
            _ => "",
        }
    }

    /// Replaces or adds a field of an object.
    pub fn set(&mut self, name: &str, value: Json) {
        self.remove(name);
        if let Json::Obj(fields) = self {
            fields.push((name.to_owned(), value));
        }
    }

    /// Removes a field of an object.
    pub fn remove(&mut self, name: &str) {
        if let Json::Obj(fields) = self {
            fields.retain(|(key, _)| key != name);
        }
    }

    pub fn render(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(value) if value.fract() == 0.0 => out.push_str(&format!("{value:.0}")),
            Json::Num(value) => out.push_str(&value.to_string()),
            Json::Str(value) => write_text(value, out),
            Json::Arr(rows) => {
                out.push('[');
                for (index, row) in rows.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    row.write(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == bytes.len()).then_some(value)
    }
}

fn write_text(value: &str, out: &mut String) {
    out.push('"');
    for c in value.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Obj(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Obj(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::Arr(rows));
                }
                loop {
                    rows.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::Arr(rows));
                    }
                }
            }
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let from = self.at;
                let is_number = |b: &u8| b"+-.eE0123456789".contains(b);
                while self.bytes.get(self.at).is_some_and(is_number) {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                number.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    self.at += 1;
                    let c = match *self.bytes.get(self.at)? {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'u' => {
                            let hex = self.bytes.get(self.at + 1..self.at + 5)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16);
                            char::from_u32(code.ok()?)?
                        }
                        other => char::from(other),
                    };
                    let mut buffer = [0; 4];
                    out.extend(c.encode_utf8(&mut buffer).as_bytes());
                    self.at += 1;
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (word >> (18 - 6 * digit)) & 63;
                out.push(char::from(DIGITS[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// The record of a run: one line an event, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn open_record(path: &str) {
    let file = File::create(path).expect("create the record");
    let _ = RECORD.set(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    RECORD
        .get()
        .map_or(0, |record| record.start.elapsed().as_millis() as u64)
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

pub fn note(line: impl AsRef<str>) {
    let Some(record) = RECORD.get() else { return };
    let line = format!("{:>7} {}\n", now_ms(), line.as_ref());
    let mut file = record.file.lock().unwrap();
    let _ = file.write_all(line.as_bytes());
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    stream: Option<TcpStream>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Whether the caller has closed its connection.
    pub fn is_closed(&self) -> bool {
        let Some(stream) = &self.stream else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        let closed = matches!(stream.peek(&mut [0; 1]), Ok(0));
        let _ = stream.set_read_timeout(None);
        closed
    }

    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

/// Status and body of a response; `None` closes the connection without one.
pub type Reply = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Serves HTTP on a free loopback port and returns its address.
pub fn serve(ip: &str, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("bind a loopback address");
    let address = listener.local_addr().expect("address of a listener");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut request = read_request(&mut reader)?;
        request.stream = writer.try_clone().ok();
        let (status, body) = handler(&request)?;
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(format!("{head}{body}").as_bytes()).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
        stream: None,
    })
}

fn decode(value: &str) -> String {
    let mut out = Vec::new();
    let bytes = value.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| value.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request over a connection of its own; `None` if there is no complete response in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    let limit = Duration::from_millis(timeout_ms);
    let stream = TcpStream::connect_timeout(&address.parse().ok()?, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("\r\n");
    request.push_str(body);
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
