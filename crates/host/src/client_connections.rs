//! Open client connections, of which the longest idle one makes room for another.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::connection::Phase;

/// Minimum time for which a connection is idle before it makes room for another. The first request of a client may
/// arrive a little after its connection.
const MIN_IDLE_TIME: Duration = Duration::from_millis(500);

/// Open client connections.
#[derive(Debug, Default)]
pub struct ClientConnections {
    open: RefCell<BTreeMap<u64, Rc<Phase>>>,
    accepted: Cell<u64>,
}

impl ClientConnections {
    /// Adds a connection, which is removed when the returned value is dropped.
    pub fn add(self: &Rc<Self>, phase: Rc<Phase>) -> OpenConnection {
        let number = self.accepted.get();
        self.accepted.set(number + 1);
        self.open.borrow_mut().insert(number, phase);
        OpenConnection { number, connections: self.clone() }
    }

    /// Asks the connection that has been idle for the longest time to close. Returns false if none has been idle
    /// for long enough.
    ///
    /// ```
    /// use std::rc::Rc;
    /// use std::time::{Duration, Instant};
    /// use camphorloft_host::client_connections::ClientConnections;
    /// use camphorloft_host::connection::Phase;
    /// let connections = Rc::new(ClientConnections::default());
    /// let open = connections.add(Rc::new(Phase::new()));
    /// assert!(!connections.close_longest_idle(Instant::now()));
    /// assert!(connections.close_longest_idle(Instant::now() + Duration::from_secs(5)));
    /// ```
    pub fn close_longest_idle(&self, now: Instant) -> bool {
        let open = self.open.borrow();
        let idle = open.values().filter_map(|phase| Some((phase.idle_since()?, phase)));
        let longest = idle.min_by_key(|(since, _)| *since);
        match longest {
            Some((since, phase)) if now.saturating_duration_since(since) >= MIN_IDLE_TIME => {
                phase.request_close();
                true
            }
            _ => false,
        }
    }
}

/// A client connection that is open.
#[derive(Debug)]
pub struct OpenConnection {
    number: u64,
    connections: Rc<ClientConnections>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}
