//! Cuts a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; the relay keeps a part of an event until the rest arrives.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event as it arrived, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes.
    pub bytes: Bytes,
    /// Value of its `id` field, if it is a number.
    pub id: Option<u64>,
}

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Takes bytes that arrived. Returns false when an event is too large to keep.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next whole event.
    ///
    /// ```
    /// use camphorloft_host::event_splitter::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(b"id: 7\ndata: a\n\nid: 8\nda");
    /// assert_eq!(splitter.next_event().unwrap().id, Some(7));
    /// assert!(splitter.next_event().is_none());
    /// assert!(splitter.has_partial());
    /// ```
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns true when the start of an event arrived without its end.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the bytes of the event that has not ended.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// Returns the offset behind the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let mut line_start = self.scanned;
        while let Some(length) = self.buf[line_start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buf[line_start..line_start + length];
            line_start += length + 1;
            if line.is_empty() || line == b"\r" {
                return Some(line_start);
            }
            self.scanned = line_start;
        }
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
