//! Splits a response body into server-sent events.

use std::io::{self, Read};

/// Size of one read from the body, in bytes.
const READ_BYTES: usize = 4096;
/// Longest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reads complete events, each terminated by a blank line (`\n\n`), from a response body.
pub struct EventReader<R>
where
    R: Read,
{
    body: R,
    buf: Vec<u8>,
    start: usize,
}

impl<R> EventReader<R>
where
    R: Read,
{
    /// Wraps a response body.
    pub fn new(body: R) -> Self {
        Self { body, buf: Vec::with_capacity(READ_BYTES), start: 0 }
    }

    /// Returns the next event without its blank line, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, `UnexpectedEof` when the body ends within an event, and
    /// `InvalidData` for an event that is too long or not UTF-8.
    ///
    /// ```
    /// use camphorloft_http::event_reader::EventReader;
    /// let mut reader = EventReader::new(&b"data: a\n\ndata: b\n\n"[..]);
    /// assert_eq!(reader.next_event().unwrap(), Some("data: a".to_owned()));
    /// ```
    pub fn next_event(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(event) = self.buffered_event()? {
                return Ok(Some(event));
            }
            if self.fill()? == 0 {
                let truncated = self.start < self.buf.len();
                return if truncated { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
            }
        }
    }

    /// Returns the next event if it is completely buffered, without reading from the body.
    ///
    /// # Errors
    ///
    /// Returns `InvalidData` for an event that is too long or not UTF-8.
    pub fn buffered_event(&mut self) -> io::Result<Option<String>> {
        let pending = &self.buf[self.start..];
        let Some(end) = pending.windows(2).position(|w| w == b"\n\n") else {
            let too_long = pending.len() > MAX_EVENT_BYTES;
            return if too_long { Err(io::ErrorKind::InvalidData.into()) } else { Ok(None) };
        };
        let event = std::str::from_utf8(&pending[..end])
            .map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))?
            .to_owned();
        self.start += end + 2;
        Ok(Some(event))
    }

    /// Returns true when a complete event is buffered.
    pub fn has_buffered(&self) -> bool {
        self.buf[self.start..].windows(2).any(|w| w == b"\n\n")
    }

    fn fill(&mut self) -> io::Result<usize> {
        self.buf.drain(..self.start);
        self.start = 0;
        let len = self.buf.len();
        self.buf.resize(len + READ_BYTES, 0);
        let result = self.body.read(&mut self.buf[len..]);
        self.buf.truncate(len + *result.as_ref().unwrap_or(&0));
        result
    }
}

/// Returns the `data` field of an event.
pub fn event_data(event: &str) -> Option<&str> {
    event.lines().find_map(|line| line.strip_prefix("data:")).map(str::trim_start)
}

/// Returns the `id` field of an event.
pub fn event_id(event: &str) -> Option<&str> {
    event.lines().find_map(|line| line.strip_prefix("id:")).map(str::trim)
}
