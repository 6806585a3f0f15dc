//! Bytes of an endpoint that another host forwards, with a mark at their end.
//!
//! When a process ends, the operating system closes its connections in the same way as the process itself
//! does. Without a mark, a response that ends with its connection would look complete when the host that
//! forwards it stops halfway.

use std::future::ready;
use std::io;
use std::pin::pin;

use bytes::{Bytes, BytesMut};
use futures_util::future::Either;
use futures_util::{SinkExt, StreamExt, TryStreamExt, stream};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::{ReaderStream, StreamReader};

/// Size of the buffer for the bytes of an endpoint, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Forwards the bytes of an endpoint in frames until they end. An empty frame marks the end.
///
/// # Errors
///
/// Returns the error of a connection. The end is not marked then.
pub async fn forward_marked<Rx, Tx>(endpoint: Rx, host: Tx) -> io::Result<()>
where
    Rx: AsyncRead,
    Tx: AsyncWrite + Unpin,
{
    let mut frames = FramedWrite::new(host, LengthDelimitedCodec::new());
    let mut parts = pin!(ReaderStream::with_capacity(endpoint, BUFFER_BYTES));
    frames.send_all(&mut parts).await?;
    frames.send(Bytes::new()).await
}

/// Returns a reader of the bytes of an endpoint that another host forwards. It fails if `rx` ends before
/// the mark, and at any end of `rx` if the other host does not mark the end.
pub fn forwarded_bytes<Rx>(rx: Rx, marks_end: bool) -> impl AsyncRead + Unpin
where
    Rx: AsyncRead + Unpin,
{
    let parts = match marks_end {
        true => {
            let frames = FramedRead::new(rx, LengthDelimitedCodec::new());
            Either::Left(frames.map_ok(BytesMut::freeze))
        }
        // `ReaderStream` never yields an empty part.
        false => Either::Right(ReaderStream::with_capacity(rx, BUFFER_BYTES)),
    };
    let unmarked_end =
        || io::Error::new(io::ErrorKind::UnexpectedEof, "the forwarding host stopped");
    let parts = parts.chain(stream::once(ready(Err(unmarked_end()))));
    StreamReader::new(parts.try_take_while(|part| ready(Ok(!part.is_empty()))))
}
