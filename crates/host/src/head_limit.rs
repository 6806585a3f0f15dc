//! Limit of what is received before the head of a response is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What may still be received before the head of a response is complete, shared between a connection and
/// its stream.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    /// Number of bytes, or `None` once the head is complete.
    left: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Creates a limit of `bytes`, interim responses included.
    pub fn new(bytes: usize) -> Self {
        Self { left: Rc::new(Cell::new(Some(bytes))) }
    }

    /// Records that the head is complete: the limit no longer applies.
    pub fn head_arrived(&self) {
        self.left.set(None);
    }

    /// Returns true if the limit was reached before the head was complete.
    pub fn is_reached(&self) -> bool {
        self.left.get() == Some(0)
    }
}

/// A stream that fails when the limit is reached.
#[derive(Debug)]
pub struct LimitedStream<Io> {
    inner: Io,
    limit: HeadLimit,
}

impl<Io> LimitedStream<Io> {
    /// Wraps a stream.
    pub fn new(inner: Io, limit: HeadLimit) -> Self {
        Self { inner, limit }
    }
}

impl<Io> AsyncRead for LimitedStream<Io>
where
    Io: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_reached() {
            let message = "too many bytes before the head of a response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Some(left) = self.limit.left.get() {
            let received = buf.filled().len() - before;
            self.limit.left.set(Some(left.saturating_sub(received)));
        }
        poll
    }
}

impl<Io> AsyncWrite for LimitedStream<Io>
where
    Io: AsyncWrite + Unpin,
{
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
