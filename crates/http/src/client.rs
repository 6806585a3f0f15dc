//! Builds HTTP agents.

use std::io;
use std::time::Duration;

use ureq::Agent;

/// Deadlines of an agent. None of them bounds the length of a body that makes progress.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// Time to connect.
    pub connect: Duration,
    /// Time until the response head.
    pub response: Duration,
    /// Time between two reads of the body.
    pub progress: Duration,
}

/// Builds an agent that opens a connection per request and never reuses one.
///
/// A connection that carried one answer cannot deliver a late or crossed answer to another
/// request, and a connection that went silent harms one request only.
pub fn single_use_agent(deadlines: Deadlines) -> Agent {
    agent(deadlines, 0)
}

/// Builds an agent that keeps a few idle connections.
pub fn pooled_agent(deadlines: Deadlines) -> Agent {
    const IDLE_CONNECTIONS: usize = 4;
    agent(deadlines, IDLE_CONNECTIONS)
}

fn agent(deadlines: Deadlines, idle: usize) -> Agent {
    const BUFFER_BYTES: usize = 8 * 1024;
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(deadlines.connect))
        .timeout_recv_response(Some(deadlines.response))
        .timeout_per_read(Some(deadlines.progress))
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle)
        .no_delay(true)
        .build()
        .new_agent()
}

/// Returns true when no byte of the request left this host. Anything else may have been run.
pub fn is_not_sent(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(err) => err.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
