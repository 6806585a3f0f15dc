//! Timeouts of a client connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use camphorloft_serving::prelude::ClientLimits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    /// The first byte of a request.
    Request(Instant),
    /// The rest of a request head.
    Head(Instant),
    /// The end of a response.
    Response,
    /// Nothing any more: the client is too slow.
    Aborted,
}

/// Phase of a connection, shared between its stream and its response bodies.
#[derive(Debug)]
pub struct Phase(Cell<Waiting>);

impl Phase {
    /// Builds the phase of a newly accepted connection.
    pub fn new() -> Self {
        Self(Cell::new(Waiting::Request(Instant::now())))
    }

    /// Records that bytes were received.
    fn bytes_arrived(&self) {
        if let Waiting::Request(_) = self.0.get() {
            self.0.set(Waiting::Head(Instant::now()));
        }
    }

    /// Records that a complete request head was received.
    pub(crate) fn head_arrived(&self) {
        self.0.set(Waiting::Response);
    }

    /// Records that a response has ended.
    pub(crate) fn response_ended(&self) {
        self.0.set(Waiting::Request(Instant::now()));
    }

    /// Records that the response is given up because its client is too slow.
    pub(crate) fn abort(&self) {
        self.0.set(Waiting::Aborted);
    }

    /// Returns true if the connection is waiting for a new request.
    pub fn is_idle(&self) -> bool {
        matches!(self.0.get(), Waiting::Request(_))
    }

    /// Returns true if a part of a request head was received.
    pub fn is_reading_head(&self) -> bool {
        matches!(self.0.get(), Waiting::Head(_))
    }

    /// Returns the time until a timeout expires, zero if it has expired, or `None` if none applies.
    ///
    /// ```
    /// use camphorloft_host::connection::Phase;
    /// use camphorloft_serving::prelude::ClientLimits;
    /// let limits = ClientLimits::default();
    /// let left = Phase::new().time_left(&limits).unwrap();
    /// assert!(left <= limits.idle_timeout && left > limits.idle_timeout / 2);
    /// ```
    pub fn time_left(&self, limits: &ClientLimits) -> Option<Duration> {
        let (since, limit) = match self.0.get() {
            Waiting::Request(since) => (since, limits.idle_timeout),
            Waiting::Head(since) => (since, limits.head_timeout),
            Waiting::Response => return None,
            Waiting::Aborted => return Some(Duration::ZERO),
        };
        Some(limit.saturating_sub(since.elapsed()))
    }
}

impl Default for Phase {
    fn default() -> Self {
        Self::new()
    }
}

/// A TCP stream that records received bytes in the phase of its connection.
#[derive(Debug)]
pub struct WatchedStream {
    inner: TcpStream,
    phase: Rc<Phase>,
}

impl WatchedStream {
    /// Wraps a TCP stream.
    pub fn new(inner: TcpStream, phase: Rc<Phase>) -> Self {
        Self { inner, phase }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.phase.bytes_arrived();
        }
        poll
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
