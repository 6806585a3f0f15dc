//! Length-delimited frames over TCP.

use std::io::{self, Read, Write};

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::seal::{FrameError, FrameKeys};

/// Maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Maximum number of bytes per read from the connection.
const READ_BYTES: usize = 16 * 1024;

/// Returns the codec of the frames.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

fn invalid(err: FrameError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, err)
}

/// Encodes, seals and writes a message.
///
/// # Errors
///
/// Returns an error when the frame is too long or the write fails.
pub fn write_frame<W, M>(writer: &mut W, keys: &FrameKeys, message: &M) -> io::Result<()>
where
    W: Write,
    M: Message,
{
    let sealed = keys.seal(&message.encode_to_vec());
    let mut buf = BytesMut::new();
    codec().encode(Bytes::from(sealed), &mut buf)?;
    writer.write_all(&buf)?;
    writer.flush()
}

/// Reads, opens and decodes one message.
///
/// # Errors
///
/// Returns the error of the connection, `UnexpectedEof` when the stream ends within a frame and
/// `InvalidData` for a frame that is too long, not authentic or malformed.
pub fn read_frame<R, M>(reader: &mut R, keys: &FrameKeys) -> io::Result<M>
where
    R: Read,
    M: Message + Default,
{
    let mut codec = codec();
    let mut buf = BytesMut::new();
    loop {
        if let Some(frame) = codec.decode(&mut buf)? {
            let payload = keys.open(&frame).map_err(invalid)?;
            return M::decode(payload).map_err(|_| invalid(FrameError::Malformed));
        }
        let len = buf.len();
        buf.resize(len + READ_BYTES, 0);
        let read = reader.read(&mut buf[len..])?;
        buf.truncate(len + read);
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
