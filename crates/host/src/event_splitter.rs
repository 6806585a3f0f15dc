//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

use crate::event_id::EventId;

/// Maximum size of an event, in bytes. An incomplete event is buffered until the rest arrives.
const MAX_EVENT_BYTES: usize = 1 << 18;

/// An event as received, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is a number.
    pub id: Option<EventId>,
}

impl Event {
    /// Returns true if it cannot belong to a stream whose events have identifiers: it has none, and is not a
    /// comment or a retry delay. It may be another response on the same connection.
    ///
    /// ```
    /// use camphorloft_host::event_splitter::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(b"id: 7\ndata: a\n\nretry: 100\n\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    /// assert!(!splitter.next_event().unwrap().is_foreign());
    /// assert!(!splitter.next_event().unwrap().is_foreign());
    /// assert!(splitter.next_event().unwrap().is_foreign());
    /// ```
    pub fn is_foreign(&self) -> bool {
        self.id.is_none() && self.has_data()
    }

    /// Returns true if it is an event of the stream, and not only comments or a retry delay. Servers send comments
    /// to keep a connection open, also before the first event.
    ///
    /// ```
    /// use camphorloft_host::event_splitter::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(b": still here\r\n\r\nretry: 100\n\nid: 7\ndata: a\n\n");
    /// assert!(!splitter.next_event().unwrap().has_data());
    /// assert!(!splitter.next_event().unwrap().has_data());
    /// assert!(splitter.next_event().unwrap().has_data());
    /// ```
    pub fn has_data(&self) -> bool {
        !self.has_only(|line| is_comment(line) || line.starts_with(b"retry:"))
    }

    /// Returns true if it has no field, so that clients ignore it.
    ///
    /// ```
    /// use camphorloft_host::event_splitter::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(b": still here\r\n\r\nid: 7\ndata: a\n\n");
    /// assert!(splitter.next_event().unwrap().is_comment());
    /// assert!(!splitter.next_event().unwrap().is_comment());
    /// ```
    pub fn is_comment(&self) -> bool {
        self.has_only(is_comment)
    }

    fn has_only<Test>(&self, test: Test) -> bool
    where
        Test: Fn(&[u8]) -> bool,
    {
        self.bytes.split(|byte| *byte == b'\n').all(test)
    }
}

fn is_comment(line: &[u8]) -> bool {
    line.is_empty() || line == b"\r" || line.starts_with(b":")
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Offset of the line that is not complete yet. The lines before it do not end an event.
    line_start: usize,
    /// Offset up to which the end of that line was not found.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes. Returns false if the buffered event is too large.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    ///
    /// ```
    /// use camphorloft_host::event_splitter::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(b"id: 7\ndata: a\n\nid: 8\nda");
    /// assert_eq!(splitter.next_event().unwrap().id, Some("7".parse().unwrap()));
    /// assert!(splitter.next_event().is_none());
    /// assert!(splitter.has_partial());
    /// ```
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        (self.line_start, self.scanned) = (0, 0);
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns true if an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        (self.line_start, self.scanned) = (0, 0);
        self.buf.split().freeze()
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn partial_len(&self) -> usize {
        self.buf.len()
    }

    /// Returns the offset after the first blank line. Each byte is scanned once, however few arrive at a time.
    fn find_end(&mut self) -> Option<usize> {
        while let Some(length) = self.buf[self.scanned..].iter().position(|byte| *byte == b'\n') {
            let line_end = self.scanned + length;
            let line = &self.buf[self.line_start..line_end];
            let is_blank = line.is_empty() || line == b"\r";
            (self.line_start, self.scanned) = (line_end + 1, line_end + 1);
            if is_blank {
                return Some(self.scanned);
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
