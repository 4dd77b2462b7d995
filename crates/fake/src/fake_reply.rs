use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use hyper::{
    Response,
    body::{Body, Bytes, Frame, SizeHint},
};
use serde::Serialize;

/// What a stand-in answers.
#[derive(Clone, Debug, Default)]
pub struct FakeReply {
    /// HTTP status; 0 closes the connection without an answer.
    pub status: u16,
    /// Headers by name.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Closes the connection after this many bytes of the body.
    pub cut_after: Option<usize>,
}

impl FakeReply {
    /// An answer without a body.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// Status 200 with JSON.
    pub fn json<T: Serialize>(value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::status(200)
            .with_header("Content-Type", "application/json")
            .with_body(body)
    }

    /// Closes the connection without an answer.
    pub fn lost() -> Self {
        Self::default()
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header<T: ToString + ?Sized>(mut self, name: &'static str, value: &T) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Promises the whole body and breaks off after `bytes` of it.
    #[must_use]
    pub fn with_cut(mut self, bytes: usize) -> Self {
        self.cut_after = Some(bytes);
        self
    }

    pub(crate) fn into_response(self) -> Option<Response<ReplyBody>> {
        if self.status == 0 {
            return None;
        }
        let mut builder = Response::builder().status(self.status);
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        builder.body(ReplyBody::new(self.body, self.cut_after)).ok()
    }
}

/// A body that may break off before its announced end.
#[derive(Debug)]
pub(crate) struct ReplyBody {
    announced: u64,
    rest: Option<Bytes>,
    cut: bool,
    flushed: bool,
}

impl ReplyBody {
    fn new(mut body: Vec<u8>, cut_after: Option<usize>) -> Self {
        let announced = body.len() as u64;
        let cut = cut_after.is_some_and(|bytes| bytes < body.len());
        if let Some(bytes) = cut_after {
            body.truncate(bytes);
        }
        Self {
            announced,
            rest: (!body.is_empty()).then(|| Bytes::from(body)),
            cut,
            flushed: false,
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(bytes) = self.rest.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.cut && !self.flushed {
            // One turn for the server to send what it holds before the connection breaks.
            self.flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.cut {
            let error = io::Error::from(io::ErrorKind::ConnectionAborted);
            return Poll::Ready(Some(Err(error)));
        }
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_none() && !self.cut
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.announced)
    }
}
