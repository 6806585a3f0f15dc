//! Writes server-sent events to a client, flushed one write at a time.
//!
//! `tiny_http` buffers 8 KiB of an ordinary chunked response before it writes, and its raw writer
//! buffers 1 KiB, which would delay tokens. [`EventStream`] uses the raw writer, sends each write
//! as a separate chunk and flushes both the encoder and the writer below it.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use tiny_http::Request;

/// Flushes its writer when dropped, after the encoder has written the terminating chunk to it.
struct FlushOnDrop<W>(W)
where
    W: Write;

impl<W> Write for FlushOnDrop<W>
where
    W: Write,
{
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl<W> Drop for FlushOnDrop<W>
where
    W: Write,
{
    fn drop(&mut self) {
        // A destructor cannot return an error.
        let _ = self.0.flush();
    }
}

/// An open event stream.
pub struct EventStream<W>
where
    W: Write,
{
    encoder: Encoder<FlushOnDrop<W>>,
}

/// An event stream over the connection of a `tiny_http` request.
pub type RequestEventStream = EventStream<Box<dyn Write + Send + 'static>>;

impl RequestEventStream {
    /// Sends the response head of an event stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub fn start(req: Request, extra_headers: &[(&str, &str)]) -> io::Result<Self> {
        Self::with_writer(req.into_writer(), extra_headers)
    }
}

impl<W> EventStream<W>
where
    W: Write,
{
    /// Sends the response head of an event stream to `writer`.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer.
    pub fn with_writer(mut writer: W, extra_headers: &[(&str, &str)]) -> io::Result<Self> {
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-store\r\n\
             transfer-encoding: chunked\r\n",
        );
        for (name, value) in extra_headers {
            head.push_str(name);
            head.push_str(": ");
            head.push_str(value);
            head.push_str("\r\n");
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { encoder: Encoder::new(FlushOnDrop(writer)) })
    }

    /// Writes the bytes of complete events as one chunk and flushes them.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, for example when the client has disconnected.
    pub fn send(&mut self, events: &[u8]) -> io::Result<()> {
        self.encoder.write_all(events)?;
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }

    /// Ends the response with the terminating chunk.
    pub fn finish(self) {
        drop(self.encoder);
    }
}
