//! Tests that events are flushed to the connection as soon as they are sent.

use std::cell::RefCell;
use std::io::{self, Write};
use std::rc::Rc;

use camphorloft_http::event_stream::EventStream;

/// A connection behind a write buffer, as in `tiny_http`.
#[derive(Clone, Default)]
struct BufferedConnection {
    buffered: Rc<RefCell<Vec<u8>>>,
    sent: Rc<RefCell<Vec<u8>>>,
}

impl Write for BufferedConnection {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.buffered.borrow_mut().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.sent.borrow_mut().append(&mut self.buffered.borrow_mut());
        Ok(())
    }
}

impl BufferedConnection {
    fn sent_text(&self) -> String {
        String::from_utf8(self.sent.borrow().clone()).unwrap()
    }
}

#[test]
fn each_send_reaches_the_connection() {
    let connection = BufferedConnection::default();
    let mut stream = EventStream::with_writer(connection.clone(), &[("a", "b")]).unwrap();
    assert!(connection.sent_text().ends_with("a: b\r\n\r\n"));
    stream.send(b"data: 1\n\n").unwrap();
    assert!(connection.sent_text().ends_with("9\r\ndata: 1\n\n\r\n"));
    stream.send(b"data: 2\n\n").unwrap();
    assert!(connection.sent_text().ends_with("9\r\ndata: 2\n\n\r\n"));
}

#[test]
fn the_terminating_chunk_reaches_the_connection() {
    let connection = BufferedConnection::default();
    let mut stream = EventStream::with_writer(connection.clone(), &[]).unwrap();
    stream.send(b"data: [DONE]\n\n").unwrap();
    stream.finish();
    assert!(connection.sent_text().ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"));
}
