//! Bounds on what callers may send.

use std::time::Duration;

use camphorloft_types::prelude::ByteSize;

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head of a request.
    pub max_head: ByteSize,
    /// Largest body of a request.
    pub max_body: ByteSize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the bounds of a host that knows no version yet.
    fn default() -> Self {
        Self {
            max_head: ByteSize(16 * 1024),
            max_body: ByteSize(4 * 1024 * 1024),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
