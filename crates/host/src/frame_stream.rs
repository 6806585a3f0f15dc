//! Connections between hosts that carry authenticated frames.

use std::io;

use bytes::Bytes;
use camphorloft_peer::seal::FrameKeys;
use camphorloft_peer::stream::codec;
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Connection between hosts that carries authenticated frames.
pub struct FrameStream {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    keys: FrameKeys,
}

impl FrameStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, keys: FrameKeys) -> Self {
        Self { framed: Framed::new(stream, codec()), keys }
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn write<M>(&mut self, message: &M) -> io::Result<()>
    where
        M: Message,
    {
        let sealed = self.keys.seal(&message.encode_to_vec());
        futures_util::SinkExt::send(&mut self.framed, Bytes::from(sealed)).await
    }

    /// Receives a message.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, and an error for a frame that is not authentic or malformed.
    pub async fn read<M>(&mut self) -> io::Result<M>
    where
        M: Message + Default,
    {
        let frame = futures_util::StreamExt::next(&mut self.framed).await;
        let frame = frame.ok_or(io::ErrorKind::UnexpectedEof)??;
        let payload = self.keys.open(&frame).map_err(io::Error::other)?;
        M::decode(payload).map_err(io::Error::other)
    }

    /// Returns the connection, to carry other data from here on.
    ///
    /// # Errors
    ///
    /// Returns an error if data was received that belongs to no frame.
    pub fn into_stream(self) -> io::Result<TcpStream> {
        let parts = self.framed.into_parts();
        match parts.read_buf.is_empty() {
            true => Ok(parts.io),
            false => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}
