use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use ureq::{Agent, config::Config};

use super::entry_fixture::{KEY, SERVICE};

/// A response to a caller.
#[derive(Clone, Debug)]
pub struct CallReply {
    pub status: u16,
    pub request: String,
    pub retry_after: Option<String>,
    pub body: Vec<u8>,
}

impl CallReply {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap()
    }
    pub fn problem(&self) -> String {
        self.json()["problem"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
    pub fn fate(&self) -> String {
        self.json()["fate"].as_str().unwrap_or_default().to_owned()
    }
    pub fn text(&self) -> String {
        String::from_utf8(self.body.clone()).unwrap()
    }
}

/// Sends requests to one entry server.
#[derive(Clone)]
pub struct Caller {
    address: SocketAddr,
    agent: Agent,
    headers: Vec<(String, String)>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        let config = Config::builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(60)))
            .proxy(None)
            .build();
        Self {
            address,
            agent: config.new_agent(),
            headers: vec![("authorization".to_owned(), format!("Bearer {KEY}"))],
        }
    }

    pub fn with_key(self, key: &str) -> Self {
        self.with("authorization", &format!("Bearer {key}"))
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self
    }

    /// Sends a request to the service of the fixture.
    pub fn ask(&self, body: &[u8]) -> CallReply {
        self.post(&format!("/v1/services/{SERVICE}/requests"), body)
    }

    pub fn post(&self, path: &str, body: &[u8]) -> CallReply {
        let mut builder = self.agent.post(format!("http://{}{path}", self.address));
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        read(builder.send(body).unwrap())
    }

    pub fn get(&self, path: &str) -> CallReply {
        let mut builder = self.agent.get(format!("http://{}{path}", self.address));
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        read(builder.call().unwrap())
    }

    pub fn delete(&self, path: &str) -> CallReply {
        let mut builder = self.agent.delete(format!("http://{}{path}", self.address));
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        read(builder.call().unwrap())
    }

    /// Mints a request id.
    pub fn mint(&self) -> String {
        let reply = self.post("/v1/request-ids", b"");
        assert_eq!(reply.status, 200, "{}", reply.text());
        reply.json()["request_id"].as_str().unwrap().to_owned()
    }
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> CallReply {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let request = header("request-id").unwrap_or_default();
    let retry_after = header("retry-after");
    CallReply {
        status: response.status().as_u16(),
        request,
        retry_after,
        body: response
            .body_mut()
            .with_config()
            .limit(64 * 1024 * 1024)
            .read_to_vec()
            .unwrap(),
    }
}

/// Sends raw bytes and reads until the server closes the connection or the timeout expires.
pub fn raw_exchange(address: SocketAddr, bytes: &[u8], timeout: Duration) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(timeout)).unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}
