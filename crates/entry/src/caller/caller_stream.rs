use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

/// Number of consecutive windows in which a caller may read too little. More than one,
/// because this thread may be the slow side.
const MAX_SLOW_WINDOWS: u32 = 3;

/// A caller's connection that fails when the caller reads its response too slowly.
///
/// A caller that stops reading would hold its response in memory indefinitely. While a
/// write is pending, the caller must read a minimum number of bytes within a few windows,
/// so the memory of a response is held for a bounded time. A caller that neither reads nor
/// sends is limited by the timeout of the request head instead.
pub(crate) struct CallerStream {
    stream: TcpStream,
    window: Duration,
    min_bytes: usize,
    written: usize,
    slow_windows: u32,
    window_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps a connection. While a write is pending, `min_bytes` must be read within
    /// `MAX_SLOW_WINDOWS` windows of length `window`.
    pub fn new(stream: TcpStream, window: Duration, min_bytes: usize) -> Self {
        Self {
            stream,
            window,
            min_bytes,
            written: 0,
            slow_windows: 0,
            window_timer: None,
        }
    }

    fn track_write(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match poll {
            Poll::Ready(Ok(count)) => {
                self.written += count;
                if self.written >= self.min_bytes {
                    self.reset_window();
                }
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(cause)) => Poll::Ready(Err(cause)),
            Poll::Pending => self.poll_window(cx),
        }
    }

    fn reset_window(&mut self) {
        self.written = 0;
        self.slow_windows = 0;
        self.window_timer = None;
    }

    fn poll_window(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let window = self.window;
        while self.slow_windows < MAX_SLOW_WINDOWS {
            let window_timer = self
                .window_timer
                .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(Instant::now() + window)));
            ready!(window_timer.as_mut().poll(cx));
            self.slow_windows += 1;
            self.window_timer = None;
        }
        metrics::counter!("lws_callers_stalled").increment(1);
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller does not take its answer",
        )))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.track_write(cx, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The last bytes of the response are in the kernel's buffer, so its window ends.
        self.reset_window();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.track_write(cx, poll)
    }
}
