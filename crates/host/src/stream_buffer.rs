//! Events of a stream that its client has not taken yet.
//!
//! An engine cuts off a response that is unread for some seconds, so the host keeps reading while a
//! client is slow. Most streams of current deployments, of some 20 KB, fit into the buffer completely.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::timeout;

use crate::connection::Phase;

/// Maximum size of the events of one stream that its client has not taken, in bytes.
const MAX_STREAM_BYTES: u64 = 64 << 10;
/// Size of the events of a stream that may be held even if other streams use all of the memory, in bytes.
const MIN_STREAM_BYTES: u64 = 2 << 10;
/// Number of parts of a stream that may be held at all.
pub const MAX_PARTS: usize = 4096;
/// Time after which a stream ends whose client takes nothing while the buffer is full.
pub const MAX_CLIENT_PAUSE: Duration = Duration::from_secs(5);

/// Memory that the buffers of all streams use together, and its limit, in bytes.
#[derive(Debug)]
pub struct StreamMemory {
    limit: u64,
    max_pause: Duration,
    used: Cell<u64>,
}

impl StreamMemory {
    /// Creates the memory of `limit` bytes. A client that takes nothing for `max_pause` is too slow.
    pub fn new(limit: u64, max_pause: Duration) -> Rc<Self> {
        Rc::new(Self { limit, max_pause, used: Cell::new(0) })
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> u64 {
        self.used.get()
    }
}

/// Size of the events of one stream that its client has not taken yet.
#[derive(Debug)]
pub struct StreamBuffer {
    memory: Rc<StreamMemory>,
    bytes: Cell<u64>,
    parts: Cell<u32>,
    taken_at: Cell<Instant>,
    taken: Notify,
    /// Phase of the connection to the client, once the response has begun.
    phase: RefCell<Option<Rc<Phase>>>,
}

impl StreamBuffer {
    /// Creates an empty buffer.
    pub fn new(memory: &Rc<StreamMemory>) -> Rc<Self> {
        Rc::new(Self {
            memory: memory.clone(),
            bytes: Cell::new(0),
            parts: Cell::new(0),
            taken_at: Cell::new(Instant::now()),
            taken: Notify::new(),
            phase: RefCell::new(None),
        })
    }

    /// Records that a part was added.
    pub fn add(&self, bytes: usize) {
        if self.parts.get() == 0 {
            self.taken_at.set(Instant::now());
        }
        self.bytes.set(self.bytes.get() + bytes as u64);
        self.parts.set(self.parts.get() + 1);
        self.memory.used.set(self.memory.used.get() + bytes as u64);
    }

    /// Records that the connection to the client took a part.
    pub fn take(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() - bytes as u64);
        self.parts.set(self.parts.get() - 1);
        self.memory.used.set(self.memory.used.get() - bytes as u64);
        self.taken_at.set(Instant::now());
        self.taken.notify_one();
    }

    /// Waits until there is room for a further part. Returns false if the client takes too long.
    pub async fn room(&self) -> bool {
        self.wait_until(Self::has_room).await
    }

    /// Waits until the client has taken everything. Returns false if it takes too long.
    pub async fn drained(&self) -> bool {
        self.wait_until(|buffer| buffer.parts.get() == 0).await
    }

    /// Sets the phase of the connection to the client.
    pub(crate) fn attach(&self, phase: &Rc<Phase>) {
        *self.phase.borrow_mut() = Some(phase.clone());
    }

    /// Has the connection to the client closed, which frees the memory.
    pub(crate) fn abort(&self) {
        if let Some(phase) = &*self.phase.borrow() {
            phase.abort();
        }
    }

    async fn wait_until<Condition>(&self, condition: Condition) -> bool
    where
        Condition: Fn(&Self) -> bool,
    {
        while !condition(self) {
            let wait = self.memory.max_pause.saturating_sub(self.taken_at.get().elapsed());
            if wait.is_zero() {
                return false;
            }
            // Memory that other streams free is noticed with the next part that is taken.
            let _ = timeout(wait, self.taken.notified()).await;
        }
        true
    }

    fn has_room(&self) -> bool {
        let is_within =
            self.bytes.get() < MAX_STREAM_BYTES && self.memory.used.get() < self.memory.limit;
        let parts = self.parts.get() as usize;
        parts < MAX_PARTS && (self.bytes.get() < MIN_STREAM_BYTES || is_within)
    }
}

impl Drop for StreamBuffer {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.bytes.get());
    }
}
