//! Timeouts of a client connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use camphorloft_serving::prelude::ClientLimits;
use http::Version;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    /// The first byte of a request.
    Request(Instant),
    /// The rest of a request head.
    Head(Instant),
    /// The end of a response.
    Response,
    /// The end of the connection, which makes room for another.
    Close,
    /// Nothing any more: the client is too slow.
    Aborted,
}

/// Phase of a connection, shared between its stream and its response bodies.
#[derive(Debug)]
pub struct Phase {
    waiting: Cell<Waiting>,
    /// Whether the client has not taken all that is to be sent.
    is_write_blocked: Cell<bool>,
    /// Time until which the client has to take the response that is being sent.
    response_deadline: Cell<Option<Instant>>,
    /// Whether the client takes the end of the connection for the end of a response without a length.
    ends_with_connection: Cell<bool>,
    /// Whether a response was interrupted.
    is_interrupted: Cell<bool>,
    /// Notified when the connection is to close if it is idle.
    close_requested: Notify,
}

impl Phase {
    /// Builds the phase of a newly accepted connection.
    pub fn new() -> Self {
        Self {
            waiting: Cell::new(Waiting::Request(Instant::now())),
            is_write_blocked: Cell::new(false),
            response_deadline: Cell::new(None),
            ends_with_connection: Cell::new(false),
            is_interrupted: Cell::new(false),
            close_requested: Notify::new(),
        }
    }

    /// Records that bytes were received.
    fn bytes_arrived(&self) {
        if let Waiting::Request(_) | Waiting::Close = self.waiting.get() {
            self.waiting.set(Waiting::Head(Instant::now()));
        }
    }

    /// Records the result of a write. The idle time begins when the client has taken the response.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        self.is_write_blocked.set(written.is_pending());
        if let Waiting::Request(_) = self.waiting.get() {
            self.waiting.set(Waiting::Request(Instant::now()));
        }
    }

    /// Records that a complete request head was received.
    pub(crate) fn head_arrived(&self, version: Version) {
        self.ends_with_connection.set(version <= Version::HTTP_10);
        self.response_deadline.set(None);
        self.waiting.set(Waiting::Response);
    }

    /// Sets the time until which the client has to take the response.
    pub(crate) fn set_response_deadline(&self, deadline: Option<Instant>) {
        self.response_deadline.set(deadline);
    }

    /// Records that a response has ended.
    pub(crate) fn response_ended(&self) {
        self.waiting.set(Waiting::Request(Instant::now()));
    }

    /// Records that a response was interrupted.
    pub(crate) fn response_interrupted(&self) {
        self.is_interrupted.set(true);
    }

    /// Records that the response is given up because its client is too slow.
    pub(crate) fn abort(&self) {
        self.waiting.set(Waiting::Aborted);
    }

    /// Returns true if the connection is waiting for a new request, and the client has taken all responses.
    pub fn is_idle(&self) -> bool {
        self.idle_since().is_some()
    }

    /// Returns since when the connection has been idle, or `None` if it is not.
    pub fn idle_since(&self) -> Option<Instant> {
        match self.waiting.get() {
            Waiting::Request(since) if !self.is_write_blocked.get() => Some(since),
            _ => None,
        }
    }

    /// Asks the connection to close if it is idle. It does not count as idle until its next request.
    pub(crate) fn request_close(&self) {
        self.waiting.set(Waiting::Close);
        self.close_requested.notify_one();
    }

    /// Waits until the connection is to close.
    pub(crate) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Returns true if the connection is to close and nothing arrived since.
    pub(crate) fn is_closing(&self) -> bool {
        self.waiting.get() == Waiting::Close
    }

    /// Returns true if a part of a request head was received.
    pub fn is_reading_head(&self) -> bool {
        matches!(self.waiting.get(), Waiting::Head(_))
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
        let deadline = self.response_deadline.get();
        let until_deadline = deadline.map(|at| at.saturating_duration_since(Instant::now()));
        let (since, limit) = match (self.waiting.get(), until_deadline) {
            (Waiting::Aborted, _) => return Some(Duration::ZERO),
            (_, Some(left)) if self.is_write_blocked.get() => return Some(left),
            (Waiting::Close, _) => return None,
            (Waiting::Response, left) => return left.filter(|left| !left.is_zero()),
            (Waiting::Request(since), _) => (since, limits.idle_timeout),
            (Waiting::Head(since), _) => (since, limits.head_timeout),
        };
        Some(limit.saturating_sub(since.elapsed()))
    }
}

impl Default for Phase {
    fn default() -> Self {
        Self::new()
    }
}

/// A TCP stream that records in the phase of its connection what is received and what cannot be sent.
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

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if self.phase.ends_with_connection.get() && self.phase.is_interrupted.get() {
            // Without chunks, only a reset shows that the response is not complete. A socket that does not
            // support the option has already failed.
            let _ = SockRef::from(&self.inner).set_linger(Some(Duration::ZERO));
        }
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
        let poll = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.phase.record_write(&poll);
        poll
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
        let poll = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.phase.record_write(&poll);
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
