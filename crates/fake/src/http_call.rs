use hyper::HeaderMap;
use serde::de::DeserializeOwned;

/// A call as a stand-in sees it.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method, in capitals.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// False if the body broke off or was too large.
    pub whole: bool,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpCall {
    /// Value of a header, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Number in a header.
    pub fn header_number(&self, name: &str) -> Option<u64> {
        self.header(name).parse().ok()
    }

    /// Value of a part of the query.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Number in a part of the query.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_value(name)?.parse().ok()
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}
