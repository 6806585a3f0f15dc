//! Limit of what is received before the head of a response is complete.

use std::cell::Cell;
use std::rc::Rc;

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

    /// Records that bytes were received.
    pub fn record_received(&self, bytes: usize) {
        if let Some(left) = self.left.get() {
            self.left.set(Some(left.saturating_sub(bytes)));
        }
    }

    /// Returns true if the limit was reached before the head was complete.
    pub fn is_reached(&self) -> bool {
        self.left.get() == Some(0)
    }
}
