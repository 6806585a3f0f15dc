//! Limits on client requests and connections.

use std::time::Duration;

use camphorloft_types::prelude::ByteSize;

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub max_head: ByteSize,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits of a host that has not received a version yet.
    fn default() -> Self {
        Self {
            max_head: ByteSize(16 * 1024),
            max_body: ByteSize(4 * 1024 * 1024),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
