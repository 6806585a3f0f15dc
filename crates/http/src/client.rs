//! Builds HTTP clients (`ureq` agents).

use std::io;
use std::time::Duration;

use ureq::Agent;

/// Timeouts of an HTTP client. None of them limits the total duration of a body whose reads make
/// progress.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// Timeout for connecting.
    pub connect: Duration,
    /// Timeout for receiving the response head.
    pub response: Duration,
    /// Timeout for each read of the body.
    pub progress: Duration,
}

/// Builds an HTTP client that opens a connection per request and never reuses one.
///
/// Without reuse, a late or misdirected response cannot reach another request, and a connection
/// that stops responding affects one request only.
pub fn unpooled_agent(deadlines: Deadlines) -> Agent {
    agent(deadlines, 0)
}

/// Builds an HTTP client that pools a few idle connections.
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

/// Returns true when no byte of the request was sent. After any other error the server may have
/// run the request.
pub fn is_not_sent(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(err) => err.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
